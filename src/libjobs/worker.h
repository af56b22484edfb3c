#ifndef SRC_LIBJOBS_WORKER_H_
#define SRC_LIBJOBS_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libjobs/pool_tuning.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** What the owner of a shard knows of one worker. */
class Worker {
 public:
  explicit Worker(WorkerEntry entry) : entry(std::move(entry)) {}

  /** Nominal reading of the worker's clock. */
  std::int64_t ClockAt(Time now) const;
  /** The worker's clock shows at least this. */
  std::int64_t MinClockAt(Time now, double drift) const;
  void SetClock(std::int64_t clock_ms, Time now);
  bool KnowsClock() const { return clock_ms_.has_value(); }

  /** Rack of the labels, or empty. */
  std::string_view Rack() const;
  bool HasLabel(std::string_view label) const;
  /** May be given new runs. */
  bool IsUsable(Time now) const;
  Resources Free() const;

  /** Counts the end of a run for the quarantine; returns true if it begins. */
  bool RecordRunEnd(bool failed, Time now, const PoolTuning& tuning);

  /** A new life under the same id: all former runs and counts are gone. */
  void StartNewIncarnation(std::int64_t incarnation);

  WorkerEntry entry;
  bool listed = true;
  /** When the list stopped to show it. */
  Time unlisted_at;
  /** Its host runs a newer worker. */
  bool superseded = false;
  /** It has answered a look with our token in its present life, so that no
   * order of a former owner can take effect any more. */
  bool fence_confirmed = false;
  std::int64_t incarnation = 0;
  /** Latest lease end that may have reached the worker. */
  std::int64_t lease_sent_ms = 0;
  /** Runs of a former owner have ended by then, if there is no answer. */
  Time inherited_until;

  /** Highest end that was taken into the jobs, that is stored, and that the
   * worker was told. */
  std::int64_t applied_ends = 0;
  std::int64_t stored_ends = 0;
  std::int64_t acknowledged_ends = 0;

  std::uint64_t poll = 0;
  bool polling = false;
  Time poll_sent_at;
  Time next_poll_at;
  /** Looks without an answer in a row. */
  int missed_polls = 0;
  /** A look was answered on the present connection. */
  bool connected = false;
  /** Unstored ends were reported; a waiting look would return at once. */
  bool ends_pending = false;

  /** Runs that may be present, with what they take. */
  std::map<TaskId, Resources> runs;
  Resources used;

  /** Kept free for the planner. */
  bool reserved = false;

  int failures_in_row = 0;
  Time avoid_until;

 private:
  std::optional<std::int64_t> clock_ms_;
  Time clock_at_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_WORKER_H_
