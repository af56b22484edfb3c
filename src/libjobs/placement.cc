#include "libjobs/placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace baobab {

namespace {

/** Number of usable workers for each one that is left to a suspected task. */
constexpr std::ptrdiff_t kMinUsablePerTrial = 2;

/** Returns by how much the need exceeds the free capacity, as the sum of the
 * shares of the capacity. */
double ShortageOf(const Resources& need,
                  const Resources& free,
                  const Resources& capacity) {
  const auto share = [](std::int64_t lacking, std::int64_t all) {
    return lacking <= 0
               ? 0.0
               : static_cast<double>(lacking) /
                     static_cast<double>(std::max<std::int64_t>(1, all));
  };
  return share(need.cpu_milli - free.cpu_milli, capacity.cpu_milli) +
         share(need.mem_mb - free.mem_mb, capacity.mem_mb) +
         share(need.gpus - free.gpus, capacity.gpus);
}

}  // namespace

int RunsOfStep(const Worker& worker, const StepId& step) {
  int n = 0;
  for (auto it = worker.runs.lower_bound(
           TaskId{step.job, step.occurrence, step.step, 0});
       it != worker.runs.end() && it->first.job == step.job &&
       it->first.occurrence == step.occurrence && it->first.step == step.step;
       ++it) {
    ++n;
  }
  return n;
}

Resources ResourcesOf(const StepSpec& step) {
  Resources resources = step.need;
  if (step.background) {
    resources.cpu_milli = 0;
  }
  return resources;
}

Placement::Placement(const Workers& workers, const ServiceId& service, Time now)
    : now_(now), max_free_cpu_(std::numeric_limits<std::int64_t>::max()) {
  for (const auto& [id, worker] : workers) {
    if (worker.IsUsable(now) && worker.entry.service == service) {
      workers_.push_back(&worker);
    }
  }
}

bool Placement::MayBeginTrial() const {
  const auto trials =
      std::count_if(workers_.begin(), workers_.end(),
                    [](const auto* it) { return it->IsOnTrial(); });
  return trials == 0 || (trials + 1) * kMinUsablePerTrial <=
                            static_cast<std::ptrdiff_t>(workers_.size());
}

Resources Placement::FreeOf(const Worker& worker) const {
  Resources free = worker.Free();
  const auto held = held_.find(worker.entry.id);
  if (held != held_.end()) {
    free -= held->second.room;
  }
  return free;
}

bool Placement::Hold(const Job& job,
                     int occurrence,
                     int step,
                     const EndsByItself& ends_by_itself) {
  const auto& spec = job.Step(step);
  const auto need = ResourcesOf(spec);
  const StepId id{job.id, occurrence, step};
  const Worker* best = nullptr;
  double best_shortage = 0;
  for (const auto* it : workers_) {
    const auto held = held_.find(it->entry.id);
    int tasks = RunsOfStep(*it, id);
    if (held != held_.end() && held->second.tasks.contains(id)) {
      tasks += held->second.tasks.at(id);
    }
    if (it->IsOnTrial() || (!spec.label.empty() && !it->HasLabel(spec.label)) ||
        (spec.max_per_worker > 0 && tasks >= spec.max_per_worker)) {
      continue;
    }
    const Resources free = FreeOf(*it);
    Resources without_finite = free;
    for (const auto& [task, room] : it->runs) {
      if (ends_by_itself(task)) {
        without_finite += room;
      }
    }
    if (!need.FitsIn(without_finite)) {
      continue;
    }
    const double shortage = ShortageOf(need, free, it->entry.capacity);
    if (!best || shortage < best_shortage) {
      best = it;
      best_shortage = shortage;
    }
  }
  if (!best) {
    return false;
  }
  auto& held = held_[best->entry.id];
  held.room += need;
  ++held.tasks[id];
  return true;
}

bool Placement::Allows(const Worker& worker,
                       const Job& job,
                       int occurrence,
                       int step) const {
  const auto& spec = job.Step(step);
  if (!ResourcesOf(spec).FitsIn(FreeOf(worker)) || worker.IsOnTrial()) {
    return false;
  }
  if (!spec.label.empty() && !worker.HasLabel(spec.label)) {
    return false;
  }
  return spec.max_per_worker == 0 ||
         RunsOfStep(worker, {job.id, occurrence, step}) < spec.max_per_worker;
}

Placement::Room Placement::RoomFor(const Job& job,
                                   int occurrence,
                                   int step) const {
  const auto& spec = job.Step(step);
  const auto need = ResourcesOf(spec);
  Room room;
  for (const auto* it : workers_) {
    const auto free = it->Free();
    ++room.usable;
    room.cpu += need.cpu_milli <= free.cpu_milli ? 1 : 0;
    room.memory += need.mem_mb <= free.mem_mb ? 1 : 0;
    room.label += spec.label.empty() || it->HasLabel(spec.label) ? 1 : 0;
    room.below_limit += spec.max_per_worker == 0 ||
                                RunsOfStep(*it, {job.id, occurrence, step}) <
                                    spec.max_per_worker
                            ? 1
                            : 0;
    room.all += Allows(*it, job, occurrence, step) ? 1 : 0;
  }
  return room;
}

std::vector<WorkerId> Placement::Candidates(const Job& job,
                                            int occurrence,
                                            int step) const {
  std::vector<WorkerId> ids;
  for (const auto* it : workers_) {
    if (Allows(*it, job, occurrence, step)) {
      ids.push_back(it->entry.id);
    }
  }
  return ids;
}

const Worker* Placement::Choose(const Job& job,
                                int occurrence,
                                int step,
                                const Task& task,
                                const std::string& rack,
                                const Filter& filter) const {
  const auto& spec = job.Step(step);
  if (ResourcesOf(spec).cpu_milli > max_free_cpu_) {
    return nullptr;
  }
  const bool suspect = task.Suspicion() > 0;
  const bool trial = task.NeedsTrial(now_);
  if (trial && !MayBeginTrial()) {
    return nullptr;
  }
  const Worker* best = nullptr;
  std::tuple<bool, bool, std::size_t, bool, std::int64_t> best_cost;
  std::int64_t max_free = 0;
  for (const auto* it : workers_) {
    const auto free = it->Free().cpu_milli;
    max_free = std::max(max_free, free);
    if (!Allows(*it, job, occurrence, step) ||
        (trial && !it->suspects.empty()) || (filter && !filter(it->entry.id))) {
      continue;
    }
    const std::tuple cost(
        !spec.data_rack.empty() && it->Rack() != spec.data_rack,
        !rack.empty() && it->Rack() != rack, suspect ? it->suspects.size() : 0,
        it->entry.id == task.failed_on,
        suspect ? static_cast<std::int64_t>(it->runs.size()) : free);
    if (!best || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  max_free_cpu_ = max_free;
  return best;
}

}  // namespace baobab
