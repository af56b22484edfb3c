#include "libjobs/pool_engine.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <variant>

#include <fmt/format.h>

namespace baobab {

namespace {

/** Interval of the sweeps over all runs for leases and stops. */
constexpr Duration kSweepInterval = std::chrono::milliseconds(200);

/** Number of commits over which their duration is averaged. */
constexpr int kCommitSamples = 4;

/** Bounds of the encoded size of a job without its texts and steps, of a step
 * without its texts and dependencies, and of a number. */
constexpr std::size_t kMaxAcceptanceBytes = 160;
constexpr std::size_t kMaxStepBytes = 120;
constexpr std::size_t kMaxNumberBytes = 9;

/** Bytes that the store adds to a key and a value. */
constexpr std::size_t kRecordHeaderBytes = 1;

/** Names of the events in the order of PoolEventBody, for the log. */
constexpr const char* kEventNames[] = {"tick",
                                       "shard-loaded",
                                       "policies-changed",
                                       "division-changed",
                                       "workers-listed",
                                       "submit",
                                       "cancel",
                                       "job-offered",
                                       "offer-finished",
                                       "hosts-planned",
                                       "commit-stored",
                                       "poll-finished",
                                       "start-finished",
                                       "stop-finished",
                                       "throttle-finished",
                                       "advice"};
static_assert(std::size(kEventNames) == std::variant_size_v<PoolEventBody>);

/** Returns the job that the event is about, or an empty id. */
struct JobOfEvent {
  template <typename T>
  JobId operator()(const T& event) const {
    if constexpr (requires { event.task.job; }) {
      return event.task.job;
    } else if constexpr (requires { event.step.job; }) {
      return event.step.job;
    } else if constexpr (requires { event.offer.job; }) {
      return event.offer.job;
    } else if constexpr (requires { event.job; }) {
      return event.job;
    } else {
      return JobId();
    }
  }
};

Duration FromMilliseconds(std::int64_t ms) {
  return std::chrono::milliseconds(ms);
}

}  // namespace

PoolEngine::PoolEngine(ShardId shard, const PoolTuning& tuning)
    : shard_(shard), tuning_(tuning), admission_(durations_, tuning_) {}

PoolEffects PoolEngine::Apply(const PoolEvent& event) {
  now_ = event.at;
  wall_ms_ = event.wall_ms;
  subject_.event = kEventNames[event.body.index()];
  NoteSubject(std::visit(JobOfEvent(), event.body));
  std::visit([this](const auto& it) { Handle(it); }, event.body);
  if (loaded_) {
    if (schedule_needed_) {
      schedule_needed_ = false;
      Schedule();
    }
    NoteSubject();
    FlushCommit();
  }
  return std::exchange(effects_, {});
}

std::optional<JobState> PoolEngine::StateOf(const JobId& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.stored || it->second.IsTombstone()) {
    return std::nullopt;
  }
  switch (it->second.visible_end) {
    case JobEnd::kCompleted:
      return JobState::kCompleted;
    case JobEnd::kFailed:
      return JobState::kFailed;
    case JobEnd::kCancelled:
      return JobState::kCancelled;
    case JobEnd::kOpen:
      break;
  }
  return it->second.begun ? JobState::kRunning : JobState::kQueued;
}

int PoolEngine::Pending(const QueueId& queue) const {
  return static_cast<int>(
      std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& it) {
        const Job& job = it.second;
        return job.queue == queue && job.stored && !job.begun &&
               job.visible_end == JobEnd::kOpen;
      }));
}

PoolReport PoolEngine::Report(Time now) const {
  PoolReport report;
  for (const auto& [id, job] : jobs_) {
    ++(job.end == JobEnd::kOpen ? report.open_jobs : report.ended_jobs);
    report.set_aside_jobs += IsSetAside(id) ? 1 : 0;
  }
  for (const auto& [service, steps] : ready_.by_service()) {
    report.waiting_steps += static_cast<int>(steps.size());
  }
  for (const auto& [id, worker] : workers_) {
    report.workers += worker.listed ? 1 : 0;
    report.usable_workers += worker.IsUsable(now) ? 1 : 0;
    report.runs += static_cast<int>(worker.runs.size());
  }
  report.violations = violations_;
  return report;
}

