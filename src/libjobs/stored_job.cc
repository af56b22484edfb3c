#include "libjobs/stored_job.h"

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include <xxhash.h>

#include "libwire/bounded_dom.h"

namespace baobab {

namespace {

// Both records are arrays, to which later releases may only append fields.
constexpr int kFormatVersion = 1;

std::string Pack(const Json& json) {
  std::string out;
  Json::to_msgpack(json, out);
  return out;
}

Json StepToJson(const StepSpec& step) {
  return Json::array(
      {step.count, step.need.cpu_milli, step.need.mem_mb, step.need.gpus,
       step.estimate.count(), step.after,
       (step.checkpoints ? 1 : 0) | (step.gang ? 2 : 0) |
           (step.rack_local ? 4 : 0) | (step.speculative ? 8 : 0) |
           (step.long_running ? 16 : 0) | (step.background ? 32 : 0) |
           (step.has_availability_budget ? 64 : 0),
       step.label, step.data_rack, step.max_per_worker, step.image,
       step.tail_target.count(), step.max_unavailable});
}

StepSpec StepFromJson(const Json& json) {
  StepSpec step;
  step.count = json.at(0).get<int>();
  step.need = {json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>(),
               json.at(3).get<std::int64_t>()};
  step.estimate = Duration(json.at(4).get<std::int64_t>());
  step.after = json.at(5).get<std::vector<int>>();
  const int flags = json.at(6).get<int>();
  step.checkpoints = (flags & 1) != 0;
  step.gang = (flags & 2) != 0;
  step.rack_local = (flags & 4) != 0;
  step.speculative = (flags & 8) != 0;
  step.long_running = (flags & 16) != 0;
  step.background = (flags & 32) != 0;
  step.has_availability_budget = (flags & 64) != 0;
  step.label = json.at(7).get<std::string>();
  step.data_rack = json.at(8).get<std::string>();
  step.max_per_worker = json.at(9).get<int>();
  step.image = json.at(10).get<std::string>();
  step.tail_target = Duration(json.at(11).get<std::int64_t>());
  step.max_unavailable = json.at(12).get<int>();
  return step;
}

Job AcceptanceFromJson(const JobId& id, const Json& json) {
  Job job;
  job.id = id;
  job.queue = QueueId(json.at(1).get<std::string>());
  job.service = ServiceId(json.at(2).get<std::string>());
  job.priority = json.at(3).get<int>();
  job.max_attempts = json.at(4).get<int>();
  job.stretch = json.at(5).get<double>();
  job.target = Duration(json.at(6).get<std::int64_t>());
  job.submitted_wall_ms = json.at(7).get<std::int64_t>();
  job.spec.payload = json.at(8).get<std::string>();
  for (const auto& it : json.at(9)) {
    job.spec.steps.push_back(StepFromJson(it));
  }
  job.spec.repeats = json.at(10).get<int>();
  job.spec.first_due_wall_ms = json.at(11).get<std::int64_t>();
  job.spec.interval_ms = json.at(12).get<std::int64_t>();
  // Absent in records of earlier releases.
  job.needs_advice = json.size() > 13 && json.at(13).get<bool>();
  job.stored = true;
  // A tombstone has no steps.
  if (job.spec.steps.empty()) {
    job.spec.repeats = 0;
  } else if (const auto checked = CheckSpec(job.spec); !checked) {
    throw std::out_of_range(checked.error().message);
  }
  return job;
}

std::int64_t TasksPerOccurrence(const Job& job) {
  std::int64_t tasks = 0;
  for (const auto& it : job.spec.steps) {
    tasks += it.count;
  }
  return tasks;
}

/** Calls `visit` for each task of the step that has a row in the progress of
 * the job, with its id and its position among all tasks. `first` is the id of
 * the first task, at `position`. */
template <typename F>
void ForEachRowOfStep(const Job& job,
                      const std::vector<Task>& tasks,
                      const TaskId& first,
                      std::int64_t position,
                      const F& visit) {
  for (std::size_t i = 0; i < tasks.size(); ++i, ++position) {
    const Task& it = tasks[i];
    // For an ended job, only runs that are still to be stopped matter.
    if (it.run.value() != 0 &&
        (job.end == JobEnd::kOpen || HoldsResources(it.phase))) {
      visit(
          TaskId{first.job, first.occurrence, first.step, static_cast<int>(i)},
          it, position);
    }
  }
}

/** The same for each task of the job, without the steps of which
 * `leaves_out(first position, position after the last)` returns true. */
template <typename P, typename F>
void ForEachRowBut(const Job& job, const P& leaves_out, const F& visit) {
  const auto per_occurrence = TasksPerOccurrence(job);
  for (const auto& [number, occurrence] : job.occurrences) {
    auto position = number * per_occurrence;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& tasks = occurrence.steps[step];
      const auto end = position + static_cast<std::int64_t>(tasks.size());
      if (!leaves_out(position, end)) {
        ForEachRowOfStep(job, tasks,
                         TaskId{job.id, number, static_cast<int>(step), 0},
                         position, visit);
      }
      position = end;
    }
  }
}

/** Returns the phase as it is stored: a new owner does not know how far a run
 * that may be present at a worker has come. */
TaskPhase StoredPhase(const Task& it) {
  return HoldsResources(it.phase) ? TaskPhase::kRunning : it.phase;
}

Json RowOf(const TaskId& id, const Task& it, const LostRuns& lost_runs) {
  const bool open_run = HoldsResources(it.phase);
  auto row = Json::array({id.occurrence, id.step, id.index,
                          static_cast<int>(it.phase), it.run.value(),
                          it.failures, open_run ? it.worker.value() : "",
                          it.phase == TaskPhase::kDone ? "" : it.checkpoint});
  if (open_run || it.Suspicion() > 0) {
    row.push_back(it.crashes);
    row.push_back(it.doubtful_crashes);
    row.push_back(open_run ? it.host.value() : "");
    row.push_back(open_run ? it.incarnation : 0);
  }
  const bool after_poll = open_run && it.started_after_poll;
  if (open_run || it.unexplained_losses > 0) {
    row.push_back(after_poll);
    Json lost = Json::array();
    for (const auto& run : lost_runs.Of(id)) {
      lost.push_back({run.worker.value(), run.host.value(), run.incarnation,
                      run.started_on_live_worker});
    }
    row.push_back(std::move(lost));
  }
  if (open_run) {
    row.push_back(it.address);
    row.push_back(it.placement.value());
  }
  return row;
}

/** Combines a digest with what the row of the task depends on. */
std::uint64_t AddToDigest(std::uint64_t digest,
                          const TaskId& id,
                          const Task& it) {
  const std::int64_t numbers[] = {id.occurrence,
                                  id.step,
                                  id.index,
                                  static_cast<std::int64_t>(StoredPhase(it)),
                                  it.run.value(),
                                  it.failures,
                                  it.crashes,
                                  it.doubtful_crashes,
                                  it.unexplained_losses,
                                  it.incarnation,
                                  it.started_after_poll ? 1 : 0};
  digest = XXH64(numbers, sizeof(numbers), digest);
  for (const auto* text :
       {&it.worker.value(), &it.checkpoint, &it.host.value(), &it.address}) {
    digest = XXH64(text->data(), text->size(), digest);
  }
  return digest;
}

/** Applies a row of the progress record to its task. */
void ApplyTaskRow(Job& job,
                  const Json& row,
                  std::vector<LostRuns::Run>& lost_runs) {
  const TaskId id{job.id, row.at(0).get<int>(), row.at(1).get<int>(),
                  row.at(2).get<int>()};
  Task* task = job.Find(id);
  if (!task) {
    throw std::out_of_range("progress of a task that the job does not have");
  }
  const auto phase = static_cast<TaskPhase>(row.at(3).get<int>());
  task->phase = HoldsResources(phase) ? TaskPhase::kInherited : phase;
  task->run = RunNumber(row.at(4).get<std::int64_t>());
  task->failures = row.at(5).get<int>();
  task->worker = WorkerId(row.at(6).get<std::string>());
  task->checkpoint = row.at(7).get<std::string>();
  // Absent in records of earlier releases, and for tasks without crashes that
  // are not placed.
  if (row.size() > 11) {
    task->crashes = row.at(8).get<int>();
    task->doubtful_crashes = row.at(9).get<int>();
    task->host = HostId(row.at(10).get<std::string>());
    task->incarnation = row.at(11).get<std::int64_t>();
  }
  // Absent in records of earlier releases, and for tasks to which neither
  // applies.
  if (row.size() > 13) {
    task->started_after_poll = row.at(12).get<bool>();
    for (const auto& it : row.at(13)) {
      lost_runs.push_back({id, WorkerId(it.at(0).get<std::string>()),
                           HostId(it.at(1).get<std::string>()),
                           it.at(2).get<std::int64_t>(), it.at(3).get<bool>(),
                           Time()});
      ++task->unexplained_losses;
    }
  }
  if (row.size() > 14) {
    task->address = row.at(14).get<std::string>();
  }
  if (row.size() > 15) {
    task->placement = PlacementNumber(row.at(15).get<std::uint64_t>());
  }
}

/** Returns the numbers of the open occurrences, which are below `created`. */
std::vector<int> OpenOccurrencesFromJson(const Job& job,
                                         const Json& json,
                                         int created) {
  auto open = json.get<std::vector<int>>();
  int least = 0;
  for (const int it : open) {
    if (it < least || it >= created) {
      throw std::out_of_range("progress has an invalid open occurrence");
    }
    least = it + 1;
  }
  std::size_t tasks = 0;
  for (const auto& it : job.spec.steps) {
    tasks += static_cast<std::size_t>(it.count);
  }
  if (open.size() > 1 && open.size() * tasks > kMaxOpenTasksPerJob) {
    throw std::out_of_range("progress has too many open tasks");
  }
  return open;
}

void ApplyProgress(Job& job,
                   const Json& json,
                   std::vector<LostRuns::Run>& lost_runs) {
  const int end = json.at(1).get<int>();
  if (end < 0 || end > static_cast<int>(JobEnd::kCancelled)) {
    throw std::out_of_range("progress has an unknown end");
  }
  job.end = static_cast<JobEnd>(end);
  job.visible_end = job.end;
  job.ended_wall_ms = json.at(2).get<std::int64_t>();
  job.begun = json.at(3).get<bool>();
  const int created = json.at(4).get<int>();
  if (created < 0 || created > job.OccurrenceCount()) {
    throw std::out_of_range("progress has more occurrences than the job");
  }
  const auto open = OpenOccurrencesFromJson(job, json.at(5), created);
  for (const int it : open) {
    job.created = it;
    job.CreateOccurrence(Time{});
  }
  // Absent in records of earlier releases.
  job.hand_overs = json.size() > 7 ? json.at(7).get<int>() : 0;
  job.created = created;
  job.finished = created - static_cast<int>(open.size());
  for (const auto& it : json.at(6)) {
    ApplyTaskRow(job, it, lost_runs);
  }
}

/** Splits "ID/PART"; empty for another name. */
std::optional<std::pair<JobId, int>> ParsePart(std::string_view name) {
  const auto slash = name.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  int part = 0;
  const auto* last = name.data() + name.size();
  const auto [end, ec] = std::from_chars(name.data() + slash + 1, last, part);
  if (ec != std::errc() || end != last || part < 0) {
    return std::nullopt;
  }
  return std::pair(JobId(std::string(name.substr(0, slash))), part);
}

void ApplyProgressPart(Job& job,
                       int part,
                       const Json& json,
                       std::vector<LostRuns::Run>& lost_runs) {
  job.stored_parts[part] = 0;
  for (const auto& it : json.at(1)) {
    // A part that was not stored since an occurrence was finished still has the
    // rows of that occurrence.
    if (job.occurrences.contains(it.at(0).get<int>())) {
      ApplyTaskRow(job, it, lost_runs);
    }
  }
}

}  // namespace

