#ifndef SRC_LIBJOBS_JOB_SPEC_H_
#define SRC_LIBJOBS_JOB_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libjobs/ids.h"

namespace baobab {

/** What a worker has or a task takes. */
struct Resources {
  std::int64_t cpu_milli = 0;
  std::int64_t mem_mb = 0;
  std::int64_t gpus = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /** True if no part exceeds that of `limit`. */
  bool FitsIn(const Resources& limit) const;
  bool operator==(const Resources&) const = default;
};

/** Tasks of one kind. */
struct StepSpec {
  int count = 1;
  Resources need;
  /** The caller's rough estimate of a task's duration. */
  Duration estimate{0};
  /** Earlier steps that must be done first. */
  std::vector<int> after;
  bool checkpoints = false;
  bool gang = false;
  /** All tasks of a run should be in one rack. */
  bool rack_local = false;
  bool speculative = false;
  /** Runs until the job is cancelled. */
  bool long_running = false;
  /** Uses only what the other tasks of a worker leave unused. */
  bool background = false;
  /** Label that a worker must have; empty for any. */
  std::string label;
  /** Rack that holds the data; empty for any. */
  std::string data_rack;
  /** Most tasks of the step and occurrence on one worker; 0 for any number. */
  int max_per_worker = 0;
  std::string image;
  /** Bound of the response times that a lasting task serves; 0 for none. */
  Duration tail_target{0};
  /** Lasting tasks that may be away at once through our own orders. */
  int max_unavailable = 0;
  /** True if max_unavailable was given. */
  bool has_availability_budget = false;

  bool operator==(const StepSpec&) const = default;
};

struct JobSpec {
  /** Passed to the workers as it is. */
  std::string payload;
  std::vector<StepSpec> steps;
  /** 0 for a job that runs once, at once. */
  int repeats = 0;
  /** Wall clock of occurrence 0, in ms since 1970. */
  std::int64_t first_due_wall_ms = 0;
  std::int64_t interval_ms = 0;

  bool operator==(const JobSpec&) const = default;
};

/** Most tasks of a job that is accepted, over all its steps. */
inline constexpr int kMaxTasksPerJob = 10'000;

/** Errors: no steps, a count out of range, or a dependency on a later step. */
Result<void> CheckSpec(const JobSpec& spec);

/** Longest chain of estimates through the steps. */
Duration CriticalPathEstimate(const JobSpec& spec);

/** Longest chain of estimates that begins with each step. */
std::vector<Duration> CriticalPathsFrom(const JobSpec& spec);

/** Estimated work of all tasks that end by themselves, in core-milliseconds. */
double WorkEstimate(const JobSpec& spec);

}  // namespace baobab

#endif  // SRC_LIBJOBS_JOB_SPEC_H_