void PoolEngine::Handle(const PoolTick& event) {
  if (!loaded_) {
    return;
  }
  if (const bool was_busy = load_.IsBusy();
      load_.Observe(event.lag), load_.IsBusy() != was_busy) {
    Log(load_.IsBusy() ? "owner-busy" : "owner-calm", JobId(),
        fmt::format("lag_ms={}", event.lag.count() / 1000));
  }
  demand_.Forget(now_);
  if (now_ - planned_at_ >= tuning_.plan_ttl &&
      (!plan_.reserved.empty() || !plan_.arriving.empty())) {
    // The planner is gone; its reservations must not outlive it.
    UsePlan({});
  }
  for (const auto& id : std::set<JobId>(scheduled_jobs_)) {
    NoteSubject(id);
    BeginDueOccurrences(jobs_.at(id));
  }
  NoteSubject();
  if (now_ - swept_at_ >= kSweepInterval) {
    swept_at_ = now_;
    ExpireLeases();
    StoreLeaseWaits();
    StoreSettledPlacements();
    EvacuateWorkers();
    stops_left_ = true;
    LogWaits();
    HandOverMisplacedJobs();
    OfferLeavingJobs();
    DropExpiredJobs();
    DropExpiredDelegations();
  }
  if (stops_left_) {
    RetryStops();
  }
  MaybePollWorkers();
  schedule_needed_ = true;
}

void PoolEngine::Handle(const ShardLoaded& event) {
  auto loaded = DecodeJobs(event.records);
  for (const auto& it : loaded.faults) {
    Log("skip-record", JobId(), fmt::format("fault=\"{}\"", it));
  }
  loaded_ = true;
  loaded_at_ = now_;
  jobs_ = std::move(loaded.jobs);
  delegated_ = std::move(loaded.delegations);
  job_failures_ = std::move(loaded.job_failures);
  for (auto& it : loaded.lost_runs) {
    it.lost_at = now_;
    lost_runs_.Add(it);
  }
  for (const auto& [id, it] : delegated_) {
    delegated_at_.emplace(it.decided_wall_ms, id);
  }
  for (auto& [id, job] : jobs_) {
    if (job.end == JobEnd::kOpen && delegated_.contains(id)) {
      Freeze(job);
    }
    NoteSubject(id);
    AdoptJob(job);
  }
  NoteSubject();
  for (const auto& [id, wait] : loaded.lease_waits) {
    if (const auto it = workers_.find(id); it != workers_.end()) {
      it->second.inherited_until =
          std::min(it->second.inherited_until, now_ + wait);
      it->second.lease_wait_recorded = true;
    } else {
      staged_.ended_lease_waits.insert(id);
    }
  }
  for (const auto& [id, starts] : loaded.unanswered_starts) {
    AdoptUnansweredStarts(id, starts);
  }
  DoubtUnsettledPlacements(loaded.settled_placements);
  for (const auto& [id, worker] : workers_) {
    Log("inherit-runs", JobId(),
        fmt::format("worker={} host={} runs={} {}", id.value(),
                    worker.entry.host.value(), worker.runs.size(),
                    LeaseFields(worker)));
  }
  MaybePollWorkers();
  schedule_needed_ = true;
}

void PoolEngine::AdoptJob(Job& job) {
  job.submitted_at = now_ - FromMilliseconds(wall_ms_ - job.submitted_wall_ms);
  if (job.end != JobEnd::kOpen) {
    ended_.emplace(job.ended_wall_ms, job.id);
  }
  for (auto& [number, occurrence] : job.occurrences) {
    occurrence.due =
        job.IsPeriodic()
            ? now_ + FromMilliseconds(job.spec.first_due_wall_ms +
                                      number * job.spec.interval_ms - wall_ms_)
            : job.submitted_at;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step];
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase == TaskPhase::kInherited) {
          Worker& worker = WorkerFor(tasks[i].worker);
          if (!tasks[i].host.value().empty() &&
              tasks[i].incarnation >= worker.entry.incarnation) {
            worker.entry.host = tasks[i].host;
            worker.entry.incarnation = tasks[i].incarnation;
            worker.entry.address = tasks[i].address;
          }
          const auto resources = ResourcesOf(job.spec.steps[step]);
          worker.AddRun(TaskId{job.id, number, static_cast<int>(step),
                               static_cast<int>(i)},
                        resources, tasks[i].Suspicion());
        }
      }
    }
  }
  if (IsSetAside(job.id)) {
    Log("set-aside-job", job.id,
        fmt::format("queue={} failures={}", job.queue.value(),
                    FailuresAt(job.id)));
    return;
  }
  if (job.end == JobEnd::kOpen && !leaving_.contains(job.id)) {
    EndWhatIsDone(job);
  }
  for (const auto& [number, occurrence] : job.occurrences) {
    AddReadySteps(job, number);
  }
  if (job.end == JobEnd::kOpen && job.created < job.OccurrenceCount() &&
      !leaving_.contains(job.id)) {
    scheduled_jobs_.insert(job.id);
    BeginDueOccurrences(job);
  }
}

