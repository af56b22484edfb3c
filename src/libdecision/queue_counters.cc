#include "libdecision/queue_counters.h"

#include <algorithm>

namespace baobab {

void QueueCounters::AddStart(Duration latency) {
  if (starts_.size() < kStarts) {
    starts_.push_back(latency);
    return;
  }
  starts_[next_start_] = latency;
  next_start_ = (next_start_ + 1) % kStarts;
}

void QueueCounters::AddEnd(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      ++done_;
      break;
    case Outcome::kNotRun:
      ++not_run_;
      break;
    case Outcome::kUnknown:
      ++unknown_;
      break;
  }
}

void QueueCounters::FillIn(QueueStatus& status) const {
  status.done = done_;
  status.not_run = not_run_;
  status.unknown = unknown_;
  if (starts_.empty()) {
    return;
  }
  std::vector<Duration> sorted = starts_;
  std::sort(sorted.begin(), sorted.end());
  // Nearest rank: the smallest value that is not below the given share.
  const auto rank = [&sorted](std::size_t percent) {
    return sorted[(sorted.size() * percent + 99) / 100 - 1];
  };
  status.start_p50 = rank(50);
  status.start_p99 = rank(99);
  status.start_worst = sorted.back();
}

}  // namespace baobab
