#include "libdecision/log_writer.h"

#include <algorithm>
#include <string>

#include "libdecision/text_hash.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxQueuedRecords = 256;
// The log sustains several hundred appends per second from all nodes together.
constexpr std::int64_t kMaxFleetAppendsPerSecond = 200;
constexpr Duration kMinAppendInterval = milliseconds(50);
constexpr Duration kInitialBackoff = milliseconds(200);
constexpr Duration kMaxBackoff = seconds(5);
// The runtime reports the result of each append; this covers a lost report.
constexpr Duration kAppendResultTimeout = seconds(10);

}  // namespace

LogWriter::LogWriter(WriterId self, std::size_t nodes)
    : self_(std::move(self)),
      append_interval_(std::max<Duration>(kMinAppendInterval,
                                          Duration(seconds(1)) *
                                              static_cast<std::int64_t>(nodes) /
                                              kMaxFleetAppendsPerSecond)) {}

Result<RecordSequence> LogWriter::Submit(RecordBody body,
                                         std::int64_t wall_ms) {
  if (queue_.size() >= kMaxQueuedRecords) {
    return tl::make_unexpected(
        Error{"append record", "log",
              std::to_string(queue_.size()) + " records wait already"});
  }
  QueuedRecord queued;
  queued.record.writer = self_;
  queued.record.sequence = RecordSequence(next_sequence_++);
  queued.record.wall_ms = wall_ms;
  queued.record.body = std::move(body);
  queue_.push_back(std::move(queued));
  return queue_.back().record.sequence;
}

std::deque<LogWriter::QueuedRecord>::iterator LogWriter::Find(
    RecordSequence sequence) {
  return std::find_if(queue_.begin(), queue_.end(), [&](const auto& it) {
    return it.record.sequence == sequence;
  });
}

bool LogWriter::Withdraw(RecordSequence sequence) {
  const auto it = Find(sequence);
  if (it == queue_.end()) {
    return false;
  }
  const bool never_sent =
      !it->appended && !it->copy_possible && in_flight_ != sequence;
  queue_.erase(it);
  return never_sent;
}

void LogWriter::OnFinished(const AppendFinished& finished,
                           Time now,
                           Effects& effects) {
  if (in_flight_ != finished.sequence) {
    return;
  }
  in_flight_.reset();
  const auto it = Find(finished.sequence);
  if (it == queue_.end()) {
    return;
  }
  QueuedRecord& head = *it;
  switch (finished.result) {
    case AppendResult::kAppended:
      head.appended = true;
      if (log_unreachable_) {
        log_unreachable_ = false;
        effects.push_back(WriteTimelineEntry{
            {"log-reachable", "node/" + self_.node.value(), "",
             "an append was answered after " + std::to_string(head.attempts) +
                 " attempts"}});
      }
      return;
    case AppendResult::kRejected:
      ScheduleRetry(head, now, "rejected", effects);
      return;
    case AppendResult::kUnknown:
      head.copy_possible = true;
      ScheduleRetry(head, now, "without an answer", effects);
      return;
  }
}

void LogWriter::ScheduleRetry(QueuedRecord& queued,
                              Time now,
                              const char* why,
                              Effects& effects) {
  const Duration backoff = Backoff(queued);
  queued.next_attempt_at = now + backoff;
  if (!log_unreachable_) {
    log_unreachable_ = true;
    effects.push_back(WriteTimelineEntry{
        {"log-unreachable", "node/" + self_.node.value(), "",
         std::string("append ") + why + ", next attempt in " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(backoff).count()) +
             " ms with the same sequence"}});
  }
}

Duration LogWriter::Backoff(const QueuedRecord& queued) const {
  // Doubles with each attempt. A jitter factor of 0.5 to 1, derived from node,
  // sequence and attempt, keeps nodes that failed together from retrying
  // together.
  Duration backoff = kInitialBackoff;
  for (std::uint32_t i = 1; i < queued.attempts && backoff < kMaxBackoff; ++i) {
    backoff *= 2;
  }
  backoff = std::min(backoff, kMaxBackoff);
  const std::string key = self_.node.value() + "/" +
                          std::to_string(queued.record.sequence.value()) + "/" +
                          std::to_string(queued.attempts);
  const auto part = static_cast<std::int64_t>(HashText(key) % 1000);
  return backoff / 2 + backoff / 2 * part / 1000;
}

void LogWriter::Tick(Time now, const LogFold& fold, Effects& effects) {
  const RecordSequence read = fold.LastSequence(self_);
  while (!queue_.empty() && queue_.front().record.sequence <= read) {
    queue_.pop_front();
  }
  if (in_flight_) {
    if (now - in_flight_since_ < kAppendResultTimeout) {
      return;
    }
    const auto lost = Find(*in_flight_);
    in_flight_.reset();
    if (lost != queue_.end()) {
      lost->copy_possible = true;
      ScheduleRetry(*lost, now, "without a report", effects);
    }
  }
  const auto head =
      std::find_if(queue_.begin(), queue_.end(),
                   [](const auto& queued) { return !queued.appended; });
  if (head == queue_.end() || now < head->next_attempt_at ||
      now < next_append_) {
    return;
  }
  ++head->attempts;
  in_flight_ = head->record.sequence;
  in_flight_since_ = now;
  next_append_ = now + append_interval_;
  effects.push_back(AppendRecord{head->record});
}

bool LogWriter::IsPending(RecordSequence sequence, const LogFold& fold) const {
  return fold.LastSequence(self_) < sequence &&
         std::any_of(queue_.begin(), queue_.end(), [&](const auto& queued) {
           return queued.record.sequence == sequence;
         });
}

}  // namespace baobab