void PoolEngine::Handle(const PoliciesChanged& event) {
  policies_ = event.policies;
  schedule_needed_ = true;
}

void PoolEngine::Handle(const DivisionChanged& event) {
  division_ = event.division;
}

void PoolEngine::Handle(const SubmitRequested& event) {
  const auto refuse = [&](SubmitVerdict verdict, Duration retry_after,
                          std::string reason) {
    Log("refuse-job", event.job,
        fmt::format("queue={} reason=\"{}\" retry_after_ms={}",
                    event.queue.name.value(), reason,
                    retry_after.count() / 1000));
    effects_.push_back(
        AnswerSubmit{event.reply, verdict, retry_after, std::move(reason)});
  };
  if (!loaded_) {
    refuse(SubmitVerdict::kRefused, FromMilliseconds(500), "shard-loading");
    return;
  }
  const auto known = jobs_.find(event.job);
  if (known != jobs_.end() && known->second.IsTombstone()) {
    refuse(SubmitVerdict::kRefused, tuning_.status_retention, "cancelled");
    return;
  }
  if (known != jobs_.end()) {
    if (known->second.stored) {
      effects_.push_back(
          AnswerSubmit{event.reply, SubmitVerdict::kAccepted, {}, "known"});
    } else {
      staged_.dirty.insert(event.job);
      staged_.answers.push_back(AnswerSubmit{event.reply,
                                             SubmitVerdict::kAccepted,
                                             {},
                                             "known",
                                             {},
                                             {},
                                             event.job});
    }
    return;
  }
  if (delegated_.contains(event.job)) {
    AnswerDelegated(event.reply, event.job);
    return;
  }
  if (const auto checked = CheckSpec(event.spec); !checked) {
    refuse(SubmitVerdict::kInvalid, {}, checked.error().message);
    return;
  }
  Job job = MakeJob(event);
  if (const auto bytes = AcceptanceSize(job);
      bytes > tuning_.max_record_bytes) {
    refuse(SubmitVerdict::kInvalid, {},
           fmt::format("job-too-large bytes={} limit={}", bytes,
                       tuning_.max_record_bytes));
    return;
  }
  if (in_flight_ && now_ - commit_sent_at_ > tuning_.store_timeout) {
    demand_.RecordRefused(job, now_);
    refuse(SubmitVerdict::kRefused, FromMilliseconds(1000), "store-away");
    return;
  }
  if (load_.IsBusy() && !job.IsLongRunning()) {
    if (!event.delegated && Delegate(job, event.reply)) {
      return;
    }
    demand_.RecordRefused(job, now_);
    refuse(SubmitVerdict::kRefused, load_.RetryAfter(),
           fmt::format("owner-busy lag_ms={}", load_.lag().count() / 1000));
    return;
  }
  if (!event.delegated && !DecidesOn(job.service)) {
    if (!Delegate(job, event.reply)) {
      refuse(SubmitVerdict::kRefused, FromMilliseconds(1000), "no-cell");
    }
    return;
  }
  admission_.Observe(job);
  const auto verdict = Evaluate(job);
  const auto expected_ms = verdict.expected.count() / 1000;
  const auto objective_ms = job.Objective().count() / 1000;
  if (!event.delegated &&
      (!verdict.accept || verdict.deferred || LacksRoomFor(job)) &&
      Delegate(job, event.reply)) {
    return;
  }
  if (!verdict.accept) {
    demand_.RecordRefused(job, now_);
    refuse(SubmitVerdict::kRefused, verdict.retry_after,
           fmt::format("overload expected_ms={} objective_ms={}", expected_ms,
                       objective_ms));
    return;
  }
  Log("accept-job", event.job,
      fmt::format("queue={} service={} expected_ms={} objective_ms={} steps={} "
                  "deferred={} asked_ago_ms={}",
                  job.queue.value(), job.service.value(), expected_ms,
                  objective_ms, job.spec.steps.size(), verdict.deferred,
                  (now_ - job.submitted_at).count() / 1000));
  job.deferred = verdict.deferred;
  demand_.RecordAccepted(job, now_);
  auto& stored = jobs_.emplace(event.job, std::move(job)).first->second;
  staged_.accepted.insert(event.job);
  staged_.answers.push_back(AnswerSubmit{
      event.reply, SubmitVerdict::kAccepted, {}, "new", {}, {}, event.job});
  scheduled_jobs_.insert(event.job);
  BeginDueOccurrences(stored);
  schedule_needed_ = true;
}

