#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Starts without an answer whose runs were given up. The incarnation of the
// worker that has answered a stop of the run refuses such a start, but a later
// one knows nothing of the stop. A finite task is placed again once the start
// has no effect any more: the worker has answered a poll that was sent when the
// start could no longer arrive, or the longest lease from then on has ended. If
// its run is done first, the task is done.

namespace baobab {

namespace {

/** Time after the last commit from which a commit is sent only to store which
 * placements are settled. */
constexpr Duration kSettledInterval = std::chrono::milliseconds(1000);

}  // namespace

void PoolEngine::KeepLateStart(Worker& worker,
                               const TaskId& id,
                               RunNumber run,
                               Time arrives_by,
                               bool maybe_unsent) {
  if (arrives_by <= now_) {
    return;
  }
  Log("late-start-possible", id.job,
      fmt::format("task={} run={} worker={} born={} for_ms={} maybe_unsent={}",
                  ToString(id), run.value(), worker.entry.id.value(),
                  worker.incarnation, (arrives_by - now_).count() / 1000,
                  maybe_unsent));
  worker.late_starts[id] = {run, arrives_by, true, now_, maybe_unsent};
  staged_.unanswered_starts.insert(worker.entry.id);
}

void PoolEngine::ForgetLateStart(Worker& worker, TaskId id, const char* why) {
  const auto late = worker.late_starts.find(id);
  Log("late-start-over", id.job,
      fmt::format("task={} run={} worker={} why={}", ToString(id),
                  late->second.run.value(), worker.entry.id.value(), why));
  worker.late_starts.erase(late);
  const auto job = jobs_.find(id.job);
  Task* task = job == jobs_.end() ? nullptr : job->second.Find(id);
  if (task && task->held_back && !IsHeldBack(id)) {
    task->held_back = false;
    // A task that was held back could not use the time in which it may get a
    // worker of its own.
    task->waiting_since = now_;
    schedule_needed_ = true;
  }
}

bool PoolEngine::IsHeldBack(const TaskId& id) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& it) {
    const auto late = it.second.late_starts.find(id);
    return late != it.second.late_starts.end() && !late->second.maybe_unsent;
  });
}

bool PoolEngine::HoldsTasksBack(const Worker& worker) const {
  return std::any_of(worker.late_starts.begin(), worker.late_starts.end(),
                     [this](const auto& it) {
                       const auto& [id, start] = it;
                       const auto job = jobs_.find(id.job);
                       const Task* task =
                           job == jobs_.end() ? nullptr : job->second.Find(id);
                       return task && task->held_back && !start.maybe_unsent &&
                              job->second.end == JobEnd::kOpen;
                     });
}

void PoolEngine::GiveUpStart(Worker& worker,
                             const Job& job,
                             const TaskId& id,
                             Task& task) {
  const auto start = worker.unsettled_runs.find(id);
  if (start == worker.unsettled_runs.end()) {
    return;
  }
  KeepLateStart(worker, id, task.run, start->second.arrives_by,
                start->second.maybe_unsent);
  task.held_back = !job.Step(id.step).long_running && IsHeldBack(id);
}

void PoolEngine::ForgetLateStarts(Worker& worker) {
  std::vector<TaskId> over;
  for (const auto& [id, start] : worker.late_starts) {
    if (now_ > start.arrives_by + LongestLease()) {
      over.push_back(id);
    }
  }
  for (const auto& id : over) {
    ForgetLateStart(worker, id, "lease-expired");
  }
  if (worker.unanswered_starts_recorded && UnansweredStarts(worker).empty()) {
    staged_.unanswered_starts.insert(worker.entry.id);
  }
}

void PoolEngine::SettleLateStarts(Worker& worker, const WorkerReport& report) {
  std::vector<TaskId> over;
  for (const auto& [id, start] : worker.late_starts) {
    const bool present =
        std::any_of(report.running.begin(), report.running.end(),
                    [&task = id, run = start.run](const auto& it) {
                      return it.task == task && it.run == run;
                    });
    if (!present && worker.poll_sent_at > start.arrives_by) {
      over.push_back(id);
    }
  }
  for (const auto& id : over) {
    ForgetLateStart(worker, id, "not-at-worker");
  }
}

bool PoolEngine::ApplyLateEnd(Worker& worker,
                              Job& job,
                              const EndedRun& reported,
                              Task& task) {
  const auto& id = reported.task;
  const auto late = worker.late_starts.find(id);
  if (late == worker.late_starts.end() || late->second.run != reported.run ||
      reported.kind != EndKind::kDone || task.run != reported.run ||
      task.phase != TaskPhase::kWaiting || job.end != JobEnd::kOpen ||
      leaving_.contains(job.id) || job.Step(id.step).long_running) {
    return false;
  }
  LogRun("late-run-done", id,
         fmt::format("task={} run={} worker={} born={}", ToString(id),
                     reported.run.value(), worker.entry.id.value(),
                     worker.incarnation));
  ForgetLateStart(worker, id, "done-at-worker");
  EndRun(job, id, task, EndKind::kDone, reported.checkpoint);
  return true;
}

