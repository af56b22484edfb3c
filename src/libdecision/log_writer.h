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
 * time. A record is sent with the same sequence until the log has it or it is
 * withdrawn, so that LogFold applies it at most once. */
class LogWriter {
 public:
  /** `nodes` is the number of nodes that share the append rate of the log. */
  LogWriter(WriterId self, std::size_t nodes);

  /** Queues a record; Tick() sends it. Error: 256 records wait already. */
  Result<RecordSequence> Submit(RecordBody body, std::int64_t wall_ms);

  /** Stops sending a record. Returns true if the log proved that it has none
   * of the copies; false if a copy may be or come into the log. */
  bool Withdraw(RecordSequence sequence);

  void OnFinished(const AppendFinished& finished, Time now, Effects& effects);

  /** Drops records that were read back, then sends what is due. */
  void Tick(Time now, const LogFold& fold, Effects& effects);

  /** True until the record was read back or withdrawn. A record whose turn
   * passed because a later one was read back is not pending either. */
  bool IsPending(RecordSequence sequence, const LogFold& fold) const;

  const WriterId& self() const { return self_; }
  std::size_t queued() const { return queue_.size(); }

  /** Least time between two appends of this node. */
  Duration append_interval() const { return append_interval_; }

 private:
  struct QueuedRecord {
    Record record;
    std::uint32_t attempts = 0;
    /** The log took it; it only waits to be read back. */
    bool appended = false;
    /** An attempt ended without an answer, so that a copy may exist. */
    bool copy_possible = false;
    Time next_attempt_at;
  };

  std::deque<QueuedRecord>::iterator Find(RecordSequence sequence);
  Duration Backoff(const QueuedRecord& queued) const;
  void ScheduleRetry(QueuedRecord& queued,
                     Time now,
                     const char* why,
                     Effects& effects);

  WriterId self_;
  Duration append_interval_;
  std::uint64_t next_sequence_ = 1;
  std::deque<QueuedRecord> queue_;
  /** At most one append; it may be of a record that was withdrawn since. */
  std::optional<RecordSequence> in_flight_;
  Time in_flight_since_;
  Time next_append_;
  bool log_unreachable_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_WRITER_H_
