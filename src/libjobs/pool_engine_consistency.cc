#include <algorithm>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// State that is kept beside the tasks because deriving it takes a pass over all
// of them, compared with the tasks.

namespace baobab {

std::vector<std::string> PoolEngine::FindInconsistencies() const {
  std::vector<std::string> found;
  for (const auto& [service, steps] : ready_.by_service()) {
    for (const auto& it : steps) {
      if (const auto fault = FaultOfReadyStep(service, it); !fault.empty()) {
        found.push_back(fmt::format("ready step {}.{}.{}: {}", it.job.value(),
                                    it.occurrence, it.step, fault));
      }
    }
  }
  for (const auto& [id, job] : jobs_) {
    if (job.end != JobEnd::kOpen || leaving_.contains(id) || IsSetAside(id)) {
      continue;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
      for (const auto& task : TasksWronglyHeldBack(job, number)) {
        found.push_back(fmt::format("late starts of {}", ToString(task)));
      }
      if (occurrence.progress != job.CountProgress(occurrence)) {
        found.push_back(
            fmt::format("progress of occurrence {}.{}", id.value(), number));
      }
      if (occurrence.progress.IsFinished()) {
        found.push_back(
            fmt::format("finished occurrence {}.{}", id.value(), number));
      }
      for (int step = 0; step < static_cast<int>(job.spec.steps.size());
           ++step) {
        if (HasTasksToPlace(occurrence, step) &&
            !ready_.Contains(job.service, ReadyKey(job, number, step))) {
          found.push_back(fmt::format("step {}.{}.{} waits and is not ready",
                                      id.value(), number, step));
        }
      }
    }
  }
  return found;
}

std::string PoolEngine::FaultOfReadyStep(const ServiceId& service,
                                         const ReadyStep& ready) const {
  const auto found = jobs_.find(ready.job);
  if (found == jobs_.end()) {
    return "no such job";
  }
  const Job& job = found->second;
  if (job.end != JobEnd::kOpen || leaving_.contains(ready.job) ||
      IsSetAside(ready.job)) {
    return "its job places no tasks";
  }
  if (!job.occurrences.contains(ready.occurrence)) {
    return "no such occurrence";
  }
  if (!HasTasksToPlace(job.occurrences.at(ready.occurrence), ready.step)) {
    return "no task waits";
  }
  return job.service == service &&
                 ready == ReadyKey(job, ready.occurrence, ready.step)
             ? ""
             : "wrong place in the order";
}

std::vector<TaskId> PoolEngine::TasksWronglyHeldBack(const Job& job,
                                                     int occurrence) const {
  std::vector<TaskId> found;
  const auto& steps = job.occurrences.at(occurrence).steps;
  for (int step = 0; step < static_cast<int>(steps.size()); ++step) {
    if (job.Step(step).long_running) {
      continue;
    }
    const auto& tasks = steps[static_cast<std::size_t>(step)];
    for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
      const TaskId id{job.id, occurrence, step, i};
      if (tasks[static_cast<std::size_t>(i)].held_back != IsHeldBack(id)) {
        found.push_back(id);
      }
    }
  }
  return found;
}

bool PoolEngine::HasTasksToPlace(const Occurrence& occurrence, int step) {
  const auto& tasks = occurrence.steps[static_cast<std::size_t>(step)];
  return occurrence.progress.IsReady(step) &&
         std::any_of(tasks.begin(), tasks.end(), [](const auto& it) {
           return it.phase == TaskPhase::kWaiting;
         });
}

}  // namespace baobab
