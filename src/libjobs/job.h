#ifndef SRC_LIBJOBS_JOB_H_
#define SRC_LIBJOBS_JOB_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libjobs/step_progress.h"

namespace baobab {

/** Multiple of its objective after which a late job has no utility for its
 * caller. */
inline constexpr int kMaxLateFactor = 3;

/** Phase in the life cycle of a task. */
enum class TaskPhase : std::uint8_t {
  kWaiting,
  /** A worker is chosen, but the choice is not stored yet. */
  kPlaced,
  /** The start was sent and has not been answered yet. */
  kStarting,
  kRunning,
  /** A stop was sent, possibly without knowing whether the start arrived. */
  kStopping,
  /** Loaded from a former owner's records; the worker has not reported yet. */
  kInherited,
  kDone,
};

/** Returns whether a run of a task in this phase may be present at its
 * worker. */
bool HoldsResources(TaskPhase phase);

/** Number of crashes under a task from which it runs apart from others. The
 * first one leaves all tasks of a worker under suspicion. */
inline constexpr int kCrashesForTrial = 2;

/** Time for which a suspected task waits for a worker of its own, or until the
 * fate of its former workers is known. Many tasks may be under suspicion. */
inline constexpr Duration kMaxTrialWait = std::chrono::milliseconds(2000);

/** Maximum size of a checkpoint. One that is longer is not used, as a record
 * has those of kTasksPerRecord tasks and the store limits its size. */
inline constexpr std::size_t kMaxCheckpointBytes = 1024;

/** State of one task of an occurrence. */
struct Task {
  /** Returns the number of workers that may have crashed under the task. */
  int Suspicion() const {
    return crashes + doubtful_crashes + unexplained_losses;
  }
  /** Returns whether the task is to run on a worker of its own, if it is placed
   * at `now`. */
  bool NeedsTrial(Time now) const {
    return Suspicion() >= kCrashesForTrial &&
           now - waiting_since < kMaxTrialWait;
  }
  /** Returns whether starts of the task may have gone to workers that were
   * already down. */
  bool HasDoubtfulStarts() const {
    return doubtful_crashes + unexplained_losses > 0;
  }
  /** Returns whether the worker of the newest run was up when the run was to
   * start, so that its crash counts against the task. */
  bool WasStartedOnLiveWorker() const {
    return confirmed || started_after_poll;
  }

