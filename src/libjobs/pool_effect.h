#ifndef SRC_LIBJOBS_POOL_EFFECT_H_
#define SRC_LIBJOBS_POOL_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libjobs/advice_cache.h"
#include "libjobs/job_offer.h"
#include "libjobs/stored_job.h"

namespace baobab {

/** Stores the records in this order, all at once if they fit into one call;
 * reports CommitStored. */
struct StoreCommit {
  CommitId commit;
  std::vector<StoredRecord> records;
};

/** Polls a worker for its runs and extends their leases; reports
 * PollFinished. */
struct PollWorker {
  WorkerId worker;
  std::string address;
  /** Sequence number of this poll. */
  std::uint64_t poll = 0;
  /** Acknowledges run ends up to this number. If above 0, the poll may only use
   * a connection opened by an earlier poll: a new one may reach a new
   * incarnation of the worker, which numbers its ends from 1 again. */
  std::int64_t acknowledged_ends = 0;
  /** Lease end, in ms on the worker's clock; none leaves the leases
   * unchanged. */
  std::optional<std::int64_t> lease_until_ms;
  /** Maximum time until the worker answers; it answers at once when a run
   * ends. */
  Duration wait{0};
};

/** Starts a run at a worker; reports StartFinished. */
struct StartRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
  std::string payload;
  /** Lease end, in ms on the worker's clock. */
  std::int64_t lease_until_ms = 0;
  std::string checkpoint;
  /** Ticket of the advice service; empty if none is needed. */
  std::string ticket;
};

/** Asks the advice service which workers may run a step; reports
 * AdviceReceived. */
struct RequestAdviceEffect {
  StepId step;
  std::vector<WorkerId> workers;
};

/** Stops a run; reports StopFinished. */
struct StopRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
  /** Incarnation of the worker that had answered last. */
  std::int64_t incarnation = 0;
};

/** Sets the speed of a run, in percent of full speed; reports
 * ThrottleFinished. */
struct ThrottleRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
  int percent = 100;
};

/** Verdict on a submitted job. */
enum class SubmitVerdict {
  kAccepted,
  /** Definitely not accepted; the caller may submit the job again. */
  kRefused,
  /** Definitely not accepted; the job itself is invalid. */
  kInvalid,
  /** Another cell of the pool decides on the job, now and later. */
  kDelegated,
};

/** Answers a SubmitRequested. */
struct AnswerSubmit {
  ReplyId reply;
  SubmitVerdict verdict = SubmitVerdict::kRefused;
  /** Time after which a new attempt may succeed. */
  Duration retry_after{0};
  std::string reason;
  /** For kDelegated: the cell that decides, and the time since the first
   * request. */
  ShardId cell{};
  Duration asked_ago{0};
  /** Job of an answer that awaits the store. */
  JobId job = JobId();
};

/** Answers a CancelRequested. */
struct AnswerCancel {
  ReplyId reply;
  /** False if there is no such job. */
  bool found = false;
  /** Cell that decides on the job, if it is delegated. */
  std::optional<ShardId> cell = std::nullopt;
};

/** Hands a job over to another cell; reports OfferFinished. */
struct OfferJob {
  ShardId cell{};
  JobOffer offer;
};

/** Answers a JobOffered. */
struct AnswerOffer {
  ReplyId reply;
  /** This cell decides on the job from now on, or has handed it on. */
  bool stored = false;
};

/** Requests a PoolTick after this time, in addition to the periodic ones. */
struct WakeUp {
  Duration after{0};
};

/** Writes one decision to the log. */
struct LogDecision {
  std::string decision;
  JobId job;
  /** Further fields as "name=value" pairs. */
  std::string fields;
  /** True for a decision on a single run, of which a job may have many. */
  bool of_run = false;
};

using PoolEffect = std::variant<StoreCommit,
                                PollWorker,
                                StartRun,
                                StopRun,
                                ThrottleRun,
                                RequestAdviceEffect,
                                AnswerSubmit,
                                AnswerCancel,
                                OfferJob,
                                AnswerOffer,
                                WakeUp,
                                LogDecision>;

using PoolEffects = std::vector<PoolEffect>;

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_EFFECT_H_
