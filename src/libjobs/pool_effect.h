#ifndef SRC_LIBJOBS_POOL_EFFECT_H_
#define SRC_LIBJOBS_POOL_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libjobs/advice_cache.h"
#include "libjobs/stored_job.h"

namespace baobab {

/** Stores the records, all or none, and reports CommitStored. */
struct StoreCommit {
  CommitId commit;
  std::vector<StoredRecord> records;
};

/** Asks a worker for its runs and extends their leases; reports
 * PollFinished. */
struct PollWorker {
  WorkerId worker;
  std::string address;
  std::uint64_t poll = 0;
  /** Acknowledges ends up to this number. Above 0 the look may only use a
   * connection that an earlier look opened: a new one may reach a new life of
   * the worker, whose ends are numbered anew. */
  std::int64_t acknowledged_ends = 0;
  /** On the worker's clock; none leaves the leases as they are. */
  std::optional<std::int64_t> lease_until_ms;
  /** The worker answers earlier when a run ends. */
  Duration wait{0};
};

/** Reports StartFinished. */
struct StartRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
  std::string payload;
  /** On the worker's clock. */
  std::int64_t lease_until_ms = 0;
  std::string checkpoint;
  /** Of the advice service; empty if none is needed. */
  std::string ticket;
};

/** Asks the advice service which workers may run a step; reports AdviceGiven.
 */
struct AskAdvice {
  StepId step;
  std::vector<WorkerId> workers;
};

/** Reports StopFinished. */
struct StopRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
};

/** Sets the share of its speed at which a run works; reports ThrottleFinished.
 */
struct ThrottleRun {
  WorkerId worker;
  std::string address;
  TaskId task;
  RunNumber run;
  int percent = 100;
};

enum class SubmitVerdict {
  kAccepted,
  /** Certainly not accepted. */
  kRefused,
  /** Certainly not accepted; the job itself is at fault. */
  kInvalid,
};

struct AnswerSubmit {
  ReplyId reply;
  SubmitVerdict verdict = SubmitVerdict::kRefused;
  /** When a new attempt may succeed. */
  Duration retry_after{0};
  std::string reason;
};

struct AnswerCancel {
  ReplyId reply;
  /** False if there is no such job. */
  bool found = false;
};

/** Wants a PoolTick after this time, beside the regular ones. */
struct WakeUp {
  Duration after{0};
};

/** One decision, for the log. */
struct LogDecision {
  std::string decision;
  JobId job;
  /** Further fields as "name=value" pairs. */
  std::string fields;
  /** One of many lines of a job, on a single run. */
  bool of_run = false;
};

using PoolEffect = std::variant<StoreCommit,
                                PollWorker,
                                StartRun,
                                StopRun,
                                ThrottleRun,
                                AskAdvice,
                                AnswerSubmit,
                                AnswerCancel,
                                WakeUp,
                                LogDecision>;

using PoolEffects = std::vector<PoolEffect>;

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_EFFECT_H_
