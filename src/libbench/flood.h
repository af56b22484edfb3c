#ifndef SRC_LIBBENCH_FLOOD_H_
#define SRC_LIBBENCH_FLOOD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

enum class FloodPolicy {
  kFair,
  /** One queue per service and node, two random choices among minions. */
  kFifo,
  /** Urgent before batch, two random choices among minions. */
  kStrictPriority,
};

/** One flood in a fleet of one process with a paused clock. Each service has an
 * urgent and a batch queue of equal weight; mean demand is 25 % and 45 % of the
 * capacity. One queue of the first service runs at `factor` of its mean. */
struct FloodCase {
  FloodPolicy policy = FloodPolicy::kFair;
  bool urgent_floods = false;
  double factor = 1;
  /** Evenly, or over half of all callers on the first node. */
  bool even = true;
  int nodes = 9;
  int data_centres = 3;
  int minions = 50;
  int services = 5;
  Duration warm_up{std::chrono::seconds(5)};
  Duration length{std::chrono::seconds(20)};
  std::uint64_t seed = 7;
};

struct FloodQueueResult {
  QueueId queue;
  bool flooded = false;
  Urgency urgency = Urgency::kBatch;
  /** Slot time of requests that arrived, and that started, in the flood. */
  double demand_slots = 0;
  double started_slots = 0;
  /** Its weight's part of the service's slots. */
  double guaranteed_slots = 0;
  std::int64_t refused = 0;
  Duration start_p99{0};
  Duration start_worst{0};

  /** Started relative to min(demand, guaranteed). */
  double Goodput() const;
};

struct FloodResult {
  std::vector<FloodQueueResult> queues;
  /** Requests that reached a minion with all slots in use. */
  std::int64_t overruns = 0;
  std::int64_t starts = 0;
  /** Highest sum of waiting bytes on one node. */
  Bytes backlog_peak;
  /** Messages between nodes, per node and second of the flood. */
  double messages = 0;
  std::int64_t violations = 0;

  /** Lowest goodput of the queues that are not flooded. */
  double WorstOtherGoodput() const;
  /** Of the urgent queues that are not flooded. */
  Duration UrgentWorst() const;
  Duration UrgentP99() const;
};

FloodResult RunFlood(const FloodCase& flood);

/** The table RunFlood() uses. */
Table FloodTable(int services);
/** Minions spread over services, and within a service over data centres. */
std::vector<MinionEntry> FloodMinions(int minions,
                                      int services,
                                      int data_centres);
std::vector<ViewNode> FloodNodes(int nodes, int data_centres);

}  // namespace baobab

#endif  // SRC_LIBBENCH_FLOOD_H_