std::string AcceptanceKey(const JobId& id) {
  return "a/" + id.value();
}

std::string ProgressKey(const JobId& id) {
  return "p/" + id.value();
}

std::string ProgressPartKey(const JobId& id, int part) {
  return ProgressKey(id) + "/" + std::to_string(part);
}

std::string DelegationKey(const JobId& id) {
  return "d/" + id.value();
}

std::string EncodeDelegation(const Delegation& delegation) {
  return Pack(Json::array(
      {kFormatVersion, delegation.cell.value(), delegation.decided_wall_ms,
       delegation.submitted_wall_ms, delegation.hand_overs}));
}

std::string LeaseWaitKey(const WorkerId& id) {
  return "l/" + id.value();
}

std::string EncodeLeaseWait(Duration wait) {
  return Pack(Json::array({kFormatVersion, wait.count()}));
}

std::string UnansweredStartsKey(const WorkerId& id) {
  return "s/" + id.value();
}

std::string EncodeUnansweredStarts(const std::vector<UnansweredStart>& starts) {
  Json rows = Json::array();
  for (const auto& it : starts) {
    rows.push_back(Json::array({it.task.job.value(), it.task.occurrence,
                                it.task.step, it.task.index, it.run.value(),
                                it.left.count(), it.maybe_unsent}));
  }
  return Pack(Json::array({kFormatVersion, std::move(rows)}));
}