void PoolEngine::Handle(const CancelRequested& event) {
  if (const auto leaving = leaving_.find(event.job);
      leaving != leaving_.end()) {
    // The other cell may have the job already.
    leaving->second.cancels.push_back(event.reply);
    return;
  }
  const auto it = jobs_.find(event.job);
  if (const auto delegated = delegated_.find(event.job);
      loaded_ && it == jobs_.end() && delegated != delegated_.end()) {
    const AnswerCancel answer{event.reply, false, delegated->second.cell};
    if (delegated->second.stored) {
      effects_.push_back(answer);
    } else {
      staged_.delegated.insert(event.job);
      staged_.answers.push_back(answer);
    }
    return;
  }
  if (!loaded_ || it == jobs_.end()) {
    if (loaded_) {
      AddTombstone(event.job);
      staged_.answers.push_back(AnswerCancel{event.reply, false});
    }
    return;
  }
  if (it->second.IsTombstone()) {
    staged_.dirty.insert(event.job);
    staged_.answers.push_back(AnswerCancel{event.reply, false});
    return;
  }
  Job& job = it->second;
  if (job.end == JobEnd::kOpen) {
    EndJob(job, JobEnd::kCancelled, "asked");
  }
  if (job.visible_end != JobEnd::kOpen) {
    effects_.push_back(AnswerCancel{event.reply, true});
    return;
  }
  staged_.dirty.insert(event.job);
  staged_.answers.push_back(AnswerCancel{event.reply, true});
}

void PoolEngine::Handle(const HostsPlanned& event) {
  if (AcceptsPlan(event.plan)) {
    planner_ = event.plan.planner;
    UsePlan(event.plan);
  }
}

std::size_t PoolEngine::AcceptanceSize(const Job& job) const {
  // Most jobs are far below the limit, and encoding one takes time.
  std::size_t bound = kMaxAcceptanceBytes + job.spec.payload.size() +
                      job.queue.value().size() + job.service.value().size();
  for (const auto& it : job.spec.steps) {
    bound += kMaxStepBytes + kMaxNumberBytes * it.after.size() +
             it.label.size() + it.data_rack.size() + it.image.size();
  }
  return bound <= tuning_.max_record_bytes
             ? bound
             : kRecordHeaderBytes + AcceptanceKey(job.id).size() +
                   EncodeAcceptance(job).size();
}

void PoolEngine::UsePlan(HostPlan plan) {
  plan_ = std::move(plan);
  planned_at_ = now_;
  for (auto& [id, worker] : workers_) {
    worker.reserved = plan_.reserved.contains(worker.entry.host);
  }
  if (loaded_) {
    EvacuateWorkers();
    schedule_needed_ = true;
  }
}

void PoolEngine::AddTombstone(const JobId& id) {
  // The submission may still be in transit. Storing the tombstone also proves
  // that there is no later owner, which may know the job.
  Job job;
  job.id = id;
  job.submitted_at = now_;
  job.submitted_wall_ms = wall_ms_;
  job.end = JobEnd::kCancelled;
  job.ended_wall_ms = wall_ms_;
  ended_.emplace(wall_ms_, id);
  jobs_.emplace(id, std::move(job));
  staged_.accepted.insert(id);
  staged_.dirty.insert(id);
  staged_.visible_end[id] = JobEnd::kCancelled;
  Log("cancel-unknown-job", id, "");
}

