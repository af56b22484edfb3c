#include "libdecision/log_writer.h"

#include <algorithm>
#include <string>

#include "libdecision/text_hash.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxWaiting = 256;
// The log takes several hundred appends per second from all nodes together.
constexpr std::int64_t kFleetAppendsPerSecond = 200;
constexpr Duration kLeastSpacing = milliseconds(50);
constexpr Duration kFirstBackoff = milliseconds(200);
constexpr Duration kMostBackoff = seconds(5);
// The shell reports every append; this only guards against a lost report.
constexpr Duration kReportTimeout = seconds(10);

}  // namespace

LogWriter::LogWriter(WriterId self, std::size_t nodes)
    : self_(std::move(self)),
      spacing_(std::max<Duration>(kLeastSpacing,
                                  Duration(seconds(1)) *
                                      static_cast<std::int64_t>(nodes) /
                                      kFleetAppendsPerSecond)) {}

Result<RecordSequence> LogWriter::Submit(RecordBody body,
                                         std::int64_t wall_ms) {
  if (queue_.size() >= kMaxWaiting) {
    return tl::make_unexpected(
        Error{"append record", "log",
              std::to_string(queue_.size()) + " records wait already"});
  }
  Waiting waiting;
  waiting.record.writer = self_;
  waiting.record.sequence = RecordSequence(next_sequence_++);
  waiting.record.wall_ms = wall_ms;
  waiting.record.body = std::move(body);
  queue_.push_back(std::move(waiting));
  return queue_.back().record.sequence;
}

std::deque<LogWriter::Waiting>::iterator LogWriter::Find(
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
  const bool proved =
      !it->appended && !it->copy_possible && in_flight_ != sequence;
  queue_.erase(it);
  return proved;
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
  Waiting& head = *it;
  switch (finished.result) {
    case AppendResult::kAppended:
      head.appended = true;
      if (unreachable_) {
        unreachable_ = false;
        effects.push_back(
            Explain{{"log-reachable", "node/" + self_.node.value(), "",
                     "an append was answered after " +
                         std::to_string(head.attempts) + " attempts"}});
      }
      return;
    case AppendResult::kRejected:
      Fail(head, now, "rejected", effects);
      return;
    case AppendResult::kUnknown:
      head.copy_possible = true;
      Fail(head, now, "without an answer", effects);
      return;
  }
}

void LogWriter::Fail(Waiting& waiting,
                     Time now,
                     const char* why,
                     Effects& effects) {
  const Duration backoff = Backoff(waiting);
  waiting.due = now + backoff;
  if (!unreachable_) {
    unreachable_ = true;
    effects.push_back(Explain{
        {"log-unreachable", "node/" + self_.node.value(), "",
         std::string("append ") + why + ", next attempt in " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(backoff).count()) +
             " ms with the same sequence"}});
  }
}

Duration LogWriter::Backoff(const Waiting& waiting) const {
  // Doubles per attempt, times 0.5 to 1 by node, sequence and attempt, so that
  // nodes which failed together do not come back together.
  Duration backoff = kFirstBackoff;
  for (std::uint32_t i = 1; i < waiting.attempts && backoff < kMostBackoff;
       ++i) {
    backoff *= 2;
  }
  backoff = std::min(backoff, kMostBackoff);
  const std::string key = self_.node.value() + "/" +
                          std::to_string(waiting.record.sequence.value()) +
                          "/" + std::to_string(waiting.attempts);
  const auto part = static_cast<std::int64_t>(HashText(key) % 1000);
  return backoff / 2 + backoff / 2 * part / 1000;
}

void LogWriter::Tick(Time now, const LogFold& fold, Effects& effects) {
  const RecordSequence read = fold.LastSequence(self_);
  while (!queue_.empty() && queue_.front().record.sequence <= read) {
    queue_.pop_front();
  }
  if (in_flight_) {
    if (now - sent_at_ < kReportTimeout) {
      return;
    }
    const auto lost = Find(*in_flight_);
    in_flight_.reset();
    if (lost != queue_.end()) {
      lost->copy_possible = true;
      Fail(*lost, now, "without a report", effects);
    }
  }
  const auto head =
      std::find_if(queue_.begin(), queue_.end(),
                   [](const auto& waiting) { return !waiting.appended; });
  if (head == queue_.end() || now < head->due || now < next_append_) {
    return;
  }
  ++head->attempts;
  in_flight_ = head->record.sequence;
  sent_at_ = now;
  next_append_ = now + spacing_;
  effects.push_back(AppendRecord{head->record});
}

bool LogWriter::Pending(RecordSequence sequence, const LogFold& fold) const {
  return fold.LastSequence(self_) < sequence &&
         std::any_of(queue_.begin(), queue_.end(), [&](const auto& waiting) {
           return waiting.record.sequence == sequence;
         });
}

}  // namespace baobab
