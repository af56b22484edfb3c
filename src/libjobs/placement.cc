#include "libjobs/placement.h"

#include <tuple>

namespace baobab {

namespace {

int RunsOfStep(const Worker& worker,
               const JobId& job,
               int occurrence,
               int step) {
  int n = 0;
  for (auto it = worker.runs.lower_bound(TaskId{job, occurrence, step, 0});
       it != worker.runs.end() && it->first.job == job &&
       it->first.occurrence == occurrence && it->first.step == step;
       ++it) {
    ++n;
  }
  return n;
}

}  // namespace

Resources RoomOf(const StepSpec& step) {
  Resources room = step.need;
  if (step.fills) {
    room.cpu_milli = 0;
  }
  return room;
}

bool Placement::Allows(const Worker& worker,
                       const Job& job,
                       int occurrence,
                       int step) const {
  const auto& spec = job.Step(step);
  if (!worker.IsUsable(now_) || !RoomOf(spec).FitsIn(worker.Free())) {
    return false;
  }
  if (!spec.label.empty() && !worker.HasLabel(spec.label)) {
    return false;
  }
  return spec.most_per_worker == 0 ||
         RunsOfStep(worker, job.id, occurrence, step) < spec.most_per_worker;
}

std::vector<WorkerId> Placement::Candidates(const ServiceId& service,
                                            const Job& job,
                                            int occurrence,
                                            int step) const {
  std::vector<WorkerId> ids;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry.service == service &&
        Allows(worker, job, occurrence, step)) {
      ids.push_back(id);
    }
  }
  return ids;
}

const Worker* Placement::Choose(const ServiceId& service,
                                const Job& job,
                                int occurrence,
                                int step,
                                const Task& task,
                                const std::string& rack,
                                const Filter& filter) const {
  const auto& spec = job.Step(step);
  const Worker* best = nullptr;
  std::tuple<bool, bool, bool, std::int64_t> best_cost;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry.service != service ||
        !Allows(worker, job, occurrence, step) || (filter && !filter(id))) {
      continue;
    }
    const auto free = worker.Free().cpu_milli;
    const std::tuple cost(
        !spec.data_rack.empty() && worker.Rack() != spec.data_rack,
        !rack.empty() && worker.Rack() != rack, id == task.failed_on, free);
    if (!best || cost < best_cost) {
      best = &worker;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace baobab