Job PoolEngine::MakeJob(const SubmitRequested& event) const {
  Job job;
  job.id = event.job;
  job.queue = event.queue.name;
  job.service = event.queue.service;
  job.priority = event.queue.priority;
  job.max_attempts = std::max(1, event.queue.max_attempts);
  job.stretch = event.queue.stretch;
  job.target = event.queue.target;
  job.needs_advice = event.queue.advice.has_value();
  job.spec = event.spec;
  job.submitted_at =
      demand_.FirstSubmittedAt(event.job, now_ - event.asked_ago);
  job.submitted_wall_ms = wall_ms_ - (now_ - job.submitted_at).count() / 1000;
  return job;
}

void PoolEngine::BeginDueOccurrences(Job& job) {
  std::size_t tasks = 0;
  for (const auto& it : job.spec.steps) {
    tasks += static_cast<std::size_t>(it.count);
  }
  while (job.created < job.OccurrenceCount()) {
    if (!job.occurrences.empty() &&
        (job.occurrences.size() + 1) * tasks > kMaxOpenTasksPerJob) {
      return;
    }
    const int number = job.created;
    Time due = job.submitted_at;
    if (job.IsPeriodic()) {
      const auto wall =
          job.spec.first_due_wall_ms + number * job.spec.interval_ms;
      if (wall > wall_ms_) {
        return;
      }
      due = now_ - FromMilliseconds(wall_ms_ - wall);
    }
    job.CreateOccurrence(due);
    AddReadySteps(job, number);
    schedule_needed_ = true;
  }
  scheduled_jobs_.erase(job.id);
}

void PoolEngine::EndJob(Job& job, JobEnd end, const std::string& why) {
  job.end = end;
  job.ended_wall_ms = wall_ms_;
  ended_.emplace(wall_ms_, job.id);
  scheduled_jobs_.erase(job.id);
  ready_.RemoveJob(job.service, job.id);
  advice_.Forget(job.id);
  staged_.dirty.insert(job.id);
  staged_.visible_end[job.id] = end;
  Log("end-job", job.id,
      fmt::format("end={} why={} age_ms={}", ToString(end), why,
                  wall_ms_ - job.submitted_wall_ms));
  std::size_t stops = 0;
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step];
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        Task& task = tasks[i];
        const TaskId id{job.id, number, static_cast<int>(step),
                        static_cast<int>(i)};
        if (task.phase == TaskPhase::kPlaced) {
          ReleaseResources(id, task);
          task.phase = TaskPhase::kWaiting;
        } else if (task.phase == TaskPhase::kStarting ||
                   task.phase == TaskPhase::kRunning) {
          if (++stops > tuning_.max_orders_per_turn) {
            StopLater(task);
          } else {
            OrderStop(id, task);
          }
        }
      }
    }
  }
}

void PoolEngine::DropExpiredJobs() {
  while (!ended_.empty() &&
         ended_.begin()->first + tuning_.RetentionMs() < wall_ms_) {
    const JobId id = ended_.begin()->second;
    ended_.erase(ended_.begin());
    if (const auto it = jobs_.find(id); it != jobs_.end()) {
      DropJob(it);
    }
  }
}

void PoolEngine::DropJob(std::map<JobId, Job>::iterator job) {
  auto& parts = staged_.dropped[job->first];
  for (const auto& [part, digest] : job->second.stored_parts) {
    parts.insert(part);
  }
  staged_.accepted.erase(job->first);
  staged_.dirty.erase(job->first);
  jobs_.erase(job);
}

ReadyStep PoolEngine::ReadyKey(const Job& job,
                               int number,
                               const Occurrence& occurrence,
                               int step) {
  const bool finite = !job.Step(step).long_running;
  return {job.priority, finite, job.LatestStart(occurrence, step),
          job.id,       number, step};
}

ReadyStep PoolEngine::ReadyKey(const Job& job, int number, int step) {
  return ReadyKey(job, number, job.occurrences.at(number), step);
}

bool PoolEngine::PlacesTasks(const Job& job) const {
  return job.end == JobEnd::kOpen && !leaving_.contains(job.id) &&
         !IsSetAside(job.id);
}

