#include "libfleet/decision_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "libfleet/loop_timer.h"

namespace baobab {

DecisionLog::DecisionLog(std::string node, Metrics& metrics)
    : node_(std::move(node)), metrics_(metrics) {}

DecisionLog::~DecisionLog() {
  Flush();
}

void DecisionLog::Write(std::string_view event,
                        std::string_view job,
                        std::string_view fields,
                        LineKind kind) {
  std::string counter = "decisions_" + std::string(event);
  std::replace(counter.begin(), counter.end(), '-', '_');
  metrics_.Count(counter);
  const auto wall_ms = WallMilliseconds();
  if (wall_ms / 1000 != current_second_) {
    current_second_ = wall_ms / 1000;
    lines_in_second_ = 0;
    run_lines_in_second_ = 0;
    if (dropped_lines_ > 0 && buffer_.size() < kMaxBufferedBytes) {
      Append(wall_ms, "log-lines-left-out", "",
             fmt::format("count={}", std::exchange(dropped_lines_, 0)));
    }
  }
  if ((kind == LineKind::kRun &&
       ++run_lines_in_second_ > kMaxRunLinesPerSecond) ||
      ++lines_in_second_ > kMaxLinesPerSecond ||
      buffer_.size() >= kMaxBufferedBytes) {
    ++dropped_lines_;
    return;
  }
  Append(wall_ms, event, job, fields);
}

void DecisionLog::Append(std::int64_t wall_ms,
                         std::string_view event,
                         std::string_view job,
                         std::string_view fields) {
  const auto begin = buffer_.size();
  fmt::format_to(std::back_inserter(buffer_), "time={} node={} event={}",
                 wall_ms, node_, event);
  if (!job.empty()) {
    fmt::format_to(std::back_inserter(buffer_), " job={}", job);
  }
  fmt::format_to(std::back_inserter(buffer_), " {}", fields);
  for (auto i = begin; i < buffer_.size(); ++i) {
    const auto byte = static_cast<unsigned char>(buffer_[i]);
    if (byte < 0x20 || byte == 0x7F) {
      buffer_[i] = '?';
    }
  }
  buffer_.push_back('\n');
}

void DecisionLog::Flush() {
  while (buffer_.size() > 0) {
    pollfd ready{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that polls as ready takes PIPE_BUF bytes without blocking.
    constexpr std::size_t kWriteBytes = 4096;
    const auto n = ::write(STDOUT_FILENO, buffer_.data(),
                           std::min(buffer_.size(), kWriteBytes));
    if (n <= 0) {
      return;
    }
    const auto rest = buffer_.size() - static_cast<std::size_t>(n);
    std::copy(buffer_.begin() + n, buffer_.end(), buffer_.begin());
    buffer_.resize(rest);
  }
}

}  // namespace baobab
