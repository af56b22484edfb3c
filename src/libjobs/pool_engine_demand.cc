#include <algorithm>
#include <chrono>
#include <utility>

#include "libjobs/pool_engine.h"

namespace baobab {

namespace {

/** Time from the end of a run until the start of the next one, without the
 * commit: the replies to two calls, and the batching of commits. */
constexpr Duration kRunOverhead = std::chrono::milliseconds(20);

/** How long the computed free capacity for late work is reused. */
constexpr Duration kLateCapacityTtl = std::chrono::milliseconds(50);

}  // namespace

PoolUsage PoolEngine::Usage(Time now) const {
  PoolUsage usage;
  std::map<ServiceId, ServiceUsage> services;
  const auto usage_of = [&](const ServiceId& id) -> ServiceUsage& {
    auto& service = services[id];
    service.service = id;
    return service;
  };
  for (const auto& [id, worker] : workers_) {
    if (!worker.listed || worker.contested) {
      continue;
    }
    auto& service = usage_of(worker.entry.service);
    HostUsage host{worker.entry.host, id, worker.entry.service};
    host.reserved = worker.reserved;
    host.draining = worker.entry.draining;
    host.empty = worker.fence_confirmed && worker.runs.empty() &&
                 worker.missed_polls == 0 && !worker.polling &&
                 worker.acknowledged_ends >= worker.stored_ends &&
                 worker.stored_ends >= worker.applied_ends;
    for (const auto& [task, room] : worker.runs) {
      AddRun(task, room, now, service, host);
    }
    host.awaited = HoldsTasksBack(worker);
    if (worker.IsUsable(now)) {
      ++service.workers;
      service.cores +=
          static_cast<double>(worker.entry.capacity.cpu_milli) / 1000.0;
    }
    usage.hosts.push_back(std::move(host));
  }
  for (const auto& [id, steps] : ready_.by_service()) {
    for (const auto& it : steps) {
      const Job& job = jobs_.at(it.job);
      const auto& tasks = job.occurrences.at(it.occurrence)
                              .steps[static_cast<std::size_t>(it.step)];
      auto& service = usage_of(id);
      (LatenessOf(it, now) > 0 ? service.waiting_late : service.waiting) +=
          static_cast<double>(ResourcesOf(job.Step(it.step)).cpu_milli) /
          1000.0 *
          static_cast<double>(
              std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
                return task.phase == TaskPhase::kWaiting;
              }));
    }
  }
  for (const auto& it : demand_.Services()) {
    // Includes pools that have no workers left.
    usage_of(it);
  }
  for (const auto& [id, missing] : CountMissingHosts()) {
    usage_of(id).missing_hosts = missing.hosts;
    usage_of(id).missing_hosts_late = missing.late;
  }
  for (auto& [id, service] : services) {
    service.refused = demand_.RefusedCores(id, now);
    service.arriving = demand_.Arriving(id, now);
    usage.services.push_back(std::move(service));
  }
  return usage;
}

void PoolEngine::AddRun(const TaskId& id,
                        const Resources& room,
                        Time now,
                        ServiceUsage& service,
                        HostUsage& host) const {
  const double cores = static_cast<double>(room.cpu_milli) / 1000.0;
  host.used += cores;
  const auto found = jobs_.find(id.job);
  if (found == jobs_.end()) {
    service.used += cores;
    return;
  }
  const Job& job = found->second;
  if (job.Step(id.step).long_running) {
    host.long_running = true;
    service.long_running += cores;
    return;
  }
  const Task* task = job.Find(id);
  if (task && job.end == JobEnd::kOpen) {
    const auto expected =
        durations_.ExpectedDuration(job.queue, job.Step(id.step).estimate);
    const auto begun =
        task->phase == TaskPhase::kPlaced ? now : task->started_at;
    host.busy_for = std::max(host.busy_for, begun + expected - now);
  }
  const auto occurrence = job.occurrences.find(id.occurrence);
  const bool late = occurrence != job.occurrences.end() &&
                    LatenessOf(job, occurrence->second, id.step, now) > 0;
  (late ? service.late : service.used) += cores;
}

AdmissionVerdict PoolEngine::Evaluate(const Job& job) const {
  PoolLoad load;
  for (const auto& [id, other] : jobs_) {
    if (other.end == JobEnd::kOpen && other.service == job.service) {
      load.open.push_back(&other);
    }
  }
  for (const auto& it : plan_.arriving) {
    if (it.service == job.service) {
      load.arriving.push_back({planned_at_ + it.arrives_in, it.cores});
    }
  }
  load.new_work_rate = demand_.NewWorkRate(job.service, now_);
  load.overhead = commit_time_ + kRunOverhead;
  return admission_.Evaluate(job, load, workers_, now_);
}

double PoolEngine::CoresForLateWork(const ServiceId& service) {
  auto& known = late_work_cores_[service];
  if (now_ - known.at < kLateCapacityTtl) {
    return known.cores;
  }
  double room = 0;
  double in_time = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry.service != service || !worker.IsUsable(now_)) {
      continue;
    }
    room += static_cast<double>(worker.entry.capacity.cpu_milli) / 1000.0;
    ServiceUsage runs;
    HostUsage host;
    for (const auto& [task, taken] : worker.runs) {
      AddRun(task, taken, now_, runs, host);
    }
    room -= runs.long_running + runs.late;
    in_time += runs.used;
  }
  for (const auto& [id, job] : jobs_) {
    if (job.end == JobEnd::kOpen && job.service == service) {
      in_time += UpcomingCores(job);
    }
  }
  known = {now_, room - in_time};
  return known.cores;
}

double PoolEngine::UpcomingCores(const Job& job) const {
  if (job.IsLongRunning()) {
    return 0;
  }
  double cores = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    double running = 0;
    double widest = 0;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const int step = static_cast<int>(i);
      if (LatenessOf(job, occurrence, step, now_) > 0) {
        continue;
      }
      const double each =
          static_cast<double>(ResourcesOf(job.Step(step)).cpu_milli) / 1000.0;
      double waiting = 0;
      for (const auto& it : occurrence.steps[i]) {
        (it.phase == TaskPhase::kWaiting ? waiting : running) +=
            it.phase == TaskPhase::kDone ? 0 : each;
      }
      widest = std::max(widest, waiting);
    }
    cores += std::max(0.0, widest - running);
  }
  return cores;
}

}  // namespace baobab
