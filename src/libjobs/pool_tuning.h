#ifndef SRC_LIBJOBS_POOL_TUNING_H_
#define SRC_LIBJOBS_POOL_TUNING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Limits of the platform and timing parameters of the engine. The platform's
 * limits come from the settings; the defaults are those of current
 * deployments. */
struct PoolTuning {
  /** Number of shards of the job state, as set in the platform's store. */
  int shards = 32;
  /** Maximum size of a record in the store, with its key, and of the records of
   * one call. */
  std::size_t max_record_bytes = 262'144;
  std::size_t max_request_bytes = 2'097'152;
  /** Maximum lease that a worker grants. */
  Duration max_lease = std::chrono::milliseconds(6000);
  /** Lease requested for runs. It must outlast a takeover, about 2 s; the runs
   * of an unreachable worker are only restarted after it has expired. */
  Duration lease = std::chrono::milliseconds(4500);
  /** Maximum time from sending a call until a worker carries it out, if the
   * call gets no answer. */
  Duration max_call_delay = std::chrono::milliseconds(12'500);
  /** The same for a call that nothing holds up. A long-running task is not kept
   * from its next run for longer than that by a call that may be held up. */
  Duration max_prompt_call_delay = std::chrono::milliseconds(1000);
  /** Maximum fraction by which a worker's clock may be slow. */
  double clock_drift = 0.02;
  /** Maximum time after a takeover for which a former owner extends leases: it
   * stops giving orders when it could not renew its membership for 4 s. */
  Duration former_owner_grace = std::chrono::milliseconds(4500);
  /** Maximum time that a poll waits for the next run end; also the interval at
   * which leases are extended. */
  Duration poll_wait = std::chrono::milliseconds(1000);
  /** Poll interval of a worker whose run ends await the store; bounds the delay
   * until capacity freed by further ends is noticed. */
  Duration pending_poll_interval = std::chrono::milliseconds(100);
  /** Poll interval while the owner is overloaded; each poll then reports
   * several ends, which costs less. */
  Duration busy_poll_interval = std::chrono::milliseconds(80);
  /** Delay before a worker is polled again after a failed poll. */
  Duration poll_retry_delay = std::chrono::milliseconds(300);
  /** Delay before an unanswered stop is sent again. */
  Duration stop_retry_delay = std::chrono::milliseconds(600);
  /** Maximum time that a worker takes to stop a run. */
  Duration stop_duration = std::chrono::milliseconds(900);
  /** Time for which a worker is avoided after it refused or did not answer a
   * start. */
  Duration refusal_backoff = std::chrono::milliseconds(500);
  /** Time for which a worker is avoided after consecutive failed runs. */
  Duration quarantine_duration = std::chrono::milliseconds(3000);
  /** Consecutive failed runs on a worker that put it into quarantine. */
  int quarantine_failures = 2;
  /** Number of workers in a row that crashed under a task, after which its job
   * fails: if the last one ran only this task, and otherwise. Those that may
   * have been down before the start do not count. */
  int max_crashes = 3;
  int max_all_crashes = 4;
  /** Maximum age of a worker's answer that shows that it was up when a start
   * was sent. */
  Duration max_answer_age = std::chrono::milliseconds(1500);
  /** Time at work after which a long-running task counts as harmless to its
   * worker. */
  Duration crash_trial = std::chrono::milliseconds(5000);
  /** Initial backoff before a long-running task is restarted; doubles with each
   * failure, up to 8 times this value. */
  Duration restart_backoff = std::chrono::milliseconds(100);
  /** Minimum time for which the state of an ended job is kept. */
  Duration status_retention = std::chrono::seconds(120);
  /** Returns the time in ms for which the state of an ended job is kept: longer
   * than promised, since the owners' clocks differ. */
  std::int64_t RetentionMs() const {
    return status_retention.count() / 1000 * 5 / 4;
  }
  /** Maximum number of starts that one commit leads to, and of stops in one
   * event; gangs may exceed it. The owner answers nobody while it sends them,
   * and its membership must not expire meanwhile. */
  std::size_t max_orders_per_turn = 256;
  /** Number of starts without an answer, or about to be sent, from which no
   * further tasks are placed. */
  std::size_t max_starts_in_flight = 1024;
  /** Minimum time between two commits; limits the store calls of a shard. */
  Duration min_commit_interval = std::chrono::milliseconds(8);
  /** Age of an unanswered commit from which the store counts as unavailable, so
   * that new jobs are refused. */
  Duration store_timeout = std::chrono::milliseconds(1000);
  /** Fraction of a job's objective within which admission expects it to be
   * done; the rest covers durations that differ from their estimates. */
  double admission_margin = 0.95;
  /** Time for which a host plan stays in effect without a new one. */
  Duration plan_ttl = std::chrono::milliseconds(2000);
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_TUNING_H_
