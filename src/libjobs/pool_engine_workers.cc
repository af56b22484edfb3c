#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

namespace baobab {

namespace {

/** Added to the computed end of a lease, for inaccurate clock readings. */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(150);

/** A poll that takes longer than this has waited for a run to end. */
constexpr Duration kMaxImmediateReply = std::chrono::milliseconds(25);

/** Time from the end of a stopped run until its worker's report arrives. */
constexpr Duration kStopReportDelay = std::chrono::milliseconds(150);

/** Poll interval of an idle worker to which late starts may arrive. Its polls
 * do not wait, since a host with a poll in flight does not count as empty. */
constexpr Duration kLateStartPollInterval = std::chrono::milliseconds(500);

/** Poll interval of an idle worker whose host seems to have a newer one. If the
 * entry of that one is false, the worker answers once it can be reached. */
constexpr Duration kSupersededPollInterval = std::chrono::milliseconds(2000);

/** Fraction of a lease that is left from which it is extended in any case. */
constexpr double kMinLeaseLeft = 0.6;

/** Interval at which the wait for leases of former owners is stored. */
constexpr Duration kLeaseWaitInterval = std::chrono::milliseconds(2000);

constexpr int kFullSpeedPercent = 100;
constexpr int kUnknownSpeedPercent = -1;

/** Progress of a long-running task that serves. */
constexpr int kServingPercent = 100;

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
  worker.inherited_until =
      loaded_at_ + tuning_.former_owner_grace + LongestLease();
  return workers_.emplace(id, std::move(worker)).first->second;
}

void PoolEngine::Handle(const WorkersListed& event) {
  if (workers_.empty() && (!division_ || !division_->Uses(shard_))) {
    return;
  }
  listed_ = event.workers;
  list_read_at_ = event.read_at;
  std::set<WorkerId> listed;
  for (const auto& it : event.workers->entries) {
    if (!division_ || division_->CellOfHost(it.service, it.host) != shard_) {
      continue;
    }
    listed.insert(it.id);
    Worker& worker = WorkerFor(it.id);
    if (it.draining && !worker.entry.draining) {
      Log("worker-drains", JobId(),
          fmt::format("worker={} leaves_in_ms={}", it.id.value(),
                      it.leaves_in.count() / 1000));
    }
    if (!worker.listed) {
      Log("worker-listed", JobId(),
          fmt::format("worker={} service={} host={} born={}", it.id.value(),
                      it.service.value(), it.host.value(), it.incarnation));
      worker.next_poll_at = now_;
    }
    worker.entry = it;
    worker.listed = true;
    worker.reserved = plan_.reserved.contains(it.host);
    if (worker.incarnation != 0 && it.incarnation > worker.incarnation) {
      if (worker.fence_confirmed) {
        Log("worker-restart-listed", JobId(),
            fmt::format("worker={} born={} former_born={} runs={}",
                        it.id.value(), it.incarnation, worker.incarnation,
                        worker.runs.size()));
        ReadmitLateStarts(worker);
        ExcludeLateStarts(worker);
      }
      worker.fence_confirmed = false;
      worker.next_poll_at = now_;
    } else if (it.incarnation != worker.incarnation && worker.runs.empty()) {
      // The list is behind the last report, or the clock of the host was set
      // back. An idle worker is not polled otherwise.
      worker.fence_confirmed = false;
      worker.next_poll_at = now_;
    }
  }
  NoteRivals();
  ReplaceSuperseded();
  for (auto it = workers_.begin(); it != workers_.end();) {
    auto& [id, worker] = *it;
    if (!listed.contains(id)) {
      if (std::exchange(worker.listed, false)) {
        Log("worker-unlisted", JobId(),
            fmt::format("worker={} runs={} {}", id.value(), worker.runs.size(),
                        LeaseFields(worker)));
      }
      // The runs of an unlisted worker end with their lease at the earliest:
      // it may only be cut off from the platform's store.
      if (worker.runs.empty() && worker.late_starts.empty()) {
        EndLeaseWait(worker);
        if (worker.unanswered_starts_recorded) {
          staged_.unanswered_starts.insert(id);
        }
        it = workers_.erase(it);
        continue;
      }
    }
    ++it;
  }
  if (loaded_) {
    CountLateCrashes(event.workers->entries);
    MaybePollWorkers();
    schedule_needed_ = true;
  }
}

void PoolEngine::Handle(const PollFinished& event) {
  const auto found = workers_.find(event.worker);
  if (found == workers_.end() || found->second.poll != event.poll) {
    return;
  }
  Worker& worker = found->second;
  worker.polling = false;
  NotePollResult(worker, event.result);
  if (worker.poll_extends_leases) {
    if (event.result == OrderResult::kDone) {
      worker.lease_delivered_ms =
          std::max(worker.lease_delivered_ms, worker.poll_lease_ms);
    } else {
      NoteUnseenGrant(worker, event.result == OrderResult::kUnknown
                                  ? worker.poll_sent_at + tuning_.max_call_delay
                                  : now_);
    }
  }
  switch (event.result) {
    case OrderResult::kNoConnection:
      worker.connected = false;
      worker.acknowledged_ends =
          std::min(worker.acknowledged_ends, worker.stored_ends - 1);
      worker.next_poll_at = now_;
      break;
    case OrderResult::kDone:
      worker.connected = true;
      worker.missed_polls = 0;
      worker.next_poll_at =
          load_.IsBusy() ? now_ + tuning_.busy_poll_interval : now_;
      if (worker.runs.empty() && !worker.late_starts.empty()) {
        worker.next_poll_at = now_ + kLateStartPollInterval;
      }
      worker.answered_at = now_;
      ApplyReport(worker, event);
      StoreAwaitingPlacements(worker);
      break;
    case OrderResult::kWrongIncarnation:
      LoseRuns(worker, "address-reused", WorkerFate::kCrashed);
      worker.fence_confirmed = false;
      worker.next_poll_at = now_ + tuning_.poll_retry_delay;
      break;
    default:
      ++worker.missed_polls;
      UndoAwaitingPlacements(worker);
      worker.connected = false;
      worker.acknowledged_ends =
          std::min(worker.acknowledged_ends, worker.stored_ends - 1);
      worker.next_poll_at = now_ + tuning_.poll_retry_delay;
      if (worker.missed_polls == 1 || event.result == OrderResult::kFenced) {
        Log("look-failed", JobId(),
            fmt::format("worker={} result={} runs={}", event.worker.value(),
                        ToString(event.result), worker.runs.size()));
      }
      break;
  }
  ReplaceSuperseded();
  MaybePollWorker(worker);
}

void PoolEngine::ApplyReport(Worker& worker, const PollFinished& event) {
  const auto& report = event.report;
  if (worker.incarnation != report.incarnation && worker.incarnation != 0) {
    BeginNewIncarnation(worker, report);
  }
  worker.incarnation = report.incarnation;
  ForgetLosses(lost_runs_.TakeAlive(worker.entry.id, worker.incarnation));
  worker.SetClock(report.clock_ms, now_, tuning_.clock_drift);
  // A poll that did not have to wait reports ends that happened earlier.
  prompt_report_ = now_ - worker.poll_sent_at > kMaxImmediateReply;
  const bool newly_confirmed = !worker.fence_confirmed;
  worker.fence_confirmed = true;
  schedule_needed_ = schedule_needed_ || newly_confirmed;
  EndLeaseWait(worker);
  if (newly_confirmed && !worker.runs.empty()) {
    // A lease of a former owner is not shortened by ours.
    worker.lease_sent_ms =
        std::max(worker.lease_sent_ms,
                 report.clock_ms + tuning_.max_lease.count() / 1000);
  }

  for (const auto& it : report.ended) {
    NoteSubject(it.task.job, it.task.occurrence, it.task.step);
    ApplyEnded(worker, it);
  }
  std::set<TaskId> present;
  for (const auto& it : report.running) {
    present.insert(it.task);
    NoteSubject(it.task.job, it.task.occurrence, it.task.step);
    ApplyRunning(worker, it);
  }
  NoteSubject();
  if (report.has_more_ends) {
    Log("ends-in-part", JobId(),
        fmt::format("worker={} ends={} last={} stored={} runs={}",
                    worker.entry.id.value(), report.ended.size(),
                    worker.applied_ends, worker.stored_ends,
                    worker.runs.size()));
  } else {
    ApplyAbsent(worker, present);
    SettleLateStarts(worker, report);
  }
  ThrottleBackgroundRuns(worker, report);
  if (worker.lease_wait_recorded) {
    // Its polls cannot wait for a run to end.
    worker.next_poll_at = now_ + tuning_.pending_poll_interval;
  }
  if (worker.applied_ends > worker.stored_ends) {
    worker.ends_pending = true;
    worker.next_poll_at = now_ + tuning_.pending_poll_interval;
    staged_.ends.push_back(
        {worker.entry.id, worker.incarnation, worker.applied_ends});
  }
}

void PoolEngine::ApplyEnded(Worker& worker, const EndedRun& reported) {
  if (reported.number <= worker.applied_ends) {
    return;
  }
  worker.applied_ends = reported.number;
  const auto found = jobs_.find(reported.task.job);
  Task* task =
      found == jobs_.end() ? nullptr : found->second.Find(reported.task);
  if (task && ApplyLateEnd(worker, found->second, reported, *task)) {
    return;
  }
  if (!task || task->run != reported.run || task->worker != worker.entry.id ||
      !HoldsResources(task->phase) || task->phase == TaskPhase::kPlaced) {
    return;
  }
  const bool failed = reported.kind == EndKind::kFailed;
  if ((failed || reported.kind == EndKind::kDone) &&
      worker.RecordRunEnd(failed, now_, tuning_)) {
    Log("quarantine-worker", reported.task.job,
        fmt::format("worker={} failures={}", worker.entry.id.value(),
                    worker.failures_in_row));
  }
  LogRun("run-ended", reported.task,
         fmt::format("task={} run={} worker={} end={} ms={} poll_ms={}",
                     ToString(reported.task), reported.run.value(),
                     worker.entry.id.value(), ToString(reported.kind),
                     (now_ - task->started_at).count() / 1000,
                     (now_ - worker.poll_sent_at).count() / 1000));
  EndRun(found->second, reported.task, *task, reported.kind,
         reported.checkpoint);
}

void PoolEngine::ApplyRunning(Worker& worker, const ActiveRun& reported) {
  const auto found = jobs_.find(reported.task.job);
  Task* task =
      found == jobs_.end() ? nullptr : found->second.Find(reported.task);
  if (!task || task->run != reported.run || task->worker != worker.entry.id ||
      !HoldsResources(task->phase) || task->phase == TaskPhase::kPlaced) {
    Log("stop-unknown-run", reported.task.job,
        fmt::format("task={} run={} worker={}", ToString(reported.task),
                    reported.run.value(), worker.entry.id.value()));
    effects_.push_back(StopRun{worker.entry.id, worker.entry.address,
                               reported.task, reported.run,
                               worker.incarnation});
    return;
  }
  Job& job = found->second;
  job.begun = true;
  worker.unsettled_runs.erase(reported.task);
  if (!task->confirmed) {
    task->confirmed = true;
    if (task->phase == TaskPhase::kInherited) {
      task->inherited_at = now_;
      task->started_at = now_;
      task->progress_at = now_;
    }
  }
  if (task->phase == TaskPhase::kStarting ||
      task->phase == TaskPhase::kInherited) {
    task->phase = TaskPhase::kRunning;
    task->answered_at = now_;
    if (job.end != JobEnd::kOpen) {
      OrderStop(reported.task, *task);
    }
  }
  if (!reported.checkpoint.empty() &&
      reported.checkpoint.size() <= kMaxCheckpointBytes) {
    task->checkpoint = reported.checkpoint;
  }
  ClearSuspicion(job, reported, worker, *task);
  if (reported.percent != task->percent) {
    task->percent = reported.percent;
    task->progress_at = now_;
  }
}

void PoolEngine::ThrottleBackgroundRuns(Worker& worker,
                                        const WorkerReport& report) {
  double worst = 0;
  std::vector<std::pair<TaskId, Task*>> background_runs;
  for (const auto& it : report.running) {
    const auto found = jobs_.find(it.task.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(it.task);
    if (!task || task->run != it.run || task->phase != TaskPhase::kRunning) {
      continue;
    }
    const auto& spec = found->second.Step(it.task.step);
    if (spec.background) {
      background_runs.emplace_back(it.task, task);
    } else if (spec.tail_target.count() > 0) {
      worst =
          std::max(worst, static_cast<double>(it.load) * 1000.0 /
                              static_cast<double>(spec.tail_target.count()));
    }
  }
  if (background_runs.empty() || worst <= 0) {
    throttle_.Forget(worker.entry.id);
  }
  const int percent =
      background_runs.empty() || worst <= 0
          ? kFullSpeedPercent
          : throttle_.SpeedPercentFor(worker.entry.id, worst, now_);
  for (auto& [id, task] : background_runs) {
    if (task->speed_percent == percent) {
      continue;
    }
    task->speed_percent = percent;
    Log("pace-run", id.job,
        fmt::format("task={} run={} worker={} percent={} worst={:.2f}",
                    ToString(id), task->run.value(), worker.entry.id.value(),
                    percent, worst));
    effects_.push_back(ThrottleRun{worker.entry.id, worker.entry.address, id,
                                   task->run, percent});
  }
}

void PoolEngine::Handle(const ThrottleFinished& event) {
  const auto found = jobs_.find(event.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(event.task);
  if (task && task->run == event.run && event.result != OrderResult::kDone) {
    // Sent again with the worker's next report.
    task->speed_percent = kUnknownSpeedPercent;
  }
}

void PoolEngine::ApplyAbsent(Worker& worker, const std::set<TaskId>& present) {
  std::vector<TaskId> ids;
  for (const auto& [id, resources] : worker.runs) {
    if (!present.contains(id)) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    NoteSubject(id.job, id.occurrence, id.step);
    const auto found = jobs_.find(id.job);
    Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
    if (!task || task->worker != worker.entry.id) {
      // The job was dropped, or the task was placed on another worker.
      worker.RemoveRun(id);
      continue;
    }
    const bool answered = task->answered_at < worker.poll_sent_at;
    // Otherwise the start may have reached the new incarnation since.
    if (answered && task->phase != TaskPhase::kPlaced &&
        task->incarnation < worker.incarnation) {
      RecordCrash(id, *task);
    }
    switch (task->phase) {
      case TaskPhase::kInherited:
        // The worker has answered this owner and refuses orders of former ones,
        // as long as it does not start again.
        GiveUpStart(worker, found->second, id, *task);
        EndRun(found->second, id, *task, EndKind::kLeaseExpired, "");
        break;
      case TaskPhase::kStarting:
        if (answered) {
          // The start had not arrived.
          task->started_after_poll = false;
          staged_.dirty.insert(id.job);
          OrderStop(id, *task);
        }
        break;
      case TaskPhase::kRunning:
        if (answered) {
          Log("run-lost", id.job,
              fmt::format("task={} run={} worker={}", ToString(id),
                          task->run.value(), worker.entry.id.value()));
          EndRun(found->second, id, *task, EndKind::kLeaseExpired, "");
        }
        break;
      case TaskPhase::kStopping:
        if (task->stop_answered && answered) {
          GiveUpStart(worker, found->second, id, *task);
          EndRun(found->second, id, *task, EndKind::kStopped, "");
        }
        break;
      default:
        break;
    }
  }
  NoteSubject();
}

void PoolEngine::MaybePollWorkers() {
  for (auto& [id, worker] : workers_) {
    MaybePollWorker(worker);
  }
}

void PoolEngine::MaybePollWorker(Worker& worker) {
  if (!loaded_ || worker.polling || now_ < worker.next_poll_at ||
      worker.entry.address.empty()) {
    return;
  }
  const bool has_unacknowledged_ends =
      worker.acknowledged_ends < worker.stored_ends;
  // Polls show soon that a worker has started again, so that late starts can be
  // excluded.
  if (worker.fence_confirmed && worker.runs.empty() &&
      worker.late_starts.empty() && !has_unacknowledged_ends &&
      worker.missed_polls == 0 && !worker.contested) {
    return;
  }
  if (worker.superseded && worker.runs.empty() &&
      now_ - worker.poll_sent_at < kSupersededPollInterval) {
    return;
  }
  PollWorker poll;
  poll.worker = worker.entry.id;
  poll.address = worker.entry.address;
  poll.poll = ++polls_;
  // A worker that is only polled for late starts may have another owner now.
  const bool is_ours = worker.listed || !worker.runs.empty();
  poll.acknowledged_ends = worker.connected && is_ours ? worker.stored_ends : 0;
  const bool responsive = worker.fence_confirmed && worker.missed_polls == 0;
  // After an unanswered poll the leases are not extended until the worker
  // answers, so that the runs of an unreachable worker can expire.
  // The next owner would count on the record of a wait that began before a new
  // lease.
  const bool may_extend =
      responsive && !worker.runs.empty() && !worker.lease_wait_recorded;
  // An incarnation that has not answered yet would keep unsettled runs for the
  // longest lease, so none is sent while the others have enough time left.
  const auto lease_ms = tuning_.lease.count() / 1000;
  worker.poll_extends_leases =
      may_extend && (worker.unsettled_runs.empty() ||
                     worker.lease_delivered_ms - worker.ClockAt(now_) <
                         lease_ms * kMinLeaseLeft);
  if (worker.poll_extends_leases) {
    poll.lease_until_ms = worker.ClockAt(now_) + lease_ms;
    worker.lease_sent_ms = std::max(worker.lease_sent_ms, *poll.lease_until_ms);
    worker.poll_lease_ms = *poll.lease_until_ms;
  }
  if (may_extend && !worker.ends_pending && !worker.answer_awaited &&
      !worker.contested) {
    poll.wait = tuning_.poll_wait;
  }
  worker.acknowledged_ends =
      std::max(worker.acknowledged_ends, poll.acknowledged_ends);
  worker.poll = poll.poll;
  worker.polling = true;
  worker.poll_sent_at = now_;
  effects_.push_back(std::move(poll));
}

void PoolEngine::ExpireLeases() {
  for (auto& [id, worker] : workers_) {
    if (worker.runs.empty() ||
        (worker.fence_confirmed && worker.missed_polls == 0)) {
      continue;
    }
    if (LeaseHasExpired(worker)) {
      LoseRuns(worker, "lease-expired", WorkerFate::kUnknown);
    }
  }
}

bool PoolEngine::AwaitsFormerLeases(const Worker& worker) {
  return !worker.fence_confirmed && worker.lease_sent_ms == 0 &&
         !worker.runs.empty();
}

void PoolEngine::StoreLeaseWaits() {
  for (auto& [id, worker] : workers_) {
    if (!AwaitsFormerLeases(worker)) {
      EndLeaseWait(worker);
    } else if (now_ - std::max(loaded_at_, worker.lease_wait_stored_at) >=
               kLeaseWaitInterval) {
      worker.lease_wait_recorded = true;
      worker.lease_wait_stored_at = now_;
      staged_.lease_waits.insert(id);
      staged_.ended_lease_waits.erase(id);
    }
  }
}

void PoolEngine::EndLeaseWait(Worker& worker) {
  const auto& id = worker.entry.id;
  staged_.lease_waits.erase(id);
  const bool being_deleted =
      in_flight_ && in_flight_->ended_lease_waits.contains(id);
  if (worker.lease_wait_recorded && !being_deleted) {
    staged_.ended_lease_waits.insert(id);
  }
}

bool PoolEngine::LeaseHasExpired(const Worker& worker) const {
  return worker.fence_confirmed || worker.lease_sent_ms != 0
             ? worker.MinClockAt(now_ - kLeaseMargin, tuning_.clock_drift) >
                   worker.lease_sent_ms
             : now_ > worker.inherited_until;
}

Duration PoolEngine::LongestLease() const {
  const auto longest = static_cast<double>(tuning_.max_lease.count()) *
                       (1.0 + 2 * tuning_.clock_drift);
  return Duration(static_cast<Duration::rep>(longest)) + kLeaseMargin;
}

bool PoolEngine::MayOutlastLease(const Worker& worker,
                                 const TaskId& id,
                                 const StepSpec& spec) const {
  const auto it = worker.unsettled_runs.find(id);
  const bool settled = it == worker.unsettled_runs.end();
  if (spec.long_running) {
    return !settled && now_ <= std::min(it->second.arrives_by,
                                        it->second.sent_at +
                                            tuning_.max_prompt_call_delay) +
                                   LongestLease();
  }
  Time arrives_by = worker.former_calls_arrive_by;
  if (!settled) {
    arrives_by =
        std::max({arrives_by, worker.grant_arrives_by, it->second.arrives_by});
  }
  return now_ <= arrives_by + LongestLease();
}

void PoolEngine::NoteUnseenGrant(Worker& worker, Time arrives_by) {
  worker.grant_arrives_by = std::max(worker.grant_arrives_by, arrives_by);
}

std::string PoolEngine::IncarnationFields(const Worker& worker,
                                          const Task& task) const {
  const auto ago_ms = [this](Time at) { return (now_ - at).count() / 1000; };
  return fmt::format(
      "born={} known_born={} listed_born={} confirmed={} start_answered={} "
      "unsettled={} started_ago_ms={} poll_ago_ms={}",
      task.incarnation, worker.incarnation, worker.entry.incarnation,
      task.confirmed, task.phase != TaskPhase::kStarting,
      worker.unsettled_runs.size(), ago_ms(task.started_at),
      ago_ms(worker.poll_sent_at));
}

std::string PoolEngine::LeaseFields(const Worker& worker) const {
  const bool granted = worker.fence_confirmed || worker.lease_sent_ms != 0;
  const auto left_ms =
      granted ? worker.lease_sent_ms -
                    worker.MinClockAt(now_ - kLeaseMargin, tuning_.clock_drift)
              : (worker.inherited_until - now_).count() / 1000;
  return fmt::format(
      "shard={} lease={} lease_left_ms={} confirmed={} listed={} list={} "
      "entries={} list_age_ms={} loaded_ago_ms={}",
      shard_.value(), granted ? "own" : "former-owner", left_ms,
      worker.fence_confirmed, worker.listed, listed_->version,
      listed_->entries.size(), (now_ - list_read_at_).count() / 1000,
      (now_ - loaded_at_).count() / 1000);
}

bool PoolEngine::MayStopLongRunning(Job& job, const TaskId& id) const {
  const auto& spec = job.Step(id.step);
  const auto& tasks = job.occurrences.at(id.occurrence)
                          .steps[static_cast<std::size_t>(id.step)];
  int unavailable = 0;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    const auto worker = workers_.find(tasks[i].worker);
    const bool serving =
        tasks[i].phase == TaskPhase::kRunning &&
        tasks[i].percent == kServingPercent &&
        !MayBeStoppedByFormerOwner(tasks[i]) && worker != workers_.end() &&
        worker->second.missed_polls == 0 && worker->second.listed;
    unavailable += static_cast<int>(i) != id.index && !serving ? 1 : 0;
  }
  return unavailable < std::max(1, spec.max_unavailable);
}

bool PoolEngine::MayBeStoppedByFormerOwner(const Task& task) const {
  return task.inherited_at &&
         now_ - *task.inherited_at < tuning_.stop_duration + kStopReportDelay;
}

bool PoolEngine::CanPlace(const Job& job, const StepId& id) const {
  const Placement placement(workers_, job.service, now_);
  return placement.Choose(job, id.occurrence, id.step, Task(), "",
                          AdvisedOnly(job, id)) != nullptr;
}

Placement PoolEngine::PlacementForMoves(const ServiceId& service) const {
  Placement room(workers_, service, now_);
  const auto claim = [&](const Job& job, const StepId& id) {
    room.Hold(job, id.occurrence, id.step, [](const auto&) { return false; });
  };
  const auto steps = ready_.by_service().find(service);
  if (steps != ready_.by_service().end()) {
    for (const auto& it : steps->second) {
      const Job& job = jobs_.at(it.job);
      const auto& tasks = job.occurrences.at(it.occurrence)
                              .steps[static_cast<std::size_t>(it.step)];
      const auto waiting = std::count_if(
          tasks.begin(), tasks.end(),
          [](const auto& task) { return task.phase == TaskPhase::kWaiting; });
      for (auto n = it.finite ? 0 : waiting; n > 0; --n) {
        claim(job, {it.job, it.occurrence, it.step});
      }
    }
  }
  for (const auto& [worker_id, worker] : workers_) {
    for (const auto& [id, resources] : worker.runs) {
      const auto job = jobs_.find(id.job);
      const Task* task = job == jobs_.end() ? nullptr : job->second.Find(id);
      if (task && task->phase == TaskPhase::kStopping &&
          job->second.service == service && job->second.end == JobEnd::kOpen &&
          job->second.Step(id.step).long_running) {
        claim(job->second, {id.job, id.occurrence, id.step});
      }
    }
  }
  return room;
}

void PoolEngine::EvacuateWorkers() {
  std::map<ServiceId, Placement> rooms;
  // Claims the room of one task on another worker, so that no second task is
  // stopped for it.
  const auto claim_room = [&](const Job& job, const StepId& id) {
    auto room = rooms.find(job.service);
    if (room == rooms.end()) {
      room = rooms.emplace(job.service, PlacementForMoves(job.service)).first;
    }
    return room->second.Hold(job, id.occurrence, id.step,
                             [](const auto&) { return false; });
  };
  for (auto& [worker_id, worker] : workers_) {
    if (!worker.reserved && !worker.entry.draining) {
      continue;
    }
    std::vector<TaskId> ids;
    for (const auto& [id, resources] : worker.runs) {
      ids.push_back(id);
    }
    for (const auto& id : ids) {
      const auto found = jobs_.find(id.job);
      Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
      if (!task || task->phase != TaskPhase::kRunning ||
          !found->second.Step(id.step).long_running) {
        continue;
      }
      // A draining worker ends its runs in any case. Others keep a task until
      // another worker can take it.
      if (worker.entry.draining ||
          (CanPlace(found->second, {id.job, id.occurrence, id.step}) &&
           MayStopLongRunning(found->second, id) &&
           claim_room(found->second, {id.job, id.occurrence, id.step}))) {
        OrderStop(id, *task);
      }
    }
  }
}

void PoolEngine::RetryStops() {
  stops_left_ = false;
  std::size_t stops = 0;
  for (auto& [worker_id, worker] : workers_) {
    ForgetLateStarts(worker);
    ExcludeLateStarts(worker);
    for (const auto& [id, resources] : worker.runs) {
      const auto found = jobs_.find(id.job);
      Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
      if (task && task->phase == TaskPhase::kStopping && !task->stop_answered &&
          now_ - task->stop_sent_at >= tuning_.stop_retry_delay) {
        if (++stops > tuning_.max_orders_per_turn) {
          stops_left_ = true;
          return;
        }
        OrderStop(id, *task);
      }
    }
  }
}

void PoolEngine::StopLater(Task& task) {
  task.phase = TaskPhase::kStopping;
  task.stop_answered = false;
  task.stop_sent_at = Time();
  stops_left_ = true;
}

void PoolEngine::OrderStop(const TaskId& id, Task& task) {
  task.phase = TaskPhase::kStopping;
  task.stop_answered = false;
  task.stop_sent_at = now_;
  Worker& worker = workers_.at(task.worker);
  Log("stop-run", id.job,
      fmt::format("task={} run={} worker={}", ToString(id), task.run.value(),
                  task.worker.value()));
  effects_.push_back(StopRun{task.worker, worker.entry.address, id, task.run,
                             worker.incarnation});
}

void PoolEngine::Handle(const StopFinished& event) {
  const auto known = workers_.find(event.worker);
  if (known == workers_.end()) {
    return;
  }
  // Another incarnation may have answered.
  const bool of_incarnation = event.incarnation == known->second.incarnation;
  const auto late = known->second.late_starts.find(event.task);
  if (late != known->second.late_starts.end() && of_incarnation &&
      late->second.run == event.run && event.result == OrderResult::kDone) {
    late->second.excluded = true;
  }
  const auto found = jobs_.find(event.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(event.task);
  if (!task || task->run != event.run || task->worker != event.worker ||
      task->phase != TaskPhase::kStopping) {
    return;
  }
  if (!of_incarnation) {
    return;
  }
  if (event.result == OrderResult::kDone) {
    task->stop_answered = true;
    task->answered_at = now_;
    MaybePollWorker(known->second);
  } else if (event.result == OrderResult::kWrongIncarnation) {
    LoseRuns(known->second, "address-reused", WorkerFate::kCrashed);
    known->second.fence_confirmed = false;
  }
}

}  // namespace baobab
