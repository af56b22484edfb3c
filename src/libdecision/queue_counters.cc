#include "libdecision/queue_counters.h"

#include <algorithm>

namespace baobab {

void QueueCounters::AddStart(Duration latency) {
  if (start_latencies_.size() < kMaxLatencySamples) {
    start_latencies_.push_back(latency);
    return;
  }
  start_latencies_[next_latency_] = latency;
  next_latency_ = (next_latency_ + 1) % kMaxLatencySamples;
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
  if (start_latencies_.empty()) {
    return;
  }
  std::vector<Duration> sorted = start_latencies_;
  std::sort(sorted.begin(), sorted.end());
  // Nearest-rank quantile: the smallest value that is not below the given
  // share.
  const auto rank = [&sorted](std::size_t percent) {
    return sorted[(sorted.size() * percent + 99) / 100 - 1];
  };
  status.start_p50 = rank(50);
  status.start_p99 = rank(99);
  status.start_worst = sorted.back();
}

}  // namespace baobab
