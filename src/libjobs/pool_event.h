#ifndef SRC_LIBJOBS_POOL_EVENT_H_
#define SRC_LIBJOBS_POOL_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libjobs/advice_cache.h"
#include "libjobs/outlook.h"
#include "libjobs/policies.h"
#include "libjobs/stored_job.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** Lets timers run; the shell sends one every 50 ms. */
struct PoolTick {
  /** How late the event comes, since its process is busy. */
  Duration lag{0};
};

/** The records of the shard were read after it was closed to former owners. */
struct ShardLoaded {
  std::vector<StoredRecord> records;
};

struct PoliciesChanged {
  std::shared_ptr<const PolicySet> policies;
};

/** All workers that the platform lists, also those of other shards. */
struct WorkersListed {
  std::shared_ptr<const std::vector<WorkerEntry>> workers;
};

struct SubmitRequested {
  ReplyId reply;
  JobId job;
  QueuePolicy queue;
  JobSpec spec;
};

struct CancelRequested {
  ReplyId reply;
  JobId job;
};

/** The planner wants hosts to be vacated, or sends new ones. */
struct HostsPlanned {
  HostPlan plan;
};

/** All records of the commit are stored. */
struct CommitStored {
  CommitId commit;
};

/** How a call of a worker ended. */
enum class OrderResult {
  kDone,
  /** An owner with a higher token has called the worker. */
  kFenced,
  /** A run that is not lower was stopped or ended there. */
  kStaleRun,
  /** The lease in the order had expired. */
  kExpiredOrder,
  kNoCapacity,
  /** The ticket of the advice service is missing or expired. */
  kNoTicket,
  /** The worker is unhealthy and did nothing. */
  kBusy,
  /** The worker cannot understand the order and did nothing. */
  kInvalid,
  /** Another worker has the address now. */
  kWrongIncarnation,
  /** No byte was sent. */
  kNotSent,
  /** A look that acknowledges ends found no connection that an earlier look
   * opened; nothing was sent. */
  kNoConnection,
  /** No answer; the order may be carried out, also later. */
  kUnknown,
};

/** Name for logs. */
constexpr const char* ToString(OrderResult result) {
  constexpr const char* kNames[] = {"done",     "fenced",        "old-run",
                                    "late",     "no-room",       "no-ticket",
                                    "busy",     "invalid",       "wrong-life",
                                    "not-sent", "no-connection", "unanswered"};
  return kNames[static_cast<int>(result)];
}

struct PollFinished {
  WorkerId worker;
  std::uint64_t poll = 0;
  OrderResult result = OrderResult::kUnknown;
  /** Set with kDone. */
  WorkerReport report;
};

struct StartFinished {
  WorkerId worker;
  TaskId task;
  RunNumber run;
  OrderResult result = OrderResult::kUnknown;
};

struct StopFinished {
  WorkerId worker;
  TaskId task;
  RunNumber run;
  OrderResult result = OrderResult::kUnknown;
};

struct ThrottleFinished {
  TaskId task;
  RunNumber run;
  OrderResult result = OrderResult::kUnknown;
};

/** The advice service answered, or not. */
struct AdviceGiven {
  StepId step;
  std::vector<WorkerId> asked;
  bool answered = false;
  /** Workers that may run the step, with their tickets. */
  std::vector<std::pair<WorkerId, std::string>> approved;
  Duration ticket_ttl{0};
};

using PoolEventBody = std::variant<PoolTick,
                                   ShardLoaded,
                                   PoliciesChanged,
                                   WorkersListed,
                                   SubmitRequested,
                                   CancelRequested,
                                   HostsPlanned,
                                   CommitStored,
                                   PollFinished,
                                   StartFinished,
                                   StopFinished,
                                   ThrottleFinished,
                                   AdviceGiven>;

struct PoolEvent {
  /** Runtime clock; never lower than in an earlier event. */
  Time at;
  /** Wall clock in ms since 1970. */
  std::int64_t wall_ms = 0;
  PoolEventBody body;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_EVENT_H_
