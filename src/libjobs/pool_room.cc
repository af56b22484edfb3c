#include "libjobs/pool_room.h"

#include <algorithm>

namespace baobab {

int TasksThatFit(const StepSpec& step, const Resources& room, int max_tasks) {
  const auto need = ResourcesOf(step);
  if (!need.FitsIn(room)) {
    return 0;
  }
  std::int64_t n = max_tasks;
  if (step.max_per_worker > 0) {
    n = std::min<std::int64_t>(n, step.max_per_worker);
  }
  for (const auto& [each, all] :
       {std::pair(need.cpu_milli, room.cpu_milli),
        std::pair(need.mem_mb, room.mem_mb), std::pair(need.gpus, room.gpus)}) {
    if (each > 0) {
      n = std::min(n, all / each);
    }
  }
  return static_cast<int>(n);
}

int CountTasksOnEmpty(const std::vector<const WorkerEntry*>& workers,
                      const StepSpec& step,
                      int max_tasks) {
  int n = 0;
  for (const auto* it : workers) {
    if (n >= max_tasks) {
      break;
    }
    if (step.label.empty() || it->HasLabel(step.label)) {
      n += TasksThatFit(step, it->capacity, max_tasks - n);
    }
  }
  return n;
}

PoolRoom::PoolRoom(const Workers& workers,
                   const ServiceId& service,
                   EndsByItself ends_by_itself)
    : ends_by_itself_(std::move(ends_by_itself)) {
  for (const auto& [id, worker] : workers) {
    if (worker.entry.service == service && worker.IsUsableSoon()) {
      workers_.emplace_back(&worker, std::nullopt);
    }
  }
}

int PoolRoom::CountTasks(const StepSpec& step,
                         const StepId& id,
                         int max_tasks) {
  int n = 0;
  for (auto& [worker, room] : workers_) {
    if (n >= max_tasks) {
      break;
    }
    if (!step.label.empty() && !worker->HasLabel(step.label)) {
      continue;
    }
    if (!room) {
      room = RoomOf(*worker);
    }
    int limit = max_tasks - n;
    if (step.long_running && step.max_per_worker > 0) {
      limit = std::min(limit, step.max_per_worker - RunsOfStep(*worker, id));
    }
    n += std::max(0, TasksThatFit(step, *room, limit));
  }
  return n;
}

bool PoolRoom::Holds(const StepSpec& step, const StepId& id) {
  const int tasks = step.gang ? step.count : 1;
  return CountTasks(step, id, tasks) >= tasks;
}

Resources PoolRoom::RoomOf(const Worker& worker) const {
  Resources room = worker.entry.capacity;
  for (const auto& [id, resources] : worker.runs) {
    if (!ends_by_itself_(id)) {
      room -= resources;
    }
  }
  return room;
}

}  // namespace baobab