  TaskPhase phase = TaskPhase::kWaiting;
  /** Number of the newest run; 0 before the first. */
  RunNumber run;
  /** Number of runs that failed. */
  int failures = 0;
  WorkerId worker;
  std::string checkpoint;
  /** Worker of the last run that failed or during which its worker crashed; the
   * next run avoids it. */
  WorkerId failed_on;
  /** Number of runs in a row during which their worker crashed: those on a
   * worker that was up when they were to start, and those of which it is
   * unknown whether the worker had crashed before. */
  int crashes = 0;
  int doubtful_crashes = 0;
  /** Number of runs that were lost with a worker of which nothing was heard
   * since; it may have crashed. */
  int unexplained_losses = 0;
  /** Whether the newest run has a worker of its own, so that a crash tells the
   * task from others. */
  bool on_trial = false;
  /** Host and incarnation of the worker when the newest run was placed. The
   * incarnation is 0 once the run is counted as crashed. */
  HostId host;
  std::int64_t incarnation = 0;
  /** Number of the placement of the newest run. */
  PlacementNumber placement;
  /** Address of that worker. A new owner asks the worker about the run there
   * while the list lacks it. */
  std::string address;
  /** When the task last began to wait for a placement; Time() before its step
   * was ready. */
  Time waiting_since;
  /** When a worker was last chosen. */
  Time placed_at;
  /** Earliest time of the next placement. */
  Time not_before;
  /** Whether a finite task waits until starts of its former runs can no longer
   * take effect; see Worker::late_starts. */
  bool held_back = false;
  /** Whether the worker has confirmed the newest run. */
  bool confirmed = false;
  /** The placement is stored once its worker has answered another poll. */
  bool awaits_poll = false;
  /** Whether the worker answered a poll shortly before the newest start was
   * sent. */
  bool started_after_poll = false;
  /** Whether the worker has answered the last stop. */
  bool stop_answered = false;
  /** When the stop was last sent. */
  Time stop_sent_at;
  /** When the newest start or stop was answered. */
  Time answered_at;
  Time started_at;
  /** When this owner first saw the run, if a former owner has started it. The
   * run may have a stop of the former owner that is not stored. */
  std::optional<Time> inherited_at;
  /** Progress reported by the worker, in percent. */
  int percent = 0;
  /** When `percent` last changed. */
  Time progress_at;
  /** Speed to which the run was throttled, in percent of full speed. */
  int speed_percent = 100;
};

/** One execution of the steps of a job. */
struct Occurrence {
  std::vector<std::vector<Task>> steps;
  /** Follows from the phases of the tasks. */
  StepProgress progress;
  /** Time from which its objective counts. */
  Time due;
};

/** How a job ended; kOpen until then. */
enum class JobEnd : std::uint8_t { kOpen, kCompleted, kFailed, kCancelled };

/** Returns the name for logs. */
constexpr const char* ToString(JobEnd end) {
  constexpr const char* kNames[] = {"open", "completed", "failed", "cancelled"};
  return kNames[static_cast<int>(end)];
}

/** A job and the state of its open occurrences. */
struct Job {
  JobId id;
  QueueId queue;
  ServiceId service;
  int priority = 0;
  int max_attempts = 1;
  /** Terms of the objective; see Objective(). */
  double stretch = 1;
  Duration target{0};
  /** Starts need a ticket of the advice service. */
  bool needs_advice = false;
  JobSpec spec;
  /** Wall clock of the first submission in ms since 1970, also if that was
   * refused; the objective counts from then. */
  std::int64_t submitted_wall_ms = 0;
  /** The same on the steady clock. For a job loaded from the store it may lie
   * before the start of the process. */
  Time submitted_at;
  JobEnd end = JobEnd::kOpen;
  std::int64_t ended_wall_ms = 0;
  /** The end as stored, which is what callers see. */
  JobEnd visible_end = JobEnd::kOpen;
  /** Whether the acceptance is stored. */
  bool stored = false;
  /** Whether any task has started. */
  bool begun = false;
  /** Accepted although it will be late; placed after work that can be in
   * time. */
  bool deferred = false;
  /** How often cells have handed the job over since it was accepted. */
  int hand_overs = 0;
  /** Open occurrences by number. */
  std::map<int, Occurrence> occurrences;
  /** Number of occurrences created so far, which is the number of the next. */
  int created = 0;
  /** Digests of the stored parts of the progress, by number. */
  std::map<int, std::uint64_t> stored_parts;
  /** Number of occurrences that are finished. */
  int finished = 0;

  /** Returns whether the job was cancelled before it arrived, so that only its
   * id is known. A late submission must not start it. */
  bool IsTombstone() const { return spec.steps.empty(); }
  /** Returns how often the steps run. */
  int OccurrenceCount() const { return spec.repeats > 0 ? spec.repeats : 1; }
  bool IsPeriodic() const { return spec.repeats > 0; }
  bool IsLongRunning() const { return Graph().is_long_running; }
  const StepSpec& Step(int step) const {
    return spec.steps[static_cast<std::size_t>(step)];
  }
  /** Returns the task, or null if no open occurrence has it. */
  Task* Find(const TaskId& task);
  const Task* Find(const TaskId& task) const;
  /** Creates the next occurrence, whose objective counts from `due`. */
  void CreateOccurrence(Time due);
  /** Marks a task as done, and returns the steps of which the tasks may begin
   * since. */
  std::vector<int> MarkDone(Occurrence& occurrence, int step, Task& task) const;
  /** Returns the progress according to the phases of all tasks. */
  StepProgress CountProgress(const Occurrence& occurrence) const;
  /** Returns whether all tasks of the step are done in all occurrences. */
  bool IsStepDone(int step) const;
  /** Returns the time after its due time from which an occurrence is late; its
   * cost does not depend on the number of steps. */
  Duration Objective() const;
  /** Returns the latest start of `step` that meets the objective. */
  Time LatestStart(const Occurrence& occurrence, int step) const;

 private:
  /** Computed on first use, since the steps do not change. */
  const StepGraph& Graph() const;
  mutable StepGraph graph_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_JOB_H_
