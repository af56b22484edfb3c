#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

namespace baobab {

namespace {

/** Maximum number of steps per pass of which a task found no worker; limits the
 * cost of a pass when far more work waits than there is free capacity. */
constexpr std::size_t kMaxMisfits = 24;

/** Lateness class of work that only takes capacity left by all other work. */
constexpr int kDeferred = 2;

/** Maximum number of doublings of the backoff before a long-running task is
 * restarted. */
constexpr int kMaxBackoffDoublings = 3;

}  // namespace

void PoolEngine::ReleaseResources(const TaskId& id, const Task& task) {
  const auto worker = workers_.find(task.worker);
  if (worker != workers_.end() && worker->second.RemoveRun(id)) {
    schedule_needed_ = true;
  }
}

void PoolEngine::ReturnToWaiting(Job& job, const TaskId& id, Task& task) {
  task.phase = TaskPhase::kWaiting;
  // A task that is held back cannot use the time in which it may get a worker
  // of its own.
  task.waiting_since = std::max(now_, task.not_before);
  task.stop_answered = false;
  task.confirmed = false;
  const auto occurrence = job.occurrences.find(id.occurrence);
  if (occurrence != job.occurrences.end() && PlacesTasks(job)) {
    AddIfReady(job, id.occurrence, occurrence->second, id.step);
  }
}

void PoolEngine::EndRun(Job& job,
                        const TaskId& id,
                        Task& task,
                        EndKind kind,
                        const std::string& checkpoint) {
  ReleaseResources(id, task);
  staged_.dirty.insert(job.id);
  if (!checkpoint.empty() && checkpoint.size() <= kMaxCheckpointBytes) {
    task.checkpoint = checkpoint;
  }
  const auto& spec = job.Step(id.step);
  auto& occurrence = job.occurrences.at(id.occurrence);
  auto& siblings = occurrence.steps[static_cast<std::size_t>(id.step)];
  if (spec.gang && kind != EndKind::kDone &&
      std::any_of(siblings.begin(), siblings.end(), [&](const auto& it) {
        return it.phase == TaskPhase::kDone && it.run == task.run;
      })) {
    // The members of a gang end together, so one success counts for all.
    kind = EndKind::kDone;
  }
  if (job.end != JobEnd::kOpen) {
    task.phase = TaskPhase::kWaiting;
    return;
  }
  if (IsSetAside(job.id)) {
    if (kind == EndKind::kDone && !spec.long_running) {
      job.MarkDone(occurrence, id.step, task);
    } else {
      task.phase = TaskPhase::kWaiting;
    }
    task.failures += kind == EndKind::kFailed ? 1 : 0;
    return;
  }
  if (kind == EndKind::kDone || kind == EndKind::kFailed) {
    task.crashes = 0;
    task.doubtful_crashes = 0;
    task.unexplained_losses = 0;
    lost_runs_.Forget(id);
  } else {
    task.phase = TaskPhase::kWaiting;
    if (FailsForCrashes(job, id, task)) {
      return;
    }
  }
  if (kind == EndKind::kDone && !spec.long_running) {
    if (task.confirmed && task.checkpoint.empty() && prompt_report_) {
      durations_.Observe(job.queue, spec.estimate, now_ - task.started_at);
    }
    FinishTask(job, id, task);
    return;
  }
  if (kind == EndKind::kFailed) {
    ++task.failures;
    task.failed_on = task.worker;
    if (!spec.long_running && task.failures >= job.max_attempts) {
      task.phase = TaskPhase::kWaiting;
      EndJob(job, JobEnd::kFailed,
             fmt::format("attempts-used task={}", ToString(id)));
      return;
    }
  }
  if (spec.long_running && kind != EndKind::kStopped) {
    const int doublings = std::min(task.failures, kMaxBackoffDoublings);
    task.not_before = now_ + tuning_.restart_backoff * (1 << doublings);
  }
  ReturnToWaiting(job, id, task);
}

void PoolEngine::FinishTask(Job& job, const TaskId& id, Task& task) {
  const bool was_to_be_placed = task.phase == TaskPhase::kWaiting;
  auto& occurrence = job.occurrences.at(id.occurrence);
  auto freed = job.MarkDone(occurrence, id.step, task);
  const bool gang = job.Step(id.step).gang;
  if (gang) {
    for (auto& it : occurrence.steps[static_cast<std::size_t>(id.step)]) {
      if (it.phase == TaskPhase::kWaiting && it.run == task.run) {
        const auto further = job.MarkDone(occurrence, id.step, it);
        freed.insert(freed.end(), further.begin(), further.end());
      }
    }
  }
  if ((gang || was_to_be_placed) && !HasTasksToPlace(occurrence, id.step)) {
    // Tasks that were lost before they were known to be done were to be placed
    // again.
    ready_.Remove(job.service,
                  ReadyKey(job, id.occurrence, occurrence, id.step));
  }
  if (!occurrence.progress.IsFinished()) {
    if (PlacesTasks(job)) {
      for (const int step : freed) {
        AddIfReady(job, id.occurrence, occurrence, step);
      }
    }
    return;
  }
  ++job.finished;
  job.occurrences.erase(id.occurrence);
  if (job.finished == job.OccurrenceCount()) {
    EndJob(job, JobEnd::kCompleted, "all-tasks-done");
  }
}

void PoolEngine::Schedule() {
  for (const auto& [service, steps] : ready_.by_service()) {
    if (steps.empty()) {
      continue;
    }
    const auto* lacking =
        steps.size() > kMaxMisfits ? &StepsLackingHosts(service) : nullptr;
    Placement placement(workers_, service, now_);
    PlaceSteps(service, placement, lacking, false);
    if (lacking && !lacking->empty()) {
      // Tried last, so that they do not use up the tries of steps with room.
      PlaceSteps(service, placement, lacking, true);
    }
  }
}

void PoolEngine::PlaceSteps(const ServiceId& service,
                            Placement& placement,
                            const std::set<StepId>* lacking,
                            bool only_lacking) {
  const auto& steps = ready_.by_service().at(service);
  double allowance = std::numeric_limits<double>::max();
  std::size_t misfits = 0;
  // Work that can no longer meet its objective goes after work that can;
  // otherwise a queue with a backlog would make each of its jobs late. Work
  // that is too late to have any utility goes last.
  for (const int lateness : {0, 1, kDeferred}) {
    bool any = false;
    for (auto it = steps.begin(); it != steps.end();) {
      NoteSubject(it->job, it->occurrence, it->step);
      if (LatenessOf(*it, now_) != lateness) {
        it = SkipLateness(steps, it, lateness);
        continue;
      }
      if (lacking && lacking->contains({it->job, it->occurrence, it->step}) !=
                         only_lacking) {
        ++it;
        continue;
      }
      if (lateness == kDeferred && !std::exchange(any, true)) {
        allowance = CoresForLateWork(service);
      }
      if (misfits >= kMaxMisfits || allowance <= 0) {
        return;
      }
      if (HasStartsToSend()) {
        schedule_needed_ = true;
        return;
      }
      // A copy, since placing a step changes the set.
      const ReadyStep ready = *it;
      misfits += PlaceStep(service, placement, ready, allowance) ? 0 : 1;
      if (lateness == kDeferred) {
        late_work_cores_[service].cores = allowance;
      }
      it = steps.upper_bound(ready);
    }
  }
}

std::set<ReadyStep>::const_iterator PoolEngine::SkipLateness(
    const std::set<ReadyStep>& steps,
    std::set<ReadyStep>::const_iterator at,
    int lateness) const {
  if (lateness == 0 && at->finite && at->due < now_) {
    // Those in time follow all that are due already.
    return steps.lower_bound({at->priority, true, now_, JobId(), 0, 0});
  }
  const auto next = std::next(at);
  if (next == steps.end() || next->due != at->due || next->job != at->job ||
      next->occurrence != at->occurrence) {
    return next;
  }
  // All steps of an occurrence that are due at the same time have one class.
  ReadyStep last = *at;
  last.step = std::numeric_limits<int>::max();
  return steps.upper_bound(last);
}

bool PoolEngine::HasStartsToSend() const {
  const auto in_commit = in_flight_ ? in_flight_->placed.size() : 0;
  return staged_.placed.size() >= tuning_.max_orders_per_turn ||
         starts_in_flight_ + in_commit + staged_.placed.size() >=
             tuning_.max_starts_in_flight;
}

int PoolEngine::LatenessOf(const ReadyStep& ready, Time now) const {
  const auto found = jobs_.find(ready.job);
  return !ready.finite || found == jobs_.end()
             ? 0
             : LatenessOf(found->second,
                          found->second.occurrences.at(ready.occurrence),
                          ready.step, now);
}

int PoolEngine::LatenessOf(const Job& job,
                           const Occurrence& occurrence,
                           int step,
                           Time now) {
  if (job.Step(step).long_running) {
    return 0;
  }
  if (job.deferred) {
    return kDeferred;
  }
  if (job.LatestStart(occurrence, step) >= now) {
    return 0;
  }
  return now < occurrence.due + job.Objective() * kMaxLateFactor ? 1
                                                                 : kDeferred;
}

bool PoolEngine::PlaceStep(const ServiceId& service,
                           Placement& placement,
                           const ReadyStep& ready,
                           double& allowance) {
  Job& job = jobs_.at(ready.job);
  const auto& spec = job.Step(ready.step);
  auto& tasks = job.occurrences.at(ready.occurrence)
                    .steps[static_cast<std::size_t>(ready.step)];
  if (spec.gang) {
    const bool placed = PlaceGang(placement, job, ready);
    if (placed) {
      ready_.Remove(service, ready);
    }
    return placed;
  }
  const auto filter = AdvisedOnly(job, {job.id, ready.occurrence, ready.step});
  std::string rack;
  const double cores =
      static_cast<double>(ResourcesOf(spec).cpu_milli) / 1000.0;
  bool all = true;
  bool fits = true;
  for (int i = 0; i < static_cast<int>(tasks.size()); ++i) {
    Task& task = tasks[static_cast<std::size_t>(i)];
    if (task.phase != TaskPhase::kWaiting) {
      continue;
    }
    // The fate of the workers decides whether the job has failed.
    const bool on_hold =
        task.unexplained_losses > 0 && task.Suspicion() >= tuning_.max_crashes;
    if (task.not_before > now_ || task.held_back || on_hold) {
      all = false;
      continue;
    }
    if (HasStartsToSend()) {
      schedule_needed_ = true;
      all = false;
      break;
    }
    if (allowance < cores) {
      all = false;
      fits = false;
      break;
    }
    const Worker* worker =
        placement.Choose(job, ready.occurrence, ready.step, task, rack, filter);
    if (!worker) {
      all = false;
      fits = false;
      if (job.needs_advice) {
        RequestAdvice(placement, job, ready);
      }
      break;
    }
    if (spec.rack_local) {
      rack = worker->Rack();
    }
    allowance -= cores;
    Place(job, {job.id, ready.occurrence, ready.step, i}, task,
          worker->entry.id, task.HasDoubtfulStarts());
  }
  if (all) {
    ready_.Remove(service, ready);
  } else if (spec.long_running) {
    HoldRoom(placement, ready);
  }
  return fits;
}

void PoolEngine::HoldRoom(Placement& placement, const ReadyStep& ready) const {
  const Job& job = jobs_.at(ready.job);
  const auto& tasks = job.occurrences.at(ready.occurrence)
                          .steps[static_cast<std::size_t>(ready.step)];
  const auto is_finite = [this](const TaskId& it) {
    const auto found = jobs_.find(it.job);
    return found != jobs_.end() && !found->second.Step(it.step).long_running;
  };
  for (const auto& it : tasks) {
    if (it.phase == TaskPhase::kWaiting &&
        !placement.Hold(job, ready.occurrence, ready.step, is_finite)) {
      return;
    }
  }
}

Placement::Filter PoolEngine::AdvisedOnly(const Job& job,
                                          const StepId& step) const {
  if (!job.needs_advice) {
    return {};
  }
  return [this, step](const WorkerId& it) {
    return !advice_.TicketFor(step, it, now_).empty();
  };
}

void PoolEngine::RequestAdvice(const Placement& placement,
                               const Job& job,
                               const ReadyStep& ready) {
  const StepId step{job.id, ready.occurrence, ready.step};
  auto asked = advice_.BeginRequest(
      step, placement.Candidates(job, ready.occurrence, ready.step), now_);
  if (!asked.empty()) {
    effects_.push_back(RequestAdviceEffect{step, std::move(asked)});
  }
}

void PoolEngine::Handle(const AdviceReceived& event) {
  Log("advice", event.step.job,
      fmt::format("step={}.{} asked={} good={} answered={}",
                  event.step.occurrence, event.step.step, event.asked.size(),
                  event.approved.size(), event.answered));
  if (event.answered) {
    advice_.FinishRequest(event.step, event.asked, event.approved,
                          event.ticket_ttl, now_);
  } else {
    advice_.FailRequest(event.step, now_);
  }
  schedule_needed_ = true;
}

bool PoolEngine::PlaceGang(const Placement& placement,
                           Job& job,
                           const ReadyStep& ready) {
  auto& tasks = job.occurrences.at(ready.occurrence)
                    .steps[static_cast<std::size_t>(ready.step)];
  RunNumber run;
  for (const auto& it : tasks) {
    // A member of the previous run may still be present.
    if (it.phase != TaskPhase::kWaiting || it.not_before > now_ ||
        it.held_back || AwaitsFateOfWorkers(it)) {
      return false;
    }
    run = std::max(run, it.run);
  }
  const auto resources = ResourcesOf(job.Step(ready.step));
  const auto filter = AdvisedOnly(job, {job.id, ready.occurrence, ready.step});
  std::vector<WorkerId> chosen;
  std::string rack;
  // A copy, since the search lowers its mutable bound of free cores by members
  // that are placed only for the search.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const Placement search = placement;
  for (const auto& it : tasks) {
    // Members can't be spread to find out which one crashes its worker.
    Task unsuspected;
    unsuspected.failed_on = it.failed_on;
    const Worker* worker = search.Choose(job, ready.occurrence, ready.step,
                                         unsuspected, rack, filter);
    if (!worker) {
      break;
    }
    rack = worker->Rack();
    chosen.push_back(worker->entry.id);
    workers_.at(chosen.back())
        .AddRun({job.id, ready.occurrence, ready.step,
                 static_cast<int>(chosen.size()) - 1},
                resources, 0);
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    const TaskId id{job.id, ready.occurrence, ready.step, static_cast<int>(i)};
    workers_.at(chosen[i]).RemoveRun(id);
  }
  if (chosen.size() < tasks.size()) {
    if (job.needs_advice) {
      RequestAdvice(placement, job, ready);
    }
    return false;
  }
  const bool await_poll =
      std::any_of(tasks.begin(), tasks.end(),
                  [](const auto& it) { return it.HasDoubtfulStarts(); });
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    tasks[i].run = run;
    Place(job, {job.id, ready.occurrence, ready.step, static_cast<int>(i)},
          tasks[i], chosen[i], await_poll);
  }
  return true;
}

