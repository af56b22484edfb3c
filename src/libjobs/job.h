#ifndef SRC_LIBJOBS_JOB_H_
#define SRC_LIBJOBS_JOB_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libjobs/job_spec.h"

namespace baobab {

/** OccurrenceCount the objective until a late job is worth nothing to its
 * caller. */
inline constexpr int kMaxLateFactor = 3;

enum class TaskPhase : std::uint8_t {
  kWaiting,
  /** A worker is chosen; the choice is not yet stored. */
  kPlaced,
  /** The order was sent and has no answer yet. */
  kStarting,
  kRunning,
  /** A stop was ordered, or it is unknown whether the start arrived. */
  kStopping,
  /** Taken over from an earlier owner; the worker has not reported yet. */
  kInherited,
  kDone,
};

/** True if a run of the task may be present at its worker. */
bool HoldsResources(TaskPhase phase);

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  /** Of the newest start; 0 before the first. */
  RunNumber run;
  /** Runs that ended as failed. */
  int failures = 0;
  WorkerId worker;
  std::string checkpoint;
  /** Worker of the last failed run, avoided by the next. */
  WorkerId failed_on;
  /** Not placed earlier than this. */
  Time not_before;
  /** The run was seen at its worker. */
  bool confirmed = false;
  bool stop_answered = false;
  /** When the stop was last sent. */
  Time stop_sent_at;
  /** When the newest start, or stop, was answered. */
  Time answered_at;
  Time started_at;
  int percent = 0;
  /** When `percent` last changed. */
  Time progress_at;
  /** Share at which the task was told to work. */
  int speed_percent = 100;
};

/** One execution of the steps of a job. */
struct Occurrence {
  std::vector<std::vector<Task>> steps;
  /** From when its objective counts. */
  Time due;
};

enum class JobEnd : std::uint8_t { kOpen, kCompleted, kFailed, kCancelled };

/** Name for logs. */
constexpr const char* ToString(JobEnd end) {
  constexpr const char* kNames[] = {"open", "completed", "failed", "cancelled"};
  return kNames[static_cast<int>(end)];
}

struct Job {
  JobId id;
  QueueId queue;
  ServiceId service;
  int priority = 0;
  int max_attempts = 1;
  double stretch = 1;
  Duration target{0};
  /** Starts need a ticket of the advice service. */
  bool needs_advice = false;
  JobSpec spec;
  /** When its caller first asked for it, also if that was refused; its
   * objective counts from then. */
  std::int64_t submitted_wall_ms = 0;
  /** The same on the runtime's clock; before the start of the process for a
   * job taken over. */
  Time submitted_at;
  JobEnd end = JobEnd::kOpen;
  std::int64_t ended_wall_ms = 0;
  /** The end as far as it is stored, which is what callers are shown. */
  JobEnd visible_end = JobEnd::kOpen;
  /** Its acceptance is stored. */
  bool stored = false;
  bool begun = false;
  /** Accepted although it will be late; goes behind work that can be in time.
   */
  bool deferred = false;
  /** Open occurrences by number. */
  std::map<int, Occurrence> occurrences;
  /** Occurrences below this number were created. */
  int created = 0;
  int finished = 0;

  /** It was cancelled before it arrived; only its id is known. A late request
   * must not start it. */
  bool IsTombstone() const { return spec.steps.empty(); }
  /** Number of times that the steps run. */
  int OccurrenceCount() const { return spec.repeats > 0 ? spec.repeats : 1; }
  bool IsPeriodic() const { return spec.repeats > 0; }
  bool IsLongRunning() const;
  const StepSpec& Step(int step) const {
    return spec.steps[static_cast<std::size_t>(step)];
  }
  /** Null if there is no such task now. */
  Task* Find(const TaskId& task);
  const Task* Find(const TaskId& task) const;
  /** Creates the next occurrence, whose objective counts from `due`. */
  void CreateOccurrence(Time due);
  /** True if all steps that `step` depends on are done. */
  bool IsReady(const Occurrence& occurrence, int step) const;
  bool IsFinished(const Occurrence& occurrence) const;
  /** Time from its due time until an occurrence is late. */
  Duration Objective() const;
  /** Latest start of a step that keeps the objective of its occurrence. */
  Time LatestStart(const Occurrence& occurrence, int step) const;

 private:
  /** CriticalPaths of the steps, which do not change; filled at the first use.
   */
  const std::vector<Duration>& CriticalPaths() const;
  mutable std::vector<Duration> critical_paths_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_JOB_H_