std::string SettledPlacementsKey() {
  return "n/settled";
}

std::string EncodeSettledPlacements(PlacementNumber settled) {
  return Pack(Json::array({kFormatVersion, settled.value()}));
}

std::string JobFailuresKey(const JobId& id) {
  return "f/" + id.value();
}

std::string EncodeJobFailures(int failures) {
  return Pack(Json::array({kFormatVersion, failures, BAOBAB_VERSION}));
}

std::string EncodeAcceptance(const Job& job) {
  Json steps = Json::array();
  for (const auto& it : job.spec.steps) {
    steps.push_back(StepToJson(it));
  }
  return Pack(Json::array(
      {kFormatVersion, job.queue.value(), job.service.value(), job.priority,
       job.max_attempts, job.stretch, job.target.count(), job.submitted_wall_ms,
       job.spec.payload, std::move(steps), job.spec.repeats,
       job.spec.first_due_wall_ms, job.spec.interval_ms, job.needs_advice}));
}

bool HasProgressParts(const Job& job) {
  return TasksPerOccurrence(job) * job.OccurrenceCount() > kTasksPerRecord;
}

std::string EncodeProgress(const Job& job, const LostRuns& lost_runs) {
  Json open = Json::array();
  for (const auto& [number, occurrence] : job.occurrences) {
    open.push_back(number);
  }
  Json rows = Json::array();
  if (!HasProgressParts(job)) {
    ForEachRowBut(
        job, [](std::int64_t, std::int64_t) { return false; },
        [&](const TaskId& id, const Task& it, std::int64_t) {
          rows.push_back(RowOf(id, it, lost_runs));
        });
  }
  return Pack(Json::array({kFormatVersion, static_cast<int>(job.end),
                           job.ended_wall_ms, job.begun, job.created,
                           std::move(open), std::move(rows), job.hand_overs}));
}

