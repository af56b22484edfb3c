#include <algorithm>
#include <chrono>
#include <utility>

#include "libjobs/pool_engine.h"
#include "libjobs/pool_room.h"

// Tasks that lack a host, and jobs for which the cell has no room.

namespace baobab {

namespace {

/** How long the steps found to lack a host are reused. */
constexpr Duration kLackingHostsTtl = std::chrono::milliseconds(100);

}  // namespace

PoolRoom PoolEngine::RoomOf(const ServiceId& service) const {
  return {workers_, service,
          [this](const TaskId& id) { return EndsByItself(id); }};
}

bool PoolEngine::EndsByItself(const TaskId& id) const {
  const auto job = jobs_.find(id.job);
  return job == jobs_.end() || job->second.end != JobEnd::kOpen ||
         !job->second.Step(id.step).long_running;
}

int PoolEngine::HostsFor(const StepSpec& step, int tasks) const {
  int each = 0;
  for (const auto& it : listed_->entries) {
    if (step.label.empty() || it.HasLabel(step.label)) {
      each = std::max(each, TasksThatFit(step, it.capacity, tasks));
    }
  }
  return each == 0 ? 0 : (tasks + each - 1) / each;
}

std::map<ServiceId, PoolEngine::MissingHosts> PoolEngine::CountMissingHosts()
    const {
  // Numbers of tasks that no worker can take, by step.
  std::map<StepId, int> tasks;
  for (const auto& [service, steps] : ready_.by_service()) {
    auto room = RoomOf(service);
    for (const auto& it : steps) {
      const Job& job = jobs_.at(it.job);
      const auto& spec = job.Step(it.step);
      const StepId id{it.job, it.occurrence, it.step};
      const auto& all = job.occurrences.at(it.occurrence)
                            .steps[static_cast<std::size_t>(it.step)];
      const auto waiting = static_cast<int>(
          std::count_if(all.begin(), all.end(), [this](const auto& task) {
            return task.phase == TaskPhase::kWaiting &&
                   task.not_before <= now_ && !task.held_back;
          }));
      const bool lacks_host =
          waiting > 0 &&
          (spec.long_running ? !CanPlace(job, id) : !room.Holds(spec, id));
      if (lacks_host) {
        tasks[id] = spec.long_running
                        ? waiting
                        : waiting - room.CountTasks(spec, id, waiting);
      }
    }
  }
  for (const auto& [worker_id, worker] : workers_) {
    if (!worker.reserved) {
      continue;
    }
    for (const auto& [id, resources] : worker.runs) {
      const auto job = jobs_.find(id.job);
      const StepId step{id.job, id.occurrence, id.step};
      if (job != jobs_.end() && job->second.Step(id.step).long_running &&
          !CanPlace(job->second, step)) {
        ++tasks[step];
      }
    }
  }
  std::map<ServiceId, MissingHosts> missing;
  for (const auto& [step, n] : tasks) {
    const Job& job = jobs_.at(step.job);
    const bool late = LatenessOf(job, job.occurrences.at(step.occurrence),
                                 step.step, now_) > 0;
    int& hosts = late ? missing[job.service].late : missing[job.service].hosts;
    // The maximum, not the sum: tasks of different steps may share a host.
    hosts = std::max(hosts, HostsFor(job.Step(step.step), n));
  }
  return missing;
}

const std::set<StepId>& PoolEngine::StepsLackingHosts(
    const ServiceId& service) {
  auto& known = lacking_hosts_[service];
  if (now_ - known.at < kLackingHostsTtl) {
    return known.steps;
  }
  known = {now_, {}};
  auto room = RoomOf(service);
  for (const auto& it : ready_.by_service().at(service)) {
    const StepId id{it.job, it.occurrence, it.step};
    if (!room.Holds(jobs_.at(it.job).Step(it.step), id)) {
      known.steps.insert(id);
    }
  }
  return known.steps;
}

}  // namespace baobab
