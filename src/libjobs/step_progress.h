#ifndef SRC_LIBJOBS_STEP_PROGRESS_H_
#define SRC_LIBJOBS_STEP_PROGRESS_H_

#include <vector>

#include "libjobs/job_spec.h"

namespace baobab {

/** What follows from the steps of a job alone. */
struct StepGraph {
  StepGraph() = default;
  explicit StepGraph(const std::vector<StepSpec>& steps);

  /** Steps that wait for each step, in ascending order. */
  std::vector<std::vector<int>> dependents;
  /** Length of the critical path from the start of each step, and the maximum
   * of these. */
  std::vector<Duration> critical_paths;
  Duration longest_path{0};
  bool is_long_running = false;
};

/** Number of tasks of each step of an occurrence that are not done, and of
 * steps for which each step still waits. Kept up to date with each end of a
 * task, so that none needs a pass over all steps. */
class StepProgress {
 public:
  StepProgress() = default;
  /** `open_tasks` has the number of tasks that are not done, for each step. */
  StepProgress(const std::vector<StepSpec>& steps,
               const StepGraph& graph,
               std::vector<int> open_tasks);

  /** Counts a task of the step as done, and returns the steps that wait for
   * nothing any more since. */
  std::vector<int> FinishTask(const StepGraph& graph, int step);

  bool IsReady(int step) const { return awaited_[Index(step)] == 0; }
  bool IsStepDone(int step) const { return open_tasks_[Index(step)] == 0; }
  bool IsFinished() const { return open_steps_ == 0; }

  bool operator==(const StepProgress&) const = default;

 private:
  static std::size_t Index(int step) { return static_cast<std::size_t>(step); }
  /** Returns the dependents of a done step that wait for nothing any more. */
  std::vector<int> FinishStep(const StepGraph& graph, int step);

  std::vector<int> open_tasks_;
  /** Steps that are not done and for which the step waits. */
  std::vector<int> awaited_;
  int open_steps_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_STEP_PROGRESS_H_