void PoolEngine::Place(Job& job,
                       const TaskId& id,
                       Task& task,
                       const WorkerId& worker,
                       bool await_poll) {
  task.phase = TaskPhase::kPlaced;
  task.placed_at = now_;
  task.run = RunNumber(task.run.value() + 1);
  task.worker = worker;
  task.confirmed = false;
  task.awaits_poll = await_poll;
  task.started_after_poll = false;
  task.stop_answered = false;
  task.inherited_at.reset();
  task.speed_percent = 100;
  Worker& chosen = workers_.at(worker);
  task.host = chosen.entry.host;
  task.incarnation = chosen.incarnation;
  task.address = chosen.entry.address;
  task.on_trial = task.NeedsTrial(now_) && !job.Step(id.step).gang;
  chosen.AddRun(
      id, ResourcesOf(job.Step(id.step)),
      task.on_trial ? task.Suspicion() : std::min(task.Suspicion(), 1));
  if (await_poll) {
    chosen.answer_awaited = true;
    chosen.next_poll_at = now_;
    MaybePollWorker(chosen);
    return;
  }
  staged_.dirty.insert(job.id);
  staged_.placed.emplace_back(id, task.run);
}

void PoolEngine::SendStart(const TaskId& id, RunNumber run) {
  const auto found = jobs_.find(id.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(id);
  if (!task || task->phase != TaskPhase::kPlaced || task->run != run) {
    return;
  }
  Job& job = found->second;
  Worker& worker = workers_.at(task->worker);
  std::string ticket;
  if (job.needs_advice) {
    ticket =
        advice_.TicketFor({id.job, id.occurrence, id.step}, task->worker, now_);
  }
  if (!worker.IsUsable(now_) || worker.incarnation != task->incarnation ||
      !worker.used.FitsIn(worker.entry.capacity) ||
      (job.needs_advice && ticket.empty())) {
    // Meanwhile the worker became unusable, restarted or lost capacity, or the
    // ticket expired.
    ReleaseResources(id, *task);
    ReturnToWaiting(job, id, *task);
    return;
  }
  if (task->started_after_poll &&
      now_ - worker.answered_at > tuning_.max_answer_age) {
    task->started_after_poll = false;
    staged_.dirty.insert(id.job);
  }
  task->phase = TaskPhase::kStarting;
  task->answered_at = Time::max();
  task->started_at = now_;
  task->progress_at = now_;
  task->percent = 0;
  const auto lease_until = worker.ClockAt(now_) + tuning_.lease.count() / 1000;
  worker.lease_sent_ms = std::max(worker.lease_sent_ms, lease_until);
  if (!worker.late_starts.empty()) {
    worker.next_poll_at = now_;
  }
  worker.unsettled_runs[id] = {run, now_, now_ + tuning_.max_call_delay,
                               lease_until};
  LogRun("start-run", id,
         fmt::format("task={} run={} worker={} born={} listed_born={} host={} "
                     "shard={} lease_until_ms={} free_cpu={} waited_ms={} "
                     "stored_ms={}",
                     ToString(id), run.value(), task->worker.value(),
                     worker.incarnation, worker.entry.incarnation,
                     worker.entry.host.value(), shard_.value(), lease_until,
                     worker.Free().cpu_milli,
                     (task->placed_at - task->waiting_since).count() / 1000,
                     (now_ - task->placed_at).count() / 1000));
  ++starts_in_flight_;
  effects_.push_back(StartRun{task->worker, worker.entry.address, id, run,
                              job.spec.payload, lease_until, task->checkpoint,
                              std::move(ticket)});
}

void PoolEngine::SettleStart(Worker& worker,
                             const Task& task,
                             const StartFinished& event) {
  const auto it = worker.unsettled_runs.find(event.task);
  if (it == worker.unsettled_runs.end()) {
    return;
  }
  switch (event.result) {
    case OrderResult::kUnknown:
      NoteUnseenGrant(worker, it->second.arrives_by);
      it->second.unanswered = true;
      staged_.unanswered_starts.insert(event.worker);
      return;
    case OrderResult::kNotSent:
    case OrderResult::kWrongIncarnation:
      break;
    default:
      if (event.result == OrderResult::kDone) {
        worker.lease_delivered_ms =
            std::max(worker.lease_delivered_ms, it->second.lease_until_ms);
      }
      if (event.clock_ms && worker.IsClockOfIncarnation(*event.clock_ms, now_,
                                                        tuning_.clock_drift)) {
        break;
      }
      // A refused start extends the leases of other runs too.
      NoteUnseenGrant(worker, now_);
      if (event.result == OrderResult::kDone) {
        it->second.arrives_by = now_;
        if (event.clock_ms &&
            worker.IsClockBehind(*event.clock_ms, now_, tuning_.clock_drift)) {
          LogRun("start-at-unseen-process", event.task,
                 fmt::format("task={} run={} worker={} born={} clock_ms={} "
                             "expected_clock_ms={}",
                             ToString(event.task), event.run.value(),
                             event.worker.value(), task.incarnation,
                             *event.clock_ms, worker.ClockAt(now_)));
          worker.next_poll_at = now_;
        }
        return;
      }
      break;
  }
  worker.unsettled_runs.erase(it);
}

void PoolEngine::Handle(const StartFinished& event) {
  starts_in_flight_ -= starts_in_flight_ > 0 ? 1 : 0;
  const auto found = jobs_.find(event.task.job);
  Task* task = found == jobs_.end() ? nullptr : found->second.Find(event.task);
  const auto known = workers_.find(event.worker);
  if (!task || known == workers_.end() || task->run != event.run ||
      task->worker != event.worker ||
      (task->phase != TaskPhase::kStarting &&
       task->phase != TaskPhase::kStopping)) {
    return;
  }
  Job& job = found->second;
  Worker& worker = known->second;
  SettleStart(worker, *task, event);
  // A later incarnation may listen at another address.
  const bool of_incarnation = task->incarnation == worker.incarnation;
  if (event.result == OrderResult::kDone) {
    job.begun = true;
    task->confirmed = true;
    if (task->phase == TaskPhase::kStarting) {
      task->phase = TaskPhase::kRunning;
      task->answered_at = now_;
    }
    MaybePollWorker(worker);
    return;
  }
  if (event.result == OrderResult::kUnknown) {
    Log("start-unanswered", job.id,
        fmt::format("task={} run={} worker={}", ToString(event.task),
                    event.run.value(), event.worker.value()));
    if (task->phase == TaskPhase::kStarting) {
      // The next poll shows whether the run is present.
      task->answered_at = now_;
    }
    worker.avoid_until =
        std::max(worker.avoid_until, now_ + tuning_.refusal_backoff);
    MaybePollWorker(worker);
    return;
  }
  Log("start-refused", job.id,
      fmt::format("task={} run={} worker={} result={}", ToString(event.task),
                  event.run.value(), event.worker.value(),
                  ToString(event.result)));
  ReleaseResources(event.task, *task);
  ReturnToWaiting(job, event.task, *task);
  worker.avoid_until =
      std::max(worker.avoid_until, now_ + tuning_.refusal_backoff);
  if (event.result == OrderResult::kNotSent) {
    // The worker accepts no connections: its host may have left the pool. It
    // gets no further run before it has answered a poll.
    worker.fence_confirmed = false;
    worker.next_poll_at = now_;
    MaybePollWorker(worker);
  }
  if (event.result == OrderResult::kNoTicket) {
    advice_.RejectTicket(
        {event.task.job, event.task.occurrence, event.task.step}, event.worker);
  }
  if (event.result == OrderResult::kWrongIncarnation && of_incarnation) {
    LoseRuns(worker, "address-reused", WorkerFate::kCrashed);
    worker.fence_confirmed = false;
  }
}

}  // namespace baobab
