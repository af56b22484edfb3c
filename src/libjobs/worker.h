#ifndef SRC_LIBJOBS_WORKER_H_
#define SRC_LIBJOBS_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libjobs/job.h"
#include "libjobs/pool_tuning.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** State of one worker as known to the owner of its shard. */
class Worker {
 public:
  explicit Worker(WorkerEntry entry) : entry(std::move(entry)) {}

  /** Returns the expected reading of the worker's clock at `now`, in ms. */
  std::int64_t ClockAt(Time now) const;
  /** Returns the lowest reading of the worker's clock at `now`, in ms, if it is
   * slow by a fraction of at most `drift`. */
  std::int64_t MinClockAt(Time now, double drift) const;
  /** Records a reading of the clock, unless it is older than a clock that is
   * slow by a fraction of at most `drift` could show. */
  void SetClock(std::int64_t clock_ms, Time now, double drift);
  bool KnowsClock() const { return clock_ms_.has_value(); }
  /** Returns whether a reading of the clock that arrived at `now` is too low
   * for the incarnation which sent the last report. */
  bool IsClockBehind(std::int64_t clock_ms, Time now, double drift) const;
  /** Returns whether a reading of the clock that arrived at `now` shows that
   * the incarnation which sent the last report was still up. The clock of a
   * later one is behind by the age that the former one had reached. */
  bool IsClockOfIncarnation(std::int64_t clock_ms,
                            Time now,
                            double drift) const;

  /** Returns the label of the rack, or an empty string. */
  std::string_view Rack() const;
  bool HasLabel(std::string_view label) const;
  /** Returns whether the worker may be given new runs. */
  bool IsUsable(Time now) const;
  /** Returns whether the worker may be given new runs, or is only out of reach
   * or avoided for a short time. */
  bool IsUsableSoon() const;
  /** Returns the free capacity. */
  Resources Free() const;
  /** Returns whether the worker runs a task under which several workers have
   * crashed, and so gets no other runs. */
  bool IsOnTrial() const;

  /** Occupies the resources of a run. `crashes` is the number of workers that
   * have crashed under its task. */
  void AddRun(const TaskId& task, const Resources& resources, int crashes);
  /** Changes the number of crashes under the task of a run, if it is present.
   */
  void SetSuspicion(const TaskId& task, int crashes);
  /** Frees the resources of a run; returns false if it is not in `runs`. */
  bool RemoveRun(const TaskId& task);

  /** Counts the end of a run; returns true if it puts the worker into
   * quarantine. */
  bool RecordRunEnd(bool failed, Time now, const PoolTuning& tuning);

  /** Resets clock, lease and counts for a new incarnation under the same id. */
  void StartNewIncarnation(std::int64_t incarnation);

  WorkerEntry entry;
  /** The platform's list contains the worker. */
  bool listed = true;
  /** Entries of the list that name the worker's host and a later start, with
   * that start. Each may be another writer's. */
  std::map<WorkerId, std::int64_t> rivals;
  /** There is a rival, and the worker has not answered a poll since it was
   * listed. */
  bool contested = false;
  Time contested_at;
  /** A rival has answered at its address, and the worker does not. */
  bool superseded = false;
  /** The last poll got no answer, not even a refusal. */
  bool silent = false;
  /** Whether the current incarnation has answered a poll with our fencing
   * token, so that orders of former owners can no longer take effect. */
  bool fence_confirmed = false;
  /** Incarnation that answered the newest poll; 0 before the first answer. */
  std::int64_t incarnation = 0;
  /** Latest lease end that may have reached the current incarnation, on its
   * clock. */
  std::int64_t lease_sent_ms = 0;
  /** Latest time at which a lease that was not answered by the current
   * incarnation may reach another one. */
  Time grant_arrives_by;
  /** Latest time at which a call that was meant for a former incarnation may
   * extend the leases of the current one. */
  Time former_calls_arrive_by;
  /** Latest lease end that has certainly reached the worker, on its clock. */
  std::int64_t lease_delivered_ms = 0;
  /** When the leases that former owners may have granted have ended, even if
   * the worker does not answer. */
  Time inherited_until;
  /** The store may have a record of the wait for `inherited_until`, so that no
   * lease may be granted. */
  bool lease_wait_recorded = false;
  /** When that record was last sent. */
  Time lease_wait_stored_at;

  /** Highest number of a run end that was applied to the jobs. */
  std::int64_t applied_ends = 0;
  /** Highest number of a run end whose effect is stored. */
  std::int64_t stored_ends = 0;
  /** Highest number of a run end that was acknowledged to the worker. */
  std::int64_t acknowledged_ends = 0;

  /** Sequence number of the newest poll. */
  std::uint64_t poll = 0;
  /** Whether that poll is in flight. */
  bool polling = false;
  /** Whether that poll extends leases. */
  bool poll_extends_leases = false;
  /** Lease end in that poll, if so. */
  std::int64_t poll_lease_ms = 0;
  Time poll_sent_at;
  /** No poll is sent earlier than this. */
  Time next_poll_at;
  /** Consecutive polls without an answer. */
  int missed_polls = 0;
  /** When a poll was last answered. */
  Time answered_at;
  /** Placements await the answer to a poll. */
  bool answer_awaited = false;
  /** A poll was answered on the current connection. */
  bool connected = false;
  /** Reported ends are not stored yet; a waiting poll would return at once. */
  bool ends_pending = false;

  /** Runs that may be present, with the resources that they occupy. */
  std::map<TaskId, Resources> runs;
  /** Start of a run of which no incarnation has shown that it has the run. */
  struct UnsettledStart {
    RunNumber run;
    Time sent_at;
    /** Latest time at which the start may arrive. */
    Time arrives_by;
    std::int64_t lease_until_ms = 0;
    /** It got no answer; the store has a record of it. */
    bool unanswered = false;
    /** A former owner may have ended before it sent the start. */
    bool maybe_unsent = false;
  };
  /** Those of `runs` that are unsettled. An incarnation that has not answered
   * yet may run them under a lease of any length. */
  std::map<TaskId, UnsettledStart> unsettled_runs;
  /** Start of a run that was given up. It may still arrive, or a process that
   * has not answered may have carried it out. */
  struct LateStart {
    RunNumber run;
    /** Latest time at which it may arrive. */
    Time arrives_by;
    /** The current incarnation refuses it, as it has answered a stop. */
    bool excluded = false;
    Time stop_sent_at;
    /** A former owner may have ended before it sent the start. Then the task is
     * not held back once its worker has answered without having the run. */
    bool maybe_unsent = false;
  };
  std::map<TaskId, LateStart> late_starts;
  /** The store may have a record of starts without an answer. */
  bool unanswered_starts_recorded = false;
  /** Sum of the resources of `runs`. */
  Resources used;
  /** Runs whose tasks may crash the worker, with the number of workers that
   * have crashed under them. */
  std::map<TaskId, int> suspects;

  /** The host planner keeps the worker free of new runs. */
  bool reserved = false;

  /** Consecutive failed runs. */
  int failures_in_row = 0;
  /** No runs are placed on the worker before this time. */
  Time avoid_until;

 private:
  std::optional<std::int64_t> clock_ms_;
  Time clock_at_;
  /** First reading of the clock of the current incarnation. */
  std::int64_t first_clock_ms_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_WORKER_H_
