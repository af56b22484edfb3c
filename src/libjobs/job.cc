#include "libjobs/job.h"

#include <algorithm>
#include <utility>

namespace baobab {

bool HoldsResources(TaskPhase phase) {
  return phase != TaskPhase::kWaiting && phase != TaskPhase::kDone;
}

bool Job::IsLongRunning() const {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const auto& it) { return it.long_running; });
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
}

bool Job::IsReady(const Occurrence& occurrence, int step) const {
  for (const int earlier : Step(step).after) {
    const auto& tasks = occurrence.steps[static_cast<std::size_t>(earlier)];
    if (!std::all_of(tasks.begin(), tasks.end(), [](const auto& it) {
          return it.phase == TaskPhase::kDone;
        })) {
      return false;
    }
  }
  return true;
}

bool Job::IsFinished(const Occurrence& occurrence) const {
  return std::all_of(
      occurrence.steps.begin(), occurrence.steps.end(), [](const auto& tasks) {
        return std::all_of(tasks.begin(), tasks.end(), [](const auto& it) {
          return it.phase == TaskPhase::kDone;
        });
      });
}

bool Job::IsStepDone(int step) const {
  return created == OccurrenceCount() &&
         std::all_of(occurrences.begin(), occurrences.end(), [&](auto& it) {
           const auto& tasks = it.second.steps[static_cast<std::size_t>(step)];
           return std::all_of(tasks.begin(), tasks.end(), [](auto& task) {
             return task.phase == TaskPhase::kDone;
           });
         });
}

Duration Job::Objective() const {
  const auto& critical_paths = CriticalPaths();
  const auto longest =
      critical_paths.empty()
          ? Duration(0)
          : *std::max_element(critical_paths.begin(), critical_paths.end());
  const auto critical_path = static_cast<double>(longest.count());
  return Duration(static_cast<Duration::rep>(critical_path * stretch)) + target;
}

Time Job::LatestStart(const Occurrence& occurrence, int step) const {
  return occurrence.due + Objective() -
         CriticalPaths()[static_cast<std::size_t>(step)];
}

const std::vector<Duration>& Job::CriticalPaths() const {
  if (critical_paths_.empty()) {
    critical_paths_ = CriticalPathsFrom(spec);
  }
  return critical_paths_;
}

}  // namespace baobab
