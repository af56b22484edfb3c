#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Runs that are lost with their worker, and tasks that crash the workers which
// start them. A crash puts all tasks of the worker under suspicion. They are
// then spread over workers, so that the next crash tells them apart.

namespace baobab {

namespace {

/** Progress of a long-running task that serves. */
constexpr int kServingPercent = 100;

}  // namespace

void PoolEngine::BeginNewIncarnation(Worker& worker,
                                     const WorkerReport& report) {
  Log("worker-reborn", JobId(),
      fmt::format("worker={} born={} former_born={} listed_born={} runs={}",
                  worker.entry.id.value(), report.incarnation,
                  worker.incarnation, worker.entry.incarnation,
                  worker.runs.size()));
  worker.StartNewIncarnation(report.incarnation);
  // Runs that were started in the new incarnation have a lease computed from
  // the clock of the previous one, which the worker limits to its maximum
  // lease.
  worker.lease_sent_ms = report.clock_ms + tuning_.max_lease.count() / 1000;
  worker.former_calls_arrive_by =
      std::max(worker.former_calls_arrive_by, worker.grant_arrives_by);
  for (const auto& [id, start] : worker.unsettled_runs) {
    worker.former_calls_arrive_by =
        std::max(worker.former_calls_arrive_by, start.arrives_by);
  }
  for (const auto& [id, start] : worker.late_starts) {
    worker.former_calls_arrive_by =
        std::max(worker.former_calls_arrive_by, start.arrives_by);
  }
  ReadmitLateStarts(worker);
  ExcludeLateStarts(worker);
  for (const auto& [id, resources] : worker.runs) {
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (task && task->worker == worker.entry.id &&
        task->phase == TaskPhase::kStopping) {
      OrderStop(id, *task);
    }
  }
}

void PoolEngine::LoseRuns(Worker& worker,
                          const std::string& why,
                          WorkerFate fate) {
  std::vector<TaskId> ids;
  for (const auto& [id, resources] : worker.runs) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    NoteSubject(id.job, id.occurrence, id.step);
    if (!worker.runs.contains(id)) {
      // Undone with another member of its gang.
      continue;
    }
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (!task || task->worker != worker.entry.id) {
      worker.RemoveRun(id);
      continue;
    }
    if (task->phase == TaskPhase::kPlaced) {
      UndoPlacement(found->second, id, *task);
      continue;
    }
    if (fate == WorkerFate::kUnknown &&
        MayOutlastLease(worker, id, found->second.Step(id.step))) {
      continue;
    }
    Log("run-lost", id.job,
        fmt::format("task={} run={} worker={} why={} {} {}", ToString(id),
                    task->run.value(), worker.entry.id.value(), why,
                    IncarnationFields(worker, *task), LeaseFields(worker)));
    // A worker that drains has stopped as planned.
    if (!worker.entry.draining) {
      if (fate == WorkerFate::kCrashed) {
        RecordCrash(id, *task);
      } else if (lost_runs_.Add(id, *task, now_)) {
        ++task->unexplained_losses;
      }
    }
    EndRun(found->second, id, *task, EndKind::kLeaseExpired, "");
  }
  NoteSubject();
}

void PoolEngine::StoreAwaitingPlacements(Worker& worker) {
  if (!std::exchange(worker.answer_awaited, false)) {
    return;
  }
  for (const auto& [id, resources] : worker.runs) {
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (!task || task->worker != worker.entry.id || !task->awaits_poll) {
      continue;
    }
    task->awaits_poll = false;
    task->started_after_poll = true;
    task->incarnation = worker.incarnation;
    staged_.dirty.insert(id.job);
    if (!found->second.Step(id.step).gang) {
      staged_.placed.emplace_back(id, task->run);
      continue;
    }
    // The members of a gang start together.
    const auto& members = found->second.occurrences.at(id.occurrence)
                              .steps[static_cast<std::size_t>(id.step)];
    if (std::any_of(members.begin(), members.end(),
                    [](const auto& it) { return it.awaits_poll; })) {
      continue;
    }
    for (int i = 0; i < static_cast<int>(members.size()); ++i) {
      staged_.placed.emplace_back(TaskId{id.job, id.occurrence, id.step, i},
                                  task->run);
    }
  }
}

void PoolEngine::UndoAwaitingPlacements(Worker& worker) {
  if (!std::exchange(worker.answer_awaited, false)) {
    return;
  }
  std::vector<TaskId> ids;
  for (const auto& [id, resources] : worker.runs) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (task && task->worker == worker.entry.id && task->awaits_poll) {
      UndoPlacement(found->second, id, *task);
    }
  }
}

