#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

namespace baobab {

namespace {

/** Beyond the computed end of a lease, for the reading of the clock. */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(150);

/** An answer that takes longer has waited for an end. */
constexpr Duration kPromptAnswer = std::chrono::milliseconds(25);

constexpr int kFullPace = 100;
constexpr int kUnknownPace = -1;

/** Progress at which a lasting task serves. */
constexpr int kAtWorkPercent = 100;

}  // namespace

Worker& PoolEngine::WorkerFor(const WorkerId& id) {
  const auto it = workers_.find(id);
  if (it != workers_.end()) {
    return it->second;
  }
  WorkerEntry entry;
  entry.id = id;
  Worker worker(std::move(entry));
  worker.listed = false;
  worker.unlisted_at = now_;
  const auto longest = static_cast<double>(tuning_.max_lease.count()) *
                       (1.0 + 2 * tuning_.clock_drift);
  worker.inherited_until = loaded_at_ + tuning_.former_owner +
                           Duration(static_cast<Duration::rep>(longest)) +
                           kLeaseMargin;
  return workers_.emplace(id, std::move(worker)).first->second;
}

void PoolEngine::Handle(const WorkersListed& event) {
  std::set<WorkerId> listed;
  std::map<HostId, std::pair<std::int64_t, WorkerId>> newest;
  for (const auto& it : *event.workers) {
    if (!it.host.value().empty()) {
      auto& host = newest[it.host];
      host = std::max(host, std::pair(it.born, it.id));
    }
    if (ShardOf(it.service, tuning_.shards) != shard_) {
      continue;
    }
    listed.insert(it.id);
    Worker& worker = WorkerFor(it.id);
    if (it.draining && !worker.entry.draining) {
      Explain("worker-drains", JobId(),
              fmt::format("worker={} leaves_in_ms={}", it.id.value(),
                          it.leaves_in.count() / 1000));
    }
    if (!worker.listed) {
      Explain("worker-listed", JobId(),
              fmt::format("worker={} service={} host={} born={}", it.id.value(),
                          it.service.value(), it.host.value(), it.born));
      worker.next_look_at = now_;
    }
    worker.entry = it;
    worker.listed = true;
    worker.reserved = plan_.reserved.contains(it.host);
    if (worker.born != 0 && it.born > worker.born) {
      worker.introduced = false;
      worker.next_look_at = now_;
    }
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    auto& [id, worker] = *it;
    const auto host = newest.find(worker.entry.host);
    worker.superseded = host != newest.end() && host->second.second != id &&
                        host->second.first >= worker.entry.born;
    if (worker.superseded && !worker.runs.empty()) {
      // A host runs one worker at a time.
      LoseRuns(worker, "host-has-new-worker");
    }
    if (!listed.contains(id)) {
      if (std::exchange(worker.listed, false)) {
        worker.unlisted_at = now_;
        Explain(
            "worker-unlisted", JobId(),
            fmt::format("worker={} runs={}", id.value(), worker.runs.size()));
      }
      if (loaded_ && now_ - worker.unlisted_at > tuning_.unlisted_gone) {
        LoseRuns(worker, "no-longer-listed");
      }
      if (worker.runs.empty()) {
        it = workers_.erase(it);
        continue;
      }
    }
    ++it;
  }
  if (loaded_) {
    DriveWorkers();
    schedule_needed_ = true;
  }
}

void PoolEngine::Handle(const LookFinished& event) {
  const auto found = workers_.find(event.worker);
  if (found == workers_.end() || found->second.look != event.look) {
    return;
  }
  Worker& worker = found->second;
  worker.looking = false;
  switch (event.result) {
    case OrderResult::kNoConnection:
      worker.connected = false;
      worker.ends_told = std::min(worker.ends_told, worker.ends_stored - 1);
      worker.next_look_at = now_;
      break;
    case OrderResult::kDone:
      worker.connected = true;
      worker.misses = 0;
      worker.next_look_at = load_.IsBusy() ? now_ + tuning_.busy_look : now_;
      ApplyReport(worker, event);
      break;
    case OrderResult::kWrongLife:
      LoseRuns(worker, "address-reused");
      worker.introduced = false;
      worker.next_look_at = now_ + tuning_.look_retry;
      break;
    default:
      ++worker.misses;
      worker.connected = false;
      worker.ends_told = std::min(worker.ends_told, worker.ends_stored - 1);
      worker.next_look_at = now_ + tuning_.look_retry;
      if (worker.misses == 1 || event.result == OrderResult::kFenced) {
        Explain("look-failed", JobId(),
                fmt::format("worker={} result={} runs={}", event.worker.value(),
                            ToString(event.result), worker.runs.size()));
      }
      break;
  }
  DriveWorker(worker);
}

void PoolEngine::ApplyReport(Worker& worker, const LookFinished& event) {
  const auto& report = event.report;
  if (worker.born != report.born && worker.born != 0) {
    BeginNewLife(worker, report);
  }
  worker.born = report.born;
  worker.SetClock(report.clock_ms, now_);
  // A look that did not have to wait reports ends of some time ago.
  prompt_report_ = now_ - worker.look_sent_at > kPromptAnswer;
  const bool introduces = !worker.introduced;
  worker.introduced = true;
  schedule_needed_ = schedule_needed_ || introduces;

  for (const auto& it : report.ended) {
    ApplyEnded(worker, it);
  }
  std::set<TaskId> present;
  for (const auto& it : report.running) {
    present.insert(it.task);
    ApplyRunning(worker, it);
  }
  ApplyAbsent(worker, present, introduces);
  PaceFillers(worker, report);
  if (worker.ends_taken > worker.ends_stored) {
    worker.ends_pending = true;
    worker.next_look_at = now_ + tuning_.pending_look;
    staged_.ends.push_back({worker.entry.id, worker.born, worker.ends_taken});
  }
}

void PoolEngine::ApplyEnded(Worker& worker, const EndedRow& row) {
  if (row.number <= worker.ends_taken) {
    return;
  }
  worker.ends_taken = row.number;
  const auto found = jobs_.find(row.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(row.task);
  if (!task || task->run != row.run || task->worker != worker.entry.id ||
      !HoldsRoom(task->phase) || task->phase == TaskPhase::kPlaced) {
    return;
  }
  const bool failed = row.kind == EndKind::kFailed;
  if ((failed || row.kind == EndKind::kDone) &&
      worker.CountEnd(failed, now_, tuning_)) {
    Explain("quarantine-worker", row.task.job,
            fmt::format("worker={} failures={}", worker.entry.id.value(),
                        worker.failures_in_row));
  }
  ExplainRun(
      "run-ended", row.task,
      fmt::format("task={} run={} worker={} end={} ms={}", ToString(row.task),
                  row.run.value(), worker.entry.id.value(), ToString(row.kind),
                  (now_ - task->started_at).count() / 1000));
  EndRun(found->second, row.task, *task, row.kind, row.checkpoint);
}

void PoolEngine::ApplyRunning(Worker& worker, const RunningRow& row) {
  const auto found = jobs_.find(row.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(row.task);
  if (!task || task->run != row.run || task->worker != worker.entry.id ||
      !HoldsRoom(task->phase) || task->phase == TaskPhase::kPlaced) {
    Explain("stop-unknown-run", row.task.job,
            fmt::format("task={} run={} worker={}", ToString(row.task),
                        row.run.value(), worker.entry.id.value()));
    effects_.push_back(
        StopRun{worker.entry.id, worker.entry.address, row.task, row.run});
    return;
  }
  Job& job = found->second;
  job.begun = true;
  if (!task->seen) {
    task->seen = true;
    if (task->phase == TaskPhase::kInherited) {
      task->started_at = now_;
      task->progress_at = now_;
    }
  }
  if (task->phase == TaskPhase::kStarting ||
      task->phase == TaskPhase::kInherited) {
    task->phase = TaskPhase::kRunning;
    task->answered_at = now_;
    if (job.end != JobEnd::kOpen) {
      OrderStop(row.task, *task);
    }
  }
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
  if (row.percent != task->percent) {
    task->percent = row.percent;
    task->progress_at = now_;
  }
}

void PoolEngine::PaceFillers(Worker& worker, const WorkerReport& report) {
  double worst = 0;
  std::vector<std::pair<TaskId, Task*>> fillers;
  for (const auto& it : report.running) {
    const auto found = jobs_.find(it.task.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(it.task);
    if (!task || task->run != it.run || task->phase != TaskPhase::kRunning) {
      continue;
    }
    const auto& spec = found->second.Step(it.task.step);
    if (spec.fills) {
      fillers.emplace_back(it.task, task);
    } else if (spec.tail_target.count() > 0) {
      worst =
          std::max(worst, static_cast<double>(it.load) * 1000.0 /
                              static_cast<double>(spec.tail_target.count()));
    }
  }
  if (fillers.empty() || worst <= 0) {
    pacer_.Forget(worker.entry.id);
  }
  const int percent = fillers.empty() || worst <= 0
                          ? kFullPace
                          : pacer_.PercentFor(worker.entry.id, worst, now_);
  for (auto& [id, task] : fillers) {
    if (task->pace_percent == percent) {
      continue;
    }
    task->pace_percent = percent;
    Explain("pace-run", id.job,
            fmt::format("task={} run={} worker={} percent={} worst={:.2f}",
                        ToString(id), task->run.value(),
                        worker.entry.id.value(), percent, worst));
    effects_.push_back(
        PaceRun{worker.entry.id, worker.entry.address, id, task->run, percent});
  }
}

void PoolEngine::Handle(const PaceFinished& event) {
  const auto found = jobs_.find(event.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(event.task);
  if (task && task->run == event.run && event.result != OrderResult::kDone) {
    // Ordered again with the next report of the worker.
    task->pace_percent = kUnknownPace;
  }
}

void PoolEngine::ApplyAbsent(Worker& worker,
                             const std::set<TaskId>& present,
                             bool introduces) {
  std::vector<TaskId> ids;
  for (const auto& [id, room] : worker.runs) {
    if (!present.contains(id)) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (!task || task->worker != worker.entry.id) {
      // The job was dropped; nothing runs for it here.
      worker.used -= worker.runs.at(id);
      worker.runs.erase(id);
      continue;
    }
    const bool answered = task->answered_at < worker.look_sent_at;
    switch (task->phase) {
      case TaskPhase::kInherited:
        // Orders of a former owner are refused from now on.
        if (introduces) {
          EndRun(found->second, id, *task, EndKind::kLapsed, "");
        }
        break;
      case TaskPhase::kStarting:
        if (answered) {
          OrderStop(id, *task);
        }
        break;
      case TaskPhase::kRunning:
        if (answered) {
          Explain("run-lost", id.job,
                  fmt::format("task={} run={} worker={}", ToString(id),
                              task->run.value(), worker.entry.id.value()));
          EndRun(found->second, id, *task, EndKind::kLapsed, "");
        }
        break;
      case TaskPhase::kStopping:
        if (task->stop_answered && answered) {
          EndRun(found->second, id, *task, EndKind::kStopped, "");
        }
        break;
      default:
        break;
    }
  }
}

void PoolEngine::BeginNewLife(Worker& worker, const WorkerReport& report) {
  Explain("worker-reborn", JobId(),
          fmt::format("worker={} runs={}", worker.entry.id.value(),
                      worker.runs.size()));
  worker.StartNewLife(report.born);
  // Runs that were started in the new life have a lease on the clock of the
  // former one, which the worker cuts to the longest that it grants.
  worker.lease_sent_ms = report.clock_ms + tuning_.max_lease.count() / 1000;
}

void PoolEngine::LoseRuns(Worker& worker, const std::string& why) {
  std::vector<TaskId> ids;
  for (const auto& [id, room] : worker.runs) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (!task || task->worker != worker.entry.id) {
      worker.used -= worker.runs.at(id);
      worker.runs.erase(id);
      continue;
    }
    if (task->phase == TaskPhase::kPlaced) {
      FreeRoom(id, *task);
      ReturnToWaiting(found->second, id, *task);
      continue;
    }
    Explain("run-lost", id.job,
            fmt::format("task={} run={} worker={} why={}", ToString(id),
                        task->run.value(), worker.entry.id.value(), why));
    EndRun(found->second, id, *task, EndKind::kLapsed, "");
  }
}

void PoolEngine::DriveWorkers() {
  for (auto& [id, worker] : workers_) {
    DriveWorker(worker);
  }
}

void PoolEngine::DriveWorker(Worker& worker) {
  if (!loaded_ || worker.looking || now_ < worker.next_look_at ||
      worker.entry.address.empty()) {
    return;
  }
  const bool to_tell = worker.ends_told < worker.ends_stored;
  if (worker.introduced && worker.runs.empty() && !to_tell &&
      worker.misses == 0) {
    return;
  }
  LookAtWorker look;
  look.worker = worker.entry.id;
  look.address = worker.entry.address;
  look.look = ++looks_;
  look.ends_told = worker.connected ? worker.ends_stored : 0;
  const bool calm = worker.introduced && worker.misses == 0;
  // After an unanswered look the lease is not extended until the worker
  // answers, so that the runs of a worker that is cut off can expire.
  if (calm && !worker.runs.empty()) {
    look.lease_until_ms = worker.ClockAt(now_) + tuning_.lease.count() / 1000;
    worker.lease_sent_ms = std::max(worker.lease_sent_ms, *look.lease_until_ms);
  }
  if (calm && !worker.runs.empty() && !worker.ends_pending) {
    look.wait = tuning_.look_wait;
  }
  worker.ends_told = std::max(worker.ends_told, look.ends_told);
  worker.look = look.look;
  worker.looking = true;
  worker.look_sent_at = now_;
  effects_.push_back(std::move(look));
}

void PoolEngine::ExpireLeases() {
  for (auto& [id, worker] : workers_) {
    if (worker.runs.empty() || (worker.introduced && worker.misses == 0)) {
      continue;
    }
    const bool expired =
        worker.introduced || worker.lease_sent_ms != 0
            ? worker.LeastClockAt(now_ - kLeaseMargin, tuning_.clock_drift) >
                  worker.lease_sent_ms
            : now_ > worker.inherited_until;
    if (expired) {
      LoseRuns(worker, "lease-expired");
    }
  }
}

bool PoolEngine::MayStopLasting(Job& job, const TaskId& id) const {
  const auto& spec = job.Step(id.step);
  const auto& tasks = job.occurrences.at(id.occurrence)
                          .steps[static_cast<std::size_t>(id.step)];
  int away = 0;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const auto worker = workers_.find(tasks[i].worker);
    const bool at_work = tasks[i].phase == TaskPhase::kRunning &&
                         tasks[i].percent == kAtWorkPercent &&
                         worker != workers_.end() &&
                         worker->second.misses == 0 && worker->second.listed;
    away += static_cast<int>(i) != id.index && !at_work ? 1 : 0;
  }
  return away < std::max(1, spec.may_miss);
}

bool PoolEngine::HasPlace(const Job& job, const TaskId& id) const {
  const Placement placement(workers_, job.service, now_);
  Placement::Filter filter;
  if (job.needs_advice) {
    filter = [&](const WorkerId& it) {
      return !advice_.TicketFor({id.job, id.occurrence, id.step}, it, now_)
                  .empty();
    };
  }
  return placement.Choose(job, id.occurrence, id.step, Task(), "", filter) !=
         nullptr;
}

void PoolEngine::EvacuateWorkers() {
  for (auto& [worker_id, worker] : workers_) {
    if (!worker.reserved && !worker.entry.draining) {
      continue;
    }
    std::vector<TaskId> ids;
    for (const auto& [id, room] : worker.runs) {
      ids.push_back(id);
    }
    for (const auto& id : ids) {
      const auto found = jobs_.find(id.job);
      Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
      if (!task || task->phase != TaskPhase::kRunning ||
          !found->second.Step(id.step).long_running) {
        continue;
      }
      // A worker that leaves ends its runs in any case. Others keep a task
      // until it has somewhere to go.
      if (worker.entry.draining ||
          (HasPlace(found->second, id) && MayStopLasting(found->second, id))) {
        OrderStop(id, *task);
      }
    }
  }
}

void PoolEngine::RetryStops() {
  for (auto& [worker_id, worker] : workers_) {
    for (const auto& [id, room] : worker.runs) {
      const auto found = jobs_.find(id.job);
      Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
      if (task && task->phase == TaskPhase::kStopping && !task->stop_answered &&
          now_ - task->stop_sent_at >= tuning_.stop_retry) {
        OrderStop(id, *task);
      }
    }
  }
}

void PoolEngine::OrderStop(const TaskId& id, Task& task) {
  task.phase = TaskPhase::kStopping;
  task.stop_answered = false;
  task.stop_sent_at = now_;
  Worker& worker = workers_.at(task.worker);
  Explain("stop-run", id.job,
          fmt::format("task={} run={} worker={}", ToString(id),
                      task.run.value(), task.worker.value()));
  effects_.push_back(StopRun{task.worker, worker.entry.address, id, task.run});
}

void PoolEngine::Handle(const StopFinished& event) {
  const auto found = jobs_.find(event.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(event.task);
  const auto known = workers_.find(event.worker);
  if (!task || known == workers_.end() || task->run != event.run ||
      task->worker != event.worker || task->phase != TaskPhase::kStopping) {
    return;
  }
  if (event.result == OrderResult::kDone) {
    task->stop_answered = true;
    task->answered_at = now_;
    DriveWorker(known->second);
  } else if (event.result == OrderResult::kWrongLife) {
    LoseRuns(known->second, "address-reused");
    known->second.introduced = false;
  }
}

}  // namespace baobab
