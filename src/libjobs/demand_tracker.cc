#include "libjobs/demand_tracker.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** Age up to which a refusal counts as current demand; callers retry within
 * this time. */
constexpr Duration kRefusalWindow = std::chrono::milliseconds(1500);

/** A caller that has not retried within this time has given up. */
constexpr Duration kRefusalRetention = std::chrono::seconds(20);

/** Maximum number of refused jobs that are kept; bounds memory under a flood of
 * requests. */
constexpr std::size_t kMaxRefusals = 4000;

/** Returns the cores that all tasks of the widest step need together. */
double WidestCores(const Job& job) {
  double widest = 0;
  for (const auto& it : job.spec.steps) {
    widest = std::max(
        widest, static_cast<double>(it.need.cpu_milli) / 1000.0 * it.count);
  }
  return widest;
}

}  // namespace

void DemandTracker::RecordArrival(const Job& job, Time now) {
  // WorkEstimate() is in core-milliseconds.
  arrivals_.push_back({now, job.service, WorkEstimate(job.spec) / 1000.0});
}

void DemandTracker::RecordRefused(const Job& job, Time now) {
  const auto known = refusals_.find(job.id);
  if (known != refusals_.end()) {
    known->second.last_at = now;
    return;
  }
  RecordArrival(job, now);
  if (refusals_.size() < kMaxRefusals) {
    refusals_.emplace(job.id, Refusal{job.service, now, now, WidestCores(job)});
  }
}

void DemandTracker::RecordAccepted(const Job& job, Time now) {
  if (refusals_.erase(job.id) == 0) {
    RecordArrival(job, now);
  }
}

void DemandTracker::Forget(Time now) {
  while (!arrivals_.empty() &&
         now - arrivals_.front().at >= 2 * ArrivingWork::kPeriod) {
    arrivals_.pop_front();
  }
  std::erase_if(refusals_, [&](const auto& it) {
    return now - it.second.last_at >= kRefusalRetention;
  });
}

std::set<ServiceId> DemandTracker::Services() const {
  std::set<ServiceId> services;
  for (const auto& it : arrivals_) {
    services.insert(it.service);
  }
  for (const auto& [id, it] : refusals_) {
    services.insert(it.service);
  }
  return services;
}

Time DemandTracker::FirstSubmittedAt(const JobId& job, Time now) const {
  const auto it = refusals_.find(job);
  return it == refusals_.end() ? now : it->second.first_at;
}

double DemandTracker::RefusedCores(const ServiceId& service, Time now) const {
  double cores = 0;
  for (const auto& [id, it] : refusals_) {
    if (it.service == service && now - it.last_at < kRefusalWindow) {
      cores += it.cores;
    }
  }
  return cores;
}

double DemandTracker::NewWorkRate(const ServiceId& service, Time now) const {
  return Arriving(service, now).newest.core_seconds /
         std::chrono::duration<double>(ArrivingWork::kPeriod).count();
}

ArrivingWork DemandTracker::Arriving(const ServiceId& service, Time now) const {
  ArrivingWork arriving;
  for (const auto& it : arrivals_) {
    const auto age = now - it.at;
    if (it.service == service && age < 2 * ArrivingWork::kPeriod) {
      auto& period =
          age < ArrivingWork::kPeriod ? arriving.newest : arriving.previous;
      ++period.jobs;
      period.core_seconds += it.core_seconds;
    }
  }
  return arriving;
}

}  // namespace baobab