void PoolEngine::UndoPlacement(Job& job, const TaskId& id, Task& task) {
  const bool awaits_poll = std::exchange(task.awaits_poll, false);
  ReleaseResources(id, task);
  ReturnToWaiting(job, id, task);
  if (!awaits_poll || !job.Step(id.step).gang) {
    return;
  }
  auto& members = job.occurrences.at(id.occurrence)
                      .steps[static_cast<std::size_t>(id.step)];
  for (int i = 0; i < static_cast<int>(members.size()); ++i) {
    Task& member = members[static_cast<std::size_t>(i)];
    if (member.phase == TaskPhase::kPlaced) {
      const TaskId member_id{id.job, id.occurrence, id.step, i};
      member.awaits_poll = false;
      ReleaseResources(member_id, member);
      ReturnToWaiting(job, member_id, member);
    }
  }
}

void PoolEngine::RecordCrash(const TaskId& id, Task& task) {
  if (task.incarnation == 0) {
    return;
  }
  task.incarnation = 0;
  ++(task.WasStartedOnLiveWorker() ? task.crashes : task.doubtful_crashes);
  task.failed_on = task.worker;
  staged_.dirty.insert(id.job);
  LogRun("run-crashed", id,
         fmt::format("task={} run={} worker={} host={} crashes={} doubtful={}",
                     ToString(id), task.run.value(), task.worker.value(),
                     task.host.value(), task.crashes, task.doubtful_crashes));
}

bool PoolEngine::FailsForCrashes(Job& job, const TaskId& id, const Task& task) {
  // A member of a gang never runs alone.
  const bool decided = task.on_trial || job.Step(id.step).gang;
  if (task.crashes <
      (decided ? tuning_.max_crashes : tuning_.max_all_crashes)) {
    return false;
  }
  EndJob(job, JobEnd::kFailed,
         fmt::format("crashes-workers task={} crashes={} doubtful={}",
                     ToString(id), task.crashes, task.doubtful_crashes));
  return true;
}

void PoolEngine::CountLateCrashes(const std::vector<WorkerEntry>& workers) {
  std::vector<WorkerEntry> known;
  if (!lost_runs_.empty() && division_) {
    std::copy_if(
        workers.begin(), workers.end(), std::back_inserter(known),
        [&](const auto& it) { return division_->Contains(it.service); });
  }
  for (const auto& it : lost_runs_.TakeCrashed(known)) {
    const auto found = jobs_.find(it.task.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(it.task);
    if (!task || found->second.end != JobEnd::kOpen ||
        task->phase == TaskPhase::kDone || IsSetAside(it.task.job)) {
      continue;
    }
    task->unexplained_losses = std::max(0, task->unexplained_losses - 1);
    ++(it.started_on_live_worker ? task->crashes : task->doubtful_crashes);
    staged_.dirty.insert(it.task.job);
    LogRun("run-crashed", it.task,
           fmt::format("task={} host={} crashes={} doubtful={} learnt=late",
                       ToString(it.task), it.host.value(), task->crashes,
                       task->doubtful_crashes));
    FailsForCrashes(found->second, it.task, *task);
  }
  ForgetLosses(lost_runs_.TakeExpired(now_));
}

void PoolEngine::ForgetLosses(const std::vector<LostRuns::Run>& runs) {
  for (const auto& it : runs) {
    const auto found = jobs_.find(it.task.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(it.task);
    if (!task || task->unexplained_losses == 0) {
      continue;
    }
    --task->unexplained_losses;
    staged_.dirty.insert(it.task.job);
    schedule_needed_ = true;
    const auto worker = workers_.find(task->worker);
    if (worker != workers_.end() && task->Suspicion() == 0) {
      worker->second.SetSuspicion(it.task, 0);
    }
  }
}

void PoolEngine::ClearSuspicion(const Job& job,
                                const ActiveRun& reported,
                                Worker& worker,
                                Task& task) {
  task.incarnation = worker.incarnation;
  if (task.Suspicion() == 0 || !job.Step(reported.task.step).long_running ||
      reported.percent != kServingPercent ||
      now_ - task.started_at < tuning_.crash_trial) {
    return;
  }
  task.crashes = 0;
  task.doubtful_crashes = 0;
  task.unexplained_losses = 0;
  lost_runs_.Forget(reported.task);
  worker.SetSuspicion(reported.task, 0);
  staged_.dirty.insert(job.id);
  schedule_needed_ = true;
}

}  // namespace baobab
