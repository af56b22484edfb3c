#ifndef SRC_LIBDECISION_LOG_WRITER_H_
#define SRC_LIBDECISION_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/log_fold.h"

namespace baobab {

/** Numbers the records of this process and appends them in order, one at a
 * time. Retries keep the sequence number, so that LogFold applies a record at
 * most once. */
class LogWriter {
 public:
  /** `nodes` is the number of nodes that share the append rate limit. */
  LogWriter(WriterId self, std::size_t nodes);

  /** Queues a record, which Tick() appends. Fails if 256 records are queued. */
  Result<RecordSequence> Submit(RecordBody body, std::int64_t wall_ms);

  /** Removes a record from the queue. Returns true if the log certainly has no
   * copy of it; false if a copy is in the log or may still arrive there. */
  bool Withdraw(RecordSequence sequence);

  /** Handles the result of the append in flight. */
  void OnFinished(const AppendFinished& finished, Time now, Effects& effects);

  /** Removes records that were read back from the log, then appends the next
   * record if it is due. */
  void Tick(Time now, const LogFold& fold, Effects& effects);

  /** Returns whether the record is still to be read back from the log. False
   * after it was withdrawn, or if a later record was read back. */
  bool IsPending(RecordSequence sequence, const LogFold& fold) const;

  const WriterId& self() const { return self_; }
  std::size_t queued() const { return queue_.size(); }

  /** Minimum time between two appends of this node. */
  Duration append_interval() const { return append_interval_; }

 private:
  struct QueuedRecord {
    Record record;
    /** Number of appends started. */
    std::uint32_t attempts = 0;
    /** The log acknowledged the record, but it was not read back yet. */
    bool appended = false;
    /** An append ended without an answer, so the log may have a copy. */
    bool copy_possible = false;
    Time next_attempt_at;
  };

  std::deque<QueuedRecord>::iterator Find(RecordSequence sequence);
  Duration Backoff(const QueuedRecord& queued) const;
  /** Sets the backoff after a failed append; `why` is for the timeline. */
  void ScheduleRetry(QueuedRecord& queued,
                     Time now,
                     const char* why,
                     Effects& effects);

  WriterId self_;
  Duration append_interval_;
  std::uint64_t next_sequence_ = 1;
  std::deque<QueuedRecord> queue_;
  /** Record being appended; it may have been withdrawn in the meantime. */
  std::optional<RecordSequence> in_flight_;
  Time in_flight_since_;
  /** Earliest time of the next append by the rate limit. */
  Time next_append_;
  bool log_unreachable_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_WRITER_H_