void PoolEngine::AddReadySteps(Job& job, int occurrence) {
  const auto it = job.occurrences.find(occurrence);
  if (it == job.occurrences.end() || !PlacesTasks(job)) {
    return;
  }
  for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
    AddIfReady(job, occurrence, it->second, step);
  }
}

void PoolEngine::AddIfReady(Job& job,
                            int number,
                            Occurrence& occurrence,
                            int step) {
  if (!HasTasksToPlace(occurrence, step)) {
    return;
  }
  for (auto& task : occurrence.steps[static_cast<std::size_t>(step)]) {
    if (task.phase == TaskPhase::kWaiting && task.waiting_since == Time()) {
      task.waiting_since = now_;
    }
  }
  ready_.Add(job.service, ReadyKey(job, number, occurrence, step));
  schedule_needed_ = true;
}

void PoolEngine::FlushCommit() {
  if (in_flight_ || staged_.empty()) {
    return;
  }
  if (const auto since = now_ - commit_sent_at_;
      since < tuning_.min_commit_interval) {
    if (!std::exchange(wake_requested_, true)) {
      effects_.emplace_back(WakeUp{tuning_.min_commit_interval - since});
    }
    return;
  }
  wake_requested_ = false;
  StoreCommit commit;
  std::size_t size = 0;
  const auto add = [&](std::string key, std::string value) {
    size += key.size() + value.size();
    commit.records.push_back({std::move(key), std::move(value)});
  };
  // A commit may be stored in several calls, of which the last ones may fail. A
  // job counts from when its acceptance is stored until that is deleted, so it
  // is stored after all else and deleted first.
  for (const auto& [id, parts] : staged_.dropped) {
    if (jobs_.contains(id)) {
      continue;
    }
    add(AcceptanceKey(id), "");
    add(ProgressKey(id), "");
    if (job_failures_.erase(id) > 0) {
      add(JobFailuresKey(id), "");
    }
    for (const int part : parts) {
      add(ProgressPartKey(id, part), "");
    }
  }
  for (const auto& id : staged_.delegated) {
    const auto it = delegated_.find(id);
    add(DelegationKey(id),
        it == delegated_.end() ? "" : EncodeDelegation(it->second));
  }
  for (const auto& id : staged_.ended_lease_waits) {
    add(LeaseWaitKey(id), "");
  }
  for (const auto& id : staged_.lease_waits) {
    add(LeaseWaitKey(id),
        EncodeLeaseWait(
            std::max(Duration(0), workers_.at(id).inherited_until - now_)));
  }
  for (const auto& id : staged_.unanswered_starts) {
    const auto it = workers_.find(id);
    const auto starts = it == workers_.end() ? std::vector<UnansweredStart>()
                                             : UnansweredStarts(it->second);
    add(UnansweredStartsKey(id),
        starts.empty() ? "" : EncodeUnansweredStarts(starts));
    if (it != workers_.end()) {
      it->second.unanswered_starts_recorded = !starts.empty();
    }
  }
  // The placements of this commit are not settled before their starts are
  // answered. What this record says of starts without an answer is in the
  // records before it.
  if (const auto settled = SettledPlacements(last_placement_);
      settled > stored_settled_) {
    stored_settled_ = settled;
    add(SettledPlacementsKey(), EncodeSettledPlacements(settled));
  }
  for (const auto& [id, run] : staged_.placed) {
    const auto job = jobs_.find(id.job);
    Task* task = job == jobs_.end() ? nullptr : job->second.Find(id);
    if (task && task->phase == TaskPhase::kPlaced && task->run == run) {
      last_placement_ = PlacementNumber(last_placement_.value() + 1);
      task->placement = last_placement_;
    }
  }
  for (const auto& id : staged_.dirty) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      continue;
    }
    Job& job = it->second;
    NoteSubject(id);
    add(ProgressKey(id), EncodeProgress(job, lost_runs_));
    auto digests = ProgressDigests(job);
    std::set<int> changed;
    for (const auto& [part, digest] : digests) {
      const auto stored = job.stored_parts.find(part);
      if (stored == job.stored_parts.end() || stored->second != digest) {
        changed.insert(part);
      }
    }
    if (!changed.empty()) {
      for (auto& [part, value] :
           EncodeProgressParts(job, changed, lost_runs_)) {
        add(ProgressPartKey(id, part), std::move(value));
      }
    }
    for (const auto& [part, digest] : job.stored_parts) {
      if (!digests.contains(part)) {
        add(ProgressPartKey(id, part), "");
      }
    }
    job.stored_parts = std::move(digests);
  }
  for (const auto& id : staged_.accepted) {
    NoteSubject(id);
    add(AcceptanceKey(id), EncodeAcceptance(jobs_.at(id)));
  }
  in_flight_ = std::exchange(staged_, {});
  if (commit.records.empty()) {
    PublishStored();
    return;
  }
  commit_ = CommitId(commit_.value() + 1);
  commit_sent_at_ = now_;
  commit.commit = commit_;
  effects_.push_back(std::move(commit));
}

