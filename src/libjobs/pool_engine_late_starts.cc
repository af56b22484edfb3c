#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Starts without an answer whose runs were given up. The incarnation of the
// worker that has answered a stop of the run refuses such a start, but a later
// one knows nothing of the stop.

namespace baobab {

void PoolEngine::KeepLateStart(Worker& worker,
                               const TaskId& id,
                               RunNumber run,
                               Time arrives_by) {
  if (arrives_by <= now_) {
    return;
  }
  Log("late-start-possible", id.job,
      fmt::format("task={} run={} worker={} born={} for_ms={}", ToString(id),
                  run.value(), worker.entry.id.value(), worker.incarnation,
                  (arrives_by - now_).count() / 1000));
  worker.late_starts[id] = {run, arrives_by, true, now_};
  staged_.unanswered_starts.insert(worker.entry.id);
}

void PoolEngine::GiveUpStart(Worker& worker,
                             const Job& job,
                             const TaskId& id,
                             Task& task,
                             Time arrives_by) {
  KeepLateStart(worker, id, task.run, arrives_by);
  if (!job.Step(id.step).long_running) {
    // An incarnation that has not answered the stop may carry the start out.
    task.not_before = arrives_by;
  }
}

void PoolEngine::ForgetLateStarts(Worker& worker) {
  std::erase_if(worker.late_starts, [this](const auto& it) {
    return it.second.arrives_by <= now_;
  });
  if (worker.unanswered_starts_recorded && UnansweredStarts(worker).empty()) {
    staged_.unanswered_starts.insert(worker.entry.id);
  }
}

std::vector<UnansweredStart> PoolEngine::UnansweredStarts(
    const Worker& worker) const {
  std::vector<UnansweredStart> starts;
  for (const auto& [id, start] : worker.late_starts) {
    if (start.arrives_by > now_) {
      starts.push_back({id, start.run, start.arrives_by - now_});
    }
  }
  for (const auto& [id, start] : worker.unsettled_runs) {
    if (start.unanswered && start.arrives_by > now_) {
      starts.push_back({id, start.run, start.arrives_by - now_});
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
      worker.unsettled_runs[it.task] = {it.run, now_, arrives_by, 0, true};
    } else {
      worker.late_starts[it.task] = {it.run, arrives_by, false, Time()};
      if (task && task->phase == TaskPhase::kWaiting &&
          !job->second.Step(it.task.step).long_running) {
        task->not_before = std::max(task->not_before, arrives_by);
      }
    }
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
