#include "libjobs/job.h"

#include <algorithm>
#include <utility>

namespace baobab {

bool HoldsResources(TaskPhase phase) {
  return phase != TaskPhase::kWaiting && phase != TaskPhase::kDone;
}

const Task* Job::Find(const TaskId& task) const {
  const auto it = occurrences.find(task.occurrence);
  if (it == occurrences.end() || task.step < 0 || task.index < 0 ||
      task.step >= static_cast<int>(it->second.steps.size())) {
    return nullptr;
  }
  const auto& tasks = it->second.steps[static_cast<std::size_t>(task.step)];
  if (task.index >= static_cast<int>(tasks.size())) {
    return nullptr;
  }
  return &tasks[static_cast<std::size_t>(task.index)];
}

Task* Job::Find(const TaskId& task) {
  return const_cast<Task*>(std::as_const(*this).Find(task));
}

void Job::CreateOccurrence(Time due) {
  auto& occurrence = occurrences[created++];
  occurrence.due = due;
  for (const auto& it : spec.steps) {
    occurrence.steps.emplace_back(static_cast<std::size_t>(it.count));
  }
  occurrence.progress = CountProgress(occurrence);
}

std::vector<int> Job::MarkDone(Occurrence& occurrence,
                               int step,
                               Task& task) const {
  if (task.phase == TaskPhase::kDone) {
    return {};
  }
  task.phase = TaskPhase::kDone;
  return occurrence.progress.FinishTask(Graph(), step);
}

StepProgress Job::CountProgress(const Occurrence& occurrence) const {
  std::vector<int> open_tasks;
  open_tasks.reserve(occurrence.steps.size());
  for (const auto& tasks : occurrence.steps) {
    open_tasks.push_back(static_cast<int>(std::count_if(
        tasks.begin(), tasks.end(),
        [](const auto& it) { return it.phase != TaskPhase::kDone; })));
  }
  return {spec.steps, Graph(), std::move(open_tasks)};
}

bool Job::IsStepDone(int step) const {
  return created == OccurrenceCount() &&
         std::all_of(occurrences.begin(), occurrences.end(), [&](auto& it) {
           return it.second.progress.IsStepDone(step);
         });
}

Duration Job::Objective() const {
  const auto longest = static_cast<double>(Graph().longest_path.count());
  return Duration(static_cast<Duration::rep>(longest * stretch)) + target;
}

Time Job::LatestStart(const Occurrence& occurrence, int step) const {
  return occurrence.due + Objective() -
         Graph().critical_paths[static_cast<std::size_t>(step)];
}

const StepGraph& Job::Graph() const {
  if (graph_.critical_paths.size() != spec.steps.size()) {
    graph_ = StepGraph(spec.steps);
  }
  return graph_;
}

}  // namespace baobab