std::vector<UnansweredStart> PoolEngine::UnansweredStarts(
    const Worker& worker) const {
  std::vector<UnansweredStart> starts;
  for (const auto& [id, start] : worker.late_starts) {
    starts.push_back({id, start.run,
                      std::max(Duration(0), start.arrives_by - now_),
                      start.maybe_unsent});
  }
  for (const auto& [id, start] : worker.unsettled_runs) {
    if (start.unanswered && start.arrives_by > now_) {
      starts.push_back(
          {id, start.run, start.arrives_by - now_, start.maybe_unsent});
    }
  }
  return starts;
}

void PoolEngine::AdoptUnansweredStarts(
    const WorkerId& id,
    const std::vector<UnansweredStart>& starts) {
  Worker& worker = WorkerFor(id);
  worker.unanswered_starts_recorded = true;
  for (const auto& it : starts) {
    const Time arrives_by = now_ + it.left;
    const auto job = jobs_.find(it.task.job);
    Task* task = job == jobs_.end() ? nullptr : job->second.Find(it.task);
    if (task && task->phase == TaskPhase::kInherited && task->run == it.run &&
        task->worker == id) {
      worker.unsettled_runs[it.task] = {it.run, now_, arrives_by,
                                        0,      true, it.maybe_unsent};
    } else {
      worker.late_starts[it.task] = {it.run, arrives_by, false, Time(),
                                     it.maybe_unsent};
      if (task) {
        task->held_back =
            !job->second.Step(it.task.step).long_running && IsHeldBack(it.task);
      }
    }
  }
}

void PoolEngine::DoubtUnsettledPlacements(PlacementNumber settled) {
  last_placement_ = settled;
  stored_settled_ = settled;
  // A former owner may give orders for some time after this one has loaded.
  const Time arrives_by =
      now_ + tuning_.former_owner_grace + tuning_.max_call_delay;
  for (auto& [worker_id, worker] : workers_) {
    for (const auto& [id, resources] : worker.runs) {
      const auto job = jobs_.find(id.job);
      const Task* task = job == jobs_.end() ? nullptr : job->second.Find(id);
      if (!task || task->phase != TaskPhase::kInherited) {
        continue;
      }
      last_placement_ = std::max(last_placement_, task->placement);
      const bool is_settled =
          task->placement.value() != 0 && task->placement <= settled;
      if (is_settled || worker.unsettled_runs.contains(id)) {
        continue;
      }
      Log("start-in-doubt", id.job,
          fmt::format("task={} run={} worker={} placement={} settled={} "
                      "for_ms={}",
                      ToString(id), task->run.value(), worker_id.value(),
                      task->placement.value(), settled.value(),
                      (arrives_by - now_).count() / 1000));
      worker.unsettled_runs[id] = {task->run, now_, arrives_by, 0, true, true};
      staged_.unanswered_starts.insert(worker_id);
    }
  }
}

PlacementNumber PoolEngine::SettledPlacements(PlacementNumber last) const {
  auto settled = last;
  for (const auto& [worker_id, worker] : workers_) {
    for (const auto& [id, start] : worker.unsettled_runs) {
      const auto job = jobs_.find(id.job);
      const Task* task = job == jobs_.end() ? nullptr : job->second.Find(id);
      if (task && !start.unanswered && start.arrives_by > now_ &&
          task->placement <= settled) {
        settled = PlacementNumber(task->placement.value() - 1);
      }
    }
  }
  return settled;
}

void PoolEngine::StoreSettledPlacements() {
  if (!in_flight_ && now_ - commit_sent_at_ >= kSettledInterval &&
      SettledPlacements(last_placement_) > stored_settled_) {
    staged_.settled_placements = true;
  }
}

void PoolEngine::ReadmitLateStarts(Worker& worker) {
  for (auto& [id, start] : worker.late_starts) {
    start.excluded = false;
    start.stop_sent_at = Time();
  }
}

void PoolEngine::ExcludeLateStarts(Worker& worker) {
  for (auto& [id, start] : worker.late_starts) {
    if (start.excluded || worker.entry.address.empty() ||
        now_ - start.stop_sent_at < tuning_.stop_retry_delay) {
      continue;
    }
    start.stop_sent_at = now_;
    effects_.push_back(StopRun{worker.entry.id, worker.entry.address, id,
                               start.run, worker.incarnation});
  }
}

}  // namespace baobab