std::map<int, std::string> EncodeProgressParts(const Job& job,
                                               const std::set<int>& parts,
                                               const LostRuns& lost_runs) {
  std::map<int, Json> rows;
  for (const int it : parts) {
    rows[it] = Json::array();
  }
  const auto leaves_out = [&](std::int64_t begin, std::int64_t end) {
    const auto next =
        parts.lower_bound(static_cast<int>(begin / kTasksPerRecord));
    return next == parts.end() || *next > (end - 1) / kTasksPerRecord;
  };
  ForEachRowBut(job, leaves_out,
                [&](const TaskId& id, const Task& it, std::int64_t position) {
                  const auto part =
                      rows.find(static_cast<int>(position / kTasksPerRecord));
                  if (part != rows.end()) {
                    part->second.push_back(RowOf(id, it, lost_runs));
                  }
                });
  std::map<int, std::string> encoded;
  for (auto& [number, of_part] : rows) {
    encoded[number] = Pack(Json::array({kFormatVersion, std::move(of_part)}));
  }
  return encoded;
}

std::map<int, std::uint64_t> ProgressDigests(const Job& job) {
  std::map<int, std::uint64_t> digests;
  if (!HasProgressParts(job)) {
    return digests;
  }
  auto last = digests.end();
  const auto digest_of = [&](std::int64_t position) -> std::uint64_t& {
    const auto part = static_cast<int>(position / kTasksPerRecord);
    if (last == digests.end() || last->first != part) {
      last = digests.try_emplace(part).first;
    }
    return last->second;
  };
  const auto per_occurrence = TasksPerOccurrence(job);
  for (const auto& [number, occurrence] : job.occurrences) {
    auto position = number * per_occurrence;
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const auto& tasks = occurrence.steps[step];
      const auto end = position + static_cast<std::int64_t>(tasks.size());
      const int step_number = static_cast<int>(step);
      if (job.end == JobEnd::kOpen &&
          occurrence.progress.IsStepDone(step_number)) {
        // The rows of its tasks do not change any more.
        const std::int64_t numbers[] = {number, step_number};
        for (auto it = position; it < end;
             it = (it / kTasksPerRecord + 1) * kTasksPerRecord) {
          auto& digest = digest_of(it);
          digest = XXH64(numbers, sizeof(numbers), digest);
        }
      } else {
        ForEachRowOfStep(
            job, tasks, TaskId{job.id, number, step_number, 0}, position,
            [&](const TaskId& id, const Task& it, std::int64_t at) {
              auto& digest = digest_of(at);
              digest = AddToDigest(digest, id, it);
            });
      }
      position = end;
    }
  }
  return digests;
}

