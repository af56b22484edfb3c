#ifndef SRC_LIBFLEET_PORTS_H_
#define SRC_LIBFLEET_PORTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libjobs/jobs.h"

namespace baobab {

/** Shards that the store has dealt to this node. */
struct Membership {
  /** Rises with each change of the members; fences former owners. */
  std::int64_t generation = 0;
  std::vector<ShardId> shards;
};

/** The node that owns a shard. */
struct ShardHolder {
  std::string peer_address;
  /** Processor time of the node in thousandths of a core; 0 if unknown. */
  int milli_cores = 0;

  bool operator==(const ShardHolder&) const = default;
};

enum class AppendOutcome {
  kStored,
  /** A later owner has closed the shard. */
  kFenced,
  /** The store has another sequence of this owner. */
  kOutOfSequence,
  /** Nothing was done. */
  kRefused,
  /** No answer; it may have been done, or be done later. */
  kUnknown,
};

/** Records that one owner writes to its shard. Two writers of one shard are
 * fenced and numbered apart. */
enum class ShardWriter { kJobs, kPlanner };

struct ShardStream {
  ShardId shard;
  ShardWriter writer = ShardWriter::kJobs;
};

/** The platform's store, as far as the owners of shards use it. All callbacks
 * run on the event loop. */
class JobStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~JobStore() = default;

  /** Joins the owners of shards, or stays with them. Members that stay away
   * for MemberLifetime lose their shards. */
  virtual void Join(std::int64_t generation, Callback<Membership> done) = 0;
  virtual void Leave(std::function<void()> done) = 0;
  virtual Duration MemberLifetime() const = 0;
  virtual void ReadOwners(Callback<std::map<ShardId, ShardHolder>> done) = 0;

  /** Closes the shard to owners with lower tokens. */
  virtual void Fence(const ShardStream& stream,
                     FenceToken token,
                     std::function<void(AppendOutcome)> done) = 0;
  /** Newest record of each key. */
  virtual void Load(ShardId shard,
                    Callback<std::vector<StoredRecord>> done) = 0;
  /** Stores all or none. A repetition with the same sequence is done once. */
  virtual void Append(const ShardStream& stream,
                      FenceToken token,
                      std::uint64_t sequence,
                      const std::vector<StoredRecord>& records,
                      Duration timeout,
                      std::function<void(AppendOutcome)> done) = 0;
};

/** What operators and workers write for everyone. */
class FleetFeed {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~FleetFeed() = default;

  /** What the operators have published. */
  struct Published {
    /** Null before the first configuration. */
    std::shared_ptr<const PolicySet> policies;
    std::vector<MaintenanceWave> waves;
  };

  /** Waits up to about a second for a change, then reports the newest state. */
  virtual void AwaitPublished(Callback<Published> done) = 0;
  virtual void ReportWave(const ReportWave& report,
                          std::function<void(bool stored)> done) = 0;
  /** Reports all workers that are listed now. */
  virtual void ReadWorkers(
      Callback<std::shared_ptr<const std::vector<WorkerEntry>>> done) = 0;
};

/** The platform's hosts. Each order carries the token of the planner. */
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

/** Orders to workers. Each carries the token of the owner. */
class WorkerCalls {
 public:
  using Done = std::function<void(OrderResult)>;

  virtual ~WorkerCalls() = default;

  virtual void Look(const PollWorker& poll,
                    FenceToken token,
                    std::function<void(OrderResult, WorkerReport)> done) = 0;
  virtual void Start(const StartRun& start, FenceToken token, Done done) = 0;
  virtual void Stop(const StopRun& stop, FenceToken token, Done done) = 0;
  virtual void Pace(const ThrottleRun& pace, FenceToken token, Done done) = 0;
  virtual void Ask(const AskAdvice& question,
                   std::function<void(AdviceGiven)> done) = 0;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_PORTS_H_
