#ifndef SRC_LIBJOBS_JOB_SPEC_H_
#define SRC_LIBJOBS_JOB_SPEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libjobs/ids.h"

namespace baobab {

/** Maximum of each resource of a worker or a task, so that sums over all of
 * them cannot overflow. */
inline constexpr std::int64_t kMaxResource = 1'000'000'000'000;

/** Latest time in ms since 1970: the end of the year 9999. */
inline constexpr std::int64_t kMaxWallMilliseconds = 253'402'300'799'999;

/** Resources of a worker or a task. */
struct Resources {
  std::int64_t cpu_milli = 0;
  std::int64_t mem_mb = 0;
  std::int64_t gpus = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /** Returns whether each resource is from 0 to kMaxResource. */
  bool IsInRange() const;
  /** Returns whether no resource exceeds that of `limit`. */
  bool FitsIn(const Resources& limit) const;
  bool operator==(const Resources&) const = default;
};

/** A step of a job: a number of equal tasks. */
struct StepSpec {
  int count = 1;
  /** Resources that each task needs. */
  Resources need;
  /** The caller's rough estimate of a task's duration. */
  Duration estimate{0};
  /** Indices of earlier steps that must be done first. */
  std::vector<int> after;
  /** Tasks report checkpoints from which they can resume. */
  bool checkpoints = false;
  /** Tasks are placed all at once and end together. */
  bool gang = false;
  /** Tasks should run in one rack. */
  bool rack_local = false;
  /** Stored with the job; currently has no effect. */
  bool speculative = false;
  /** Tasks run until the job is cancelled. */
  bool long_running = false;
  /** Tasks use only CPU time that other tasks of a worker leave idle. */
  bool background = false;
  /** Label that a worker must have; empty for any. */
  std::string label;
  /** Rack that holds the data; empty for any. */
  std::string data_rack;
  /** Maximum tasks of the step and occurrence on one worker; 0 for no limit. */
  int max_per_worker = 0;
  /** Name of the program image of the tasks; stored with the job and not
   * interpreted. */
  std::string image;
  /** Target of the tail response time of a long-running task; 0 for none. */
  Duration tail_target{0};
  /** Maximum long-running tasks that planned stops may make unavailable at
   * once. */
  int max_unavailable = 0;
  /** True if max_unavailable was given. */
  bool has_availability_budget = false;

  bool operator==(const StepSpec&) const = default;
};

/** A job as its caller submits it. */
struct JobSpec {
  /** Opaque to the engine; passed to the workers unchanged. */
  std::string payload;
  std::vector<StepSpec> steps;
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  int repeats = 0;
  /** Due time of occurrence 0, in ms since 1970. */
  std::int64_t first_due_wall_ms = 0;
  /** Time between the due times of occurrences. */
  std::int64_t interval_ms = 0;

  bool operator==(const JobSpec&) const = default;
};

/** Maximum tasks of an accepted job, over all its steps. */
inline constexpr int kMaxTasksPerJob = 10'000;

/** Maximum tasks of the open occurrences of a job; further ones are created as
 * these end. */
inline constexpr int kMaxOpenTasksPerJob = 2 * kMaxTasksPerJob;

/** Returns an error if there are no steps, a number is out of range, or a step
 * depends on itself or a later step. */
Result<void> CheckSpec(const JobSpec& spec);

/** Returns the length of the critical path: the longest chain of estimates
 * through dependent steps. */
Duration CriticalPathEstimate(const JobSpec& spec);

/** Returns the length of the critical path from the start of each step. */
std::vector<Duration> CriticalPathsFrom(const std::vector<StepSpec>& steps);

/** Returns the estimated work in core-milliseconds, without long-running and
 * background tasks. */
double WorkEstimate(const JobSpec& spec);

}  // namespace baobab

#endif  // SRC_LIBJOBS_JOB_SPEC_H_
