#include "libjobs/job_spec.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

constexpr int kMaxRepeats = 1'000'000;

/** Longer durations are mistakes, and sums of them could overflow. */
constexpr Duration kMaxEstimate = std::chrono::hours(366 * 24);
constexpr std::int64_t kMaxIntervalMilliseconds =
    kMaxEstimate / std::chrono::milliseconds(1);

bool IsDurationInRange(Duration duration) {
  return duration >= Duration(0) && duration <= kMaxEstimate;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  mem_mb += other.mem_mb;
  gpus += other.gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  mem_mb -= other.mem_mb;
  gpus -= other.gpus;
  return *this;
}

bool Resources::IsInRange() const {
  const auto in_range = [](std::int64_t n) {
    return n >= 0 && n <= kMaxResource;
  };
  return in_range(cpu_milli) && in_range(mem_mb) && in_range(gpus);
}

bool Resources::FitsIn(const Resources& limit) const {
  return cpu_milli <= limit.cpu_milli && mem_mb <= limit.mem_mb &&
         gpus <= limit.gpus;
}

Result<void> CheckSpec(const JobSpec& spec) {
  const auto fault = [](const char* message) {
    return tl::unexpected(Error{"check job", "", message});
  };
  if (spec.steps.empty()) {
    return fault("a job needs at least one step");
  }
  if (spec.repeats < 0 || spec.repeats > kMaxRepeats ||
      spec.first_due_wall_ms < 0 ||
      spec.first_due_wall_ms > kMaxWallMilliseconds || spec.interval_ms < 0 ||
      spec.interval_ms > kMaxIntervalMilliseconds) {
    return fault("the occurrences are out of range");
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const auto& step = spec.steps[i];
    if (step.count < 1) {
      return fault("a step needs at least one task");
    }
    tasks += step.count;
    if (tasks > kMaxTasksPerJob) {
      return fault("the job has too many tasks");
    }
    if (!step.need.IsInRange()) {
      return fault(
          "a task needs an amount of CPU, memory or GPUs out of range");
    }
    if (!IsDurationInRange(step.estimate) ||
        !IsDurationInRange(step.tail_target)) {
      return fault("a duration of a step is out of range");
    }
    for (const int it : step.after) {
      if (it < 0 || it >= static_cast<int>(i)) {
        return fault("a step depends on a step that is not earlier");
      }
    }
  }
  return {};
}

Duration CriticalPathEstimate(const JobSpec& spec) {
  std::vector<Duration> ends(spec.steps.size());
  Duration longest{0};
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    Duration begin{0};
    for (const int it : spec.steps[i].after) {
      begin = std::max(begin, ends[static_cast<std::size_t>(it)]);
    }
    ends[i] = begin + spec.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

std::vector<Duration> CriticalPathsFrom(const std::vector<StepSpec>& steps) {
  // Steps only depend on earlier ones, so one pass from the end suffices.
  std::vector<Duration> critical_paths(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    critical_paths[i] += steps[i].estimate;
    for (const int it : steps[i].after) {
      auto& earlier = critical_paths[static_cast<std::size_t>(it)];
      earlier = std::max(earlier, critical_paths[i]);
    }
  }
  return critical_paths;
}

double WorkEstimate(const JobSpec& spec) {
  double work = 0;
  for (const auto& it : spec.steps) {
    if (!it.long_running && !it.background) {
      work += static_cast<double>(it.count) *
              static_cast<double>(it.need.cpu_milli) / 1000.0 *
              static_cast<double>(it.estimate.count()) / 1000.0;
    }
  }
  return work;
}

}  // namespace baobab
