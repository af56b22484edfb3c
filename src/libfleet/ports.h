#ifndef SRC_LIBFLEET_PORTS_H_
#define SRC_LIBFLEET_PORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libjobs/jobs.h"

namespace baobab {

/** Shards that the store has assigned to this node. */
struct Membership {
  /** Increases with each change of the members; serves as the fencing token
   * against previous owners. */
  std::int64_t generation = 0;
  std::vector<ShardId> shards;
};

/** The node that owns a shard. */
struct OwnerNode {
  std::string peer_address;
  /** CPU share of the node in thousandths of a core; 0 if unknown. */
  int milli_cores = 0;

  bool operator==(const OwnerNode&) const = default;
};

/** Result of a write to the store. */
enum class AppendOutcome {
  kStored,
  /** A later owner has fenced the shard. */
  kFenced,
  /** The store expects another sequence number from this owner. */
  kOutOfSequence,
  /** Definitely not stored. */
  kRefused,
  /** Definitely not stored, and never will be: the records are malformed or too
   * large. */
  kRejected,
  /** No answer; the records may have been stored, or may be later. */
  kUnknown,
};

/** Returns the name for logs. */
constexpr const char* ToString(AppendOutcome outcome) {
  constexpr const char* kNames[] = {"stored",  "fenced",   "out-of-sequence",
                                    "refused", "rejected", "unknown"};
  return kNames[static_cast<int>(outcome)];
}

/** Outcome of a write, and the position behind the last record of the shard
 * after it, if the store has told. */
struct AppendAnswer {
  // NOLINTNEXTLINE(google-explicit-constructor)
  AppendAnswer(AppendOutcome outcome,
               std::optional<std::uint64_t> end = std::nullopt)
      : outcome(outcome), end(end) {}

  AppendOutcome outcome;
  std::optional<std::uint64_t> end;
};

/** Writer of records within a shard. The writers of a shard have separate
 * fencing tokens and sequence numbers. */
enum class ShardWriter { kJobs, kPlanner };

/** Records of one writer within a shard. */
struct ShardStream {
  ShardId shard;
  ShardWriter writer = ShardWriter::kJobs;
};

/** Interface to the platform's store for owners of shards. All callbacks run on
 * the event loop. */
class JobStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~JobStore() = default;

  /** Joins the group of shard owners, or renews the membership. Members that do
   * not renew within MemberLifetime() lose their shards. */
  virtual void Join(std::int64_t generation, Callback<Membership> done) = 0;
  /** Leaves the group; the shards of this node are assigned to others. `done`
   * gets false if the store has not confirmed that the node is no member. */
  virtual void Leave(std::function<void(bool left)> done) = 0;
  /** Returns the time for which a membership lasts without a renewal. */
  virtual Duration MemberLifetime() const = 0;
  /** Reads the owners of all shards. */
  virtual void ReadOwners(Callback<std::map<ShardId, OwnerNode>> done) = 0;

  /** Fences the shard against writers with lower tokens. */
  virtual void Fence(const ShardStream& stream,
                     FenceToken token,
                     std::function<void(AppendAnswer)> done) = 0;
  /** Reads the newest record of each key. */
  virtual void Load(ShardId shard,
                    Callback<std::vector<StoredRecord>> done) = 0;
  /** Stored division of the pools, and the position of its last record. */
  struct StoredDivision {
    PoolDivision division;
    std::uint64_t end = 0;
  };
  /** Reads the division of the pools. */
  virtual void ReadDivision(Callback<StoredDivision> done) = 0;
  /** Adds records to the division if `end` is still its end; otherwise the
   * outcome is kOutOfSequence. */
  virtual void ExtendDivision(const std::vector<StoredRecord>& records,
                              std::uint64_t end,
                              std::function<void(AppendOutcome)> done) = 0;
  /** Stores all records or none. Repeating a call with the same sequence number
   * has no further effect. */
  virtual void Append(const ShardStream& stream,
                      FenceToken token,
                      std::uint64_t sequence,
                      const std::vector<StoredRecord>& records,
                      Duration timeout,
                      std::function<void(AppendAnswer)> done) = 0;
};

/** Interface to the published configuration and the worker list. */
class FleetFeed {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~FleetFeed() = default;

  /** Configuration that the operators have published. */
  struct PublishedConfig {
    /** Null until the first configuration is published. */
    std::shared_ptr<const PolicySet> policies;
    std::vector<MaintenanceWave> waves;
  };

  /** Waits up to about a second for a change, then reports the newest state. */
  virtual void AwaitPublished(Callback<PublishedConfig> done) = 0;
  /** Publishes the state of a maintenance wave. */
  virtual void ReportWave(const ReportWave& report,
                          std::function<void(bool stored)> done) = 0;
  /** Reads the current list of workers. */
  virtual void ReadWorkers(
      Callback<std::shared_ptr<const WorkerList>> done) = 0;
};

/** Interface to the platform's hosts. Each order carries the planner's fencing
 * token. */
class HostCalls {
 public:
  using Done = std::function<void(HostOrderResult)>;

  virtual ~HostCalls() = default;

  virtual void List(
      std::function<void(Result<std::vector<HostInfo>>)> done) = 0;
  virtual void Move(const MoveHost& move, FenceToken token, Done done) = 0;
  virtual void Maintain(const MaintainHost& order,
                        FenceToken token,
                        Done done) = 0;
};

/** Interface to the platform's workers. Each order carries the owner's fencing
 * token. */
class WorkerCalls {
 public:
  using Done = std::function<void(OrderResult)>;

  virtual ~WorkerCalls() = default;

  /** Reads a worker's report, acknowledges run ends and may renew the lease. */
  virtual void Poll(const PollWorker& poll,
                    FenceToken token,
                    std::function<void(OrderResult, WorkerReport)> done) = 0;
  /** Starts a run; `done` also gets the reading of the worker's clock, if the
   * answer has one. */
  virtual void Start(
      const StartRun& start,
      FenceToken token,
      std::function<void(OrderResult, std::optional<std::int64_t>)> done) = 0;
  virtual void Stop(const StopRun& stop, FenceToken token, Done done) = 0;
  virtual void Throttle(const ThrottleRun& throttle,
                        FenceToken token,
                        Done done) = 0;
  /** Asks the advice service which of the workers may run the step. */
  virtual void RequestAdvice(const RequestAdviceEffect& request,
                             std::function<void(AdviceReceived)> done) = 0;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_PORTS_H_
