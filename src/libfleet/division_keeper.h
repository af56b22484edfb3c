#ifndef SRC_LIBFLEET_DIVISION_KEEPER_H_
#define SRC_LIBFLEET_DIVISION_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "libfleet/decision_log.h"
#include "libfleet/loop_timer.h"
#include "libfleet/ports.h"

namespace baobab {

/** Knows the division of the pools on one node. Reads it until all pools of the
 * configuration have cells and all queues have homes; the node of the planner
 * divides new pools and records where queues are sent.
 *
 * Cells and homes never change, so nothing is read while none is missing. Two
 * planners that divide a pool at once cannot both succeed, since the store
 * accepts records only at the end that the writer has read. */
class DivisionKeeper {
 public:
  struct Ports {
    boost::asio::io_context& loop;
    JobStore& store;
    DecisionLog& log;
    /** Returns the CPU share of a typical owner in thousandths of a core. */
    std::function<int()> owner_milli_cores;
    /** Called with each division that has more pools. */
    std::function<void(std::shared_ptr<const PoolDivision>)> on_change;
  };

  DivisionKeeper(const Ports& ports, int shards);

  /** Never null. */
  const std::shared_ptr<const PoolDivision>& division() const {
    return division_;
  }
  void SetPolicies(const PolicySet& policies);
  /** Returns all pools that may have jobs of the queue. */
  std::set<ServiceId> PoolsOf(const QueuePolicy& queue) const;
  /** Passes the list of workers, on nodes that read it. */
  void SetWorkers(const std::vector<WorkerEntry>& workers);
  /** Sets whether this node may divide new pools. */
  void SetPlannerOwned(bool owned);

 private:
  /** Returns the pools of the configuration without cells. */
  std::set<ServiceId> MissingPools() const;
  /** Returns whether records are missing that this node needs or has to
   * write. */
  bool IsIncomplete() const;
  /** Reads the division if it is incomplete and not being read. */
  void ReadIfIncomplete();
  void Read();
  void ReadLater();
  /** On the planner's node, stores the queues that are sent to new pools, and
   * divides the missing pools if the number of workers is known. */
  void Extend(const JobStore::StoredDivision& stored);

  const Ports ports_;
  const int shards_;
  LoopTimer timer_;
  std::shared_ptr<const PoolDivision> division_;
  std::set<ServiceId> pools_;
  /** Queues of the configuration. */
  std::vector<QueuePolicy> queues_;
  /** Pools to which this node has seen a queue sent. */
  std::map<QueueKey, std::set<ServiceId>> seen_pools_;
  bool planner_owned_ = false;
  bool reading_ = false;
  Duration read_delay_{0};
  /** Workers of the last list, and since when their number has not changed. */
  int workers_ = 0;
  Time workers_since_;
  CallbackGuard guard_;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_DIVISION_KEEPER_H_
