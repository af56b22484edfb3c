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

/** How one simulated node orders its requests. */
class NodePolicy {
 public:
  virtual ~NodePolicy() = default;
  /** False if the request is refused. */
  virtual bool Arrive(const QueuedRequest& request, Time now) = 0;
  virtual std::vector<RequestStart> Starts(Time now) = 0;
  /** Requests refused while they waited. */
  virtual std::vector<RequestId> Expired(Time now) = 0;
  virtual void Finish(RequestId id, Time now) = 0;
  /** The minion had no free slot; the request waits again. */
  virtual void Refused(const QueuedRequest& request,
                       const MinionId& minion,
                       Time now) = 0;
  virtual Bytes Backlog() const = 0;
  virtual FairScheduler* Fair() { return nullptr; }
};

std::unique_ptr<NodePolicy> MakeFairPolicy(const NodeConfig& config,
                                           const Table& table,
                                           const std::vector<MinionEntry>& all,
                                           const std::vector<ViewNode>& view,
                                           Time now);

/** FIFO or strict priority; the minion with fewer requests of this node of two
 * random ones. */
std::unique_ptr<NodePolicy> MakeBaselinePolicy(
    const NodeConfig& config,
    const Table& table,
    const std::vector<MinionEntry>& all,
    bool strict_priority,
    std::uint64_t seed);

}  // namespace baobab

#endif  // SRC_LIBBENCH_NODE_POLICY_H_
