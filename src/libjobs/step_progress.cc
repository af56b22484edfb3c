#include "libjobs/step_progress.h"

#include <algorithm>
#include <utility>

namespace baobab {

StepGraph::StepGraph(const std::vector<StepSpec>& steps)
    : dependents(steps.size()), critical_paths(CriticalPathsFrom(steps)) {
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (const int it : steps[i].after) {
      dependents[static_cast<std::size_t>(it)].push_back(static_cast<int>(i));
    }
    longest_path = std::max(longest_path, critical_paths[i]);
    is_long_running = is_long_running || steps[i].long_running;
  }
}

StepProgress::StepProgress(const std::vector<StepSpec>& steps,
                           const StepGraph& graph,
                           std::vector<int> open_tasks)
    : open_tasks_(std::move(open_tasks)),
      open_steps_(static_cast<int>(steps.size())) {
  awaited_.reserve(steps.size());
  for (const auto& it : steps) {
    awaited_.push_back(static_cast<int>(it.after.size()));
  }
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (open_tasks_[i] == 0) {
      FinishStep(graph, static_cast<int>(i));
    }
  }
}

std::vector<int> StepProgress::FinishTask(const StepGraph& graph, int step) {
  return --open_tasks_[Index(step)] == 0 ? FinishStep(graph, step)
                                         : std::vector<int>();
}

std::vector<int> StepProgress::FinishStep(const StepGraph& graph, int step) {
  --open_steps_;
  std::vector<int> freed;
  for (const int it : graph.dependents[Index(step)]) {
    if (--awaited_[Index(it)] == 0) {
      freed.push_back(it);
    }
  }
  return freed;
}

}  // namespace baobab
