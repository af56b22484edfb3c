#ifndef SRC_LIBFLEET_SHARD_OWNER_H_
#define SRC_LIBFLEET_SHARD_OWNER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "libfleet/decision_log.h"
#include "libfleet/loop_timer.h"
#include "libfleet/ports.h"

namespace baobab {

/** Answer of the owner to a submitted job. */
struct SubmitAnswer {
  SubmitVerdict verdict = SubmitVerdict::kRefused;
  /** Time after which a new attempt may succeed. */
  Duration retry_after{0};
  std::string reason;
  /** For kDelegated: the cell that decides, and the time since the first
   * request for the job. */
  ShardId cell{};
  Duration asked_ago{0};
};

/** Answer of the owner to a cancelled job. */
struct CancelAnswer {
  /** False if there is no such job. */
  bool found = false;
  /** Cell that decides on the job, if it is delegated. */
  std::optional<ShardId> cell = std::nullopt;
};

/** Owner of one shard: fences previous owners, loads the shard, and executes
 * the effects of its engine. */
class ShardOwner : public std::enable_shared_from_this<ShardOwner> {
 public:
  struct Ports {
    boost::asio::io_context& loop;
    JobStore& store;
    WorkerCalls& workers;
    DecisionLog& log;
    /** Returns false once the membership may have expired. */
    std::function<bool()> may_send_orders;
    /** Called when the store refuses the records of this owner: a later one has
     * fenced the shard, or another one has used the same token. */
    std::function<void(ShardId, AppendOutcome)> on_fenced;
    /** Offers a job to the owner of another cell; `done` gets true once that
     * has stored it. */
    std::function<
        void(ShardId cell, JobOffer, std::function<void(bool stored)> done)>
        offer_job;
    /** Called after an unexpected error, when the state in memory may be
     * incomplete. */
    std::function<void(ShardId)> on_failed;
    /** Called when another node may have written to the shard, so that the
     * state in memory may be old. */
    std::function<void(ShardId)> on_outdated;
  };

  using SubmitDone = std::function<void(Result<SubmitAnswer>)>;
  using CancelDone = std::function<void(Result<CancelAnswer>)>;
  using OfferDone = std::function<void(bool stored)>;

  ShardOwner(const Ports& ports,
             ShardId shard,
             FenceToken token,
             const PoolTuning& tuning);

  void Start();
  /** Releases the shard. Pending requests get an error, after which their
   * outcome is unknown. */
  void Stop();
  /** Finds out whether another node has written to the shard since this one
   * last did: fences the shard with the new token and compares where it ends.
   * Until then the owner is not current. */
  void Verify(FenceToken token);

  bool HasLoaded() const { return engine_.IsLoaded(); }
  bool IsLoaded() const { return HasLoaded() && !stopped_ && !failing_; }
  /** Returns whether the state in memory may be used for answers. */
  bool IsCurrent() const { return IsLoaded() && !unverified_token_; }
  FenceToken token() const { return token_; }
  const PoolEngine& engine() const { return engine_; }

  /** `delegated_ago` is the time since the first request for a job that another
   * cell has delegated to this one. */
  void Submit(const JobId& job,
              const QueuePolicy& queue,
              JobSpec spec,
              std::optional<Duration> delegated_ago,
              SubmitDone done);
  void Cancel(const JobId& job, CancelDone done);
  /** Takes a job that another cell hands over. */
  void TakeJob(JobOffer offer, OfferDone done);
  /** Applies the host planner's plan and returns the usage of the shard's
   * pools. */
  std::optional<PoolUsage> ApplyPlan(HostPlan plan);
  /** Passes a tick to the engine; `lag` is its delay behind schedule. */
  void Tick(Duration lag) { Post(PoolTick{lag}); }
  void SetPolicies(std::shared_ptr<const PolicySet> policies);
  void SetDivision(std::shared_ptr<const PoolDivision> division);
  /** Passes a list of workers that was read from the store at `read_at`. */
  void SetWorkers(std::shared_ptr<const WorkerList> workers, Time read_at);

 private:
  void FenceFormerOwners();
  void Load();
  /** Runs a failed step again after the delay. */
  void Retry(void (ShardOwner::*step)(), Duration delay);
  /** Stores the first of `batches_`, and then the next ones. */
  void Append();
  /** Fences the shard with `unverified_token_`, unless a write is in flight. */
  void FenceAndCompare();
  void FinishVerification(AppendAnswer result);
  /** Returns whether orders that change what runs may be sent. */
  bool MaySendOrders() const;
  /** Returns whether polls may be sent. */
  bool MayPoll() const;
  /** Goes on after the store has rejected the first batch for good: stores its
   * records one by one, and leaves out a single one. */
  void LeaveOutRejected();
  /** Gives the shard up after an unexpected error. If that belongs to a job,
   * the next owner finds in the store how often owners have failed at it. */
  void Fail(const JobId& job, const char* fault);
  /** Passes an event to the engine and executes its effects. */
  void Post(PoolEventBody body);
  void Execute(PoolEffect& effect);

  const Ports ports_;
  const ShardId shard_;
  FenceToken token_;
  /** Token that replaces `token_` once it is verified that no other node has
   * written to the shard; empty while there is no doubt of that. */
  std::optional<FenceToken> unverified_token_;
  Time doubted_at_;
  /** Where the shard ended after the last write of this owner; empty if the
   * store has not told. */
  std::optional<std::uint64_t> end_;
  /** Maximum size of the records of one call. */
  const std::size_t max_batch_bytes_;
  PoolEngine engine_;
  LoopTimer retry_timer_;
  LoopTimer wake_timer_;
  bool stopped_ = false;
  /** After an unexpected error, until the shard is released. */
  bool failing_ = false;

  /** Sequence number of the next append. */
  std::uint64_t sequence_ = 0;
  /** Commit that is being stored. */
  CommitId commit_;
  /** Its records, in calls of limited size. */
  std::deque<std::vector<StoredRecord>> batches_;
  /** Keys of those that the store has rejected. */
  std::vector<std::string> rejected_;
  int append_attempts_ = 0;
  Time commit_started_at_;
  /** Set from the beginning of a commit until all of it is stored. */
  bool committing_ = false;
  /** An append or a fence has not been answered yet. */
  bool write_in_flight_ = false;

  std::uint64_t last_reply_id_ = 0;
  /** Callbacks of the requests that await the engine's answer. */
  std::map<ReplyId, SubmitDone> submits_;
  std::map<ReplyId, CancelDone> cancels_;
  std::map<ReplyId, OfferDone> offers_;
  /** Latest configuration, division and worker list, for an engine that is
   * still loading. */
  std::shared_ptr<const PolicySet> policies_;
  std::shared_ptr<const PoolDivision> division_;
  std::shared_ptr<const WorkerList> workers_;
  Time workers_read_at_;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_SHARD_OWNER_H_