void PoolEngine::Handle(const CommitStored& event) {
  if (in_flight_ && event.commit == commit_) {
    const Duration taken = now_ - commit_sent_at_;
    if (taken <= tuning_.store_timeout) {
      // Longer ones show an outage, which is no forecast for the next commit.
      commit_time_ += (taken - commit_time_) / kCommitSamples;
    }
    RefuseRejected(event.rejected);
    PublishStored();
  }
}

void PoolEngine::RefuseRejected(const std::vector<std::string>& keys) {
  std::set<JobId> rejected;
  for (const auto& it : keys) {
    // The key is a kind, a slash and the id, with more behind a slash.
    const auto id = it.substr(std::min<std::size_t>(2, it.size()));
    rejected.emplace(id.substr(0, id.find('/')));
  }
  for (const auto& id : rejected) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      continue;
    }
    if (it->second.end == JobEnd::kOpen) {
      EndJob(it->second, JobEnd::kFailed, "record-rejected");
    }
    if (it->second.stored) {
      continue;
    }
    // It was not accepted, so nothing of it remains.
    in_flight_->accepted.erase(id);
    for (auto& answer : in_flight_->answers) {
      auto* submit = std::get_if<AnswerSubmit>(&answer);
      if (submit && submit->job == id) {
        submit->verdict = SubmitVerdict::kInvalid;
        submit->reason = "record-rejected";
      }
    }
    std::erase_if(ended_,
                  [&](const auto& ended) { return ended.second == id; });
    DropJob(it);
  }
}

void PoolEngine::PublishStored() {
  const StagedChanges stored = std::move(*in_flight_);
  in_flight_.reset();
  for (const auto& id : stored.accepted) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) {
      it->second.stored = true;
    }
  }
  for (const auto& id : stored.delegated) {
    const auto it = delegated_.find(id);
    if (it != delegated_.end()) {
      it->second.stored = true;
    }
  }
  for (const auto& id : stored.ended_lease_waits) {
    const auto it = workers_.find(id);
    if (it != workers_.end() && !staged_.lease_waits.contains(id)) {
      it->second.lease_wait_recorded = false;
      it->second.next_poll_at = now_;
      MaybePollWorker(it->second);
    }
  }
  for (const auto& [id, end] : stored.visible_end) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) {
      it->second.visible_end = end;
    }
  }
  effects_.insert(effects_.end(), stored.answers.begin(), stored.answers.end());
  OfferLeavingJobs();
  for (const auto& [id, run] : stored.placed) {
    SendStart(id, run);
  }
  for (const auto& it : stored.ends) {
    const auto found = workers_.find(it.worker);
    if (found == workers_.end() ||
        found->second.incarnation != it.incarnation) {
      continue;
    }
    Worker& worker = found->second;
    worker.stored_ends = std::max(worker.stored_ends, it.number);
    if (worker.stored_ends == worker.applied_ends) {
      worker.ends_pending = false;
      worker.next_poll_at = now_;
    }
    MaybePollWorker(worker);
  }
}

void PoolEngine::Log(const std::string& decision,
                     const JobId& job,
                     std::string fields) {
  effects_.push_back(LogDecision{decision, job, std::move(fields)});
}

void PoolEngine::LogRun(const std::string& decision,
                        const TaskId& task,
                        std::string fields) {
  effects_.push_back(LogDecision{decision, task.job, std::move(fields), true});
}

}  // namespace baobab