std::vector<StoredRecord> EncodeJob(const Job& job, const LostRuns& lost_runs) {
  std::vector<StoredRecord> records = {
      {ProgressKey(job.id), EncodeProgress(job, lost_runs)}};
  std::set<int> parts;
  for (const auto& [part, digest] : ProgressDigests(job)) {
    parts.insert(part);
  }
  for (auto& [part, value] : EncodeProgressParts(job, parts, lost_runs)) {
    records.push_back({ProgressPartKey(job.id, part), std::move(value)});
  }
  records.push_back({AcceptanceKey(job.id), EncodeAcceptance(job)});
  return records;
}

LoadedJobs DecodeJobs(const std::vector<StoredRecord>& records) {
  LoadedJobs loaded;
  const auto decode = [&](char kind, bool part, const auto& apply) {
    for (const auto& it : records) {
      if (it.value.empty() || it.key.size() < 3 || it.key[0] != kind ||
          (it.key.find('/', 2) != std::string::npos) != part) {
        continue;
      }
      try {
        apply(JobId(it.key.substr(2)), RequireMessagePack(it.value));
      } catch (const std::exception& error) {
        loaded.faults.push_back(it.key + ": " + error.what());
      }
    }
  };
  decode('a', false, [&](const JobId& id, const Json& json) {
    loaded.jobs.emplace(id, AcceptanceFromJson(id, json));
  });
  decode('p', false, [&](const JobId& id, const Json& json) {
    const auto it = loaded.jobs.find(id);
    if (it != loaded.jobs.end()) {
      ApplyProgress(it->second, json, loaded.lost_runs);
    }
  });
  // The rows of a part need the occurrences in the record before.
  decode('p', true, [&](const JobId& name, const Json& json) {
    const auto part = ParsePart(name.value());
    const auto it = part ? loaded.jobs.find(part->first) : loaded.jobs.end();
    if (it != loaded.jobs.end()) {
      ApplyProgressPart(it->second, part->second, json, loaded.lost_runs);
    }
  });
  for (auto& [id, job] : loaded.jobs) {
    for (auto& [number, occurrence] : job.occurrences) {
      occurrence.progress = job.CountProgress(occurrence);
    }
  }
  decode('d', false, [&](const JobId& id, const Json& json) {
    loaded.delegations.insert_or_assign(
        id, Delegation{ShardId(json.at(1).get<int>()),
                       json.at(2).get<std::int64_t>(),
                       json.at(3).get<std::int64_t>(), true,
                       // Absent in records of earlier releases.
                       json.size() > 4 ? json.at(4).get<int>() : 0});
  });
  decode('l', false, [&](const JobId& worker, const Json& json) {
    loaded.lease_waits[WorkerId(worker.value())] =
        Duration(json.at(1).get<std::int64_t>());
  });
  decode('f', false, [&](const JobId& id, const Json& json) {
    if (json.at(2).get<std::string>() == BAOBAB_VERSION) {
      loaded.job_failures[id] = json.at(1).get<int>();
    }
  });
  decode('n', false, [&](const JobId&, const Json& json) {
    loaded.settled_placements =
        PlacementNumber(json.at(1).get<std::uint64_t>());
  });
  decode('s', false, [&](const JobId& worker, const Json& json) {
    auto& starts = loaded.unanswered_starts[WorkerId(worker.value())];
    for (const auto& it : json.at(1)) {
      starts.push_back(
          {TaskId{JobId(it.at(0).get<std::string>()), it.at(1).get<int>(),
                  it.at(2).get<int>(), it.at(3).get<int>()},
           RunNumber(it.at(4).get<std::int64_t>()),
           Duration(it.at(5).get<std::int64_t>()),
           // Absent in records of earlier releases.
           it.size() > 6 && it.at(6).get<bool>()});
    }
  });
  return loaded;
}

}  // namespace baobab
