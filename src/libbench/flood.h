#ifndef SRC_LIBBENCH_FLOOD_H_
#define SRC_LIBBENCH_FLOOD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

/** Scheduling policy of the simulated nodes. */
enum class FloodPolicy {
  /** The production FairScheduler. */
  kFair,
  /** One FIFO queue per service and node; each request goes to the less loaded
   * of two random minions. */
  kFifo,
  /** Like kFifo, but with urgent requests before batch requests. */
  kStrictPriority,
};

/**
 * Simulation of a fleet in which one queue receives a flood of requests. Each
 * service has an urgent and a batch queue of equal weight, whose mean demand is
 * 25 % and 45 % of the service's capacity. One queue of the first service
 * receives `flood_factor` times its mean demand.
 */
struct FloodCase {
  FloodPolicy policy = FloodPolicy::kFair;
  /** Whether the flooded queue is the urgent one or the batch one. */
  bool flood_urgent_queue = false;
  /** Demand of the flooded queue as a multiple of its mean. */
  double flood_factor = 1;
  /** Whether requests spread evenly over the nodes; if not, more than half of
   * them arrive at the first node. */
  bool even_spread = true;
  int nodes = 9;
  int data_centres = 3;
  int minions = 50;
  int services = 5;
  /** Time at mean demand before the flood starts; it is not measured. */
  Duration warm_up{std::chrono::seconds(5)};
  /** Duration of the flood. */
  Duration length{std::chrono::seconds(20)};
  std::uint64_t seed = 7;
};

/** Results of one queue during the flood. */
struct FloodQueueResult {
  QueueId queue;
  bool flooded = false;
  Urgency urgency = Urgency::kBatch;
  /** Mean number of slots that the requests which arrived would occupy. */
  double demand_slots = 0;
  /** Mean number of slots that the requests which started occupy. */
  double started_slots = 0;
  /** Share of the service's slots that the queue's weight guarantees. */
  double guaranteed_slots = 0;
  std::int64_t refused = 0;
  /** 99th percentile and maximum of the time from arrival to start. */
  Duration start_p99{0};
  Duration start_worst{0};

  /** started_slots relative to min(demand_slots, guaranteed_slots). */
  double Goodput() const;
};

/** Results of a flood simulation. */
struct FloodResult {
  std::vector<FloodQueueResult> queues;
  /** Number of requests that reached a minion with all slots in use. */
  std::int64_t overruns = 0;
  /** Number of requests that started and finished during the flood. */
  std::int64_t starts = 0;
  /** Maximum size of the waiting requests of one node. */
  Bytes backlog_peak;
  /** Messages between nodes, per node and second of the flood. */
  double messages = 0;
  /** Number of violated invariants that the schedulers reported. */
  std::int64_t violations = 0;

  /** Minimum goodput of the queues that are not flooded. */
  double WorstUnfloodedGoodput() const;
  /** Maximum start_worst of the urgent queues that are not flooded. */
  Duration WorstUrgentStart() const;
  /** Maximum start_p99 of the urgent queues that are not flooded. */
  Duration UrgentStartP99() const;
};

/** Simulates a flood; the same case gives the same result. */
FloodResult RunFlood(const FloodCase& flood);

/** Returns the table that RunFlood() uses. */
Table FloodTable(int services);
/** Creates minions, spread over services and within a service over data
 * centres. */
std::vector<MinionEntry> FloodMinions(int minions,
                                      int services,
                                      int data_centres);
/** Creates the nodes of a view, spread over data centres. */
std::vector<ViewNode> FloodNodes(int nodes, int data_centres);

}  // namespace baobab

#endif  // SRC_LIBBENCH_FLOOD_H_
