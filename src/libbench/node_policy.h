#ifndef SRC_LIBBENCH_NODE_POLICY_H_
#define SRC_LIBBENCH_NODE_POLICY_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "libbench/flood.h"
#include "libdecision/fair_scheduler.h"

namespace baobab {

/** Scheduling policy of one simulated node: decides when its requests start
 * and on which minion. */
class NodePolicy {
 public:
  virtual ~NodePolicy() = default;
  /** Queues a request that arrived; returns false if it is refused. */
  virtual bool OnArrival(const QueuedRequest& request, Time now) = 0;
  /** Returns the requests to start now, with their minions. */
  virtual std::vector<RequestStart> StartReady(Time now) = 0;
  /** Drops and returns the requests that are refused while they wait. */
  virtual std::vector<RequestId> DropExpired(Time now) = 0;
  /** Called when a minion has finished a request. */
  virtual void Finish(RequestId id, Time now) = 0;
  /** Called when a minion had no free slot; queues the request again. */
  virtual void OnRefusedByMinion(const QueuedRequest& request,
                                 const MinionId& minion,
                                 Time now) = 0;
  /** Total size of the waiting requests. */
  virtual Bytes BacklogBytes() const = 0;
  /** Returns the FairScheduler, or null for baseline policies. */
  virtual FairScheduler* GetFairScheduler() { return nullptr; }
};

/** Creates the policy of production nodes. */
std::unique_ptr<NodePolicy> MakeFairPolicy(
    const NodeConfig& config,
    const Table& table,
    const std::vector<MinionEntry>& all_minions,
    const std::vector<ViewNode>& view,
    Time now);

/** Creates a FIFO or strict-priority policy. A request goes to that of two
 * random minions which runs fewer requests of this node. */
std::unique_ptr<NodePolicy> MakeBaselinePolicy(
    const NodeConfig& config,
    const Table& table,
    const std::vector<MinionEntry>& all_minions,
    bool strict_priority,
    std::uint64_t seed);

}  // namespace baobab

#endif  // SRC_LIBBENCH_NODE_POLICY_H_
