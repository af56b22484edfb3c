#include "libjobs/demand_tracker.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace baobab {

namespace {

/** Age up to which a refusal counts as current demand; callers retry within
 * this time. */
constexpr Duration kRefusalWindow = std::chrono::milliseconds(1500);

/** A caller that has not retried within this time has given up. */
constexpr Duration kRefusalRetention = std::chrono::seconds(20);

/** Period over which arriving work is averaged: half the time in which a demand
 * peak rises, and several arrivals even in the queues with the largest jobs. */
constexpr Duration kArrivalWindow = std::chrono::milliseconds(1000);

/** How far ahead rising demand is extrapolated: the time until a host that is
 * moved now accepts work, plus half an averaging window. */
constexpr Duration kExtrapolationTime = std::chrono::milliseconds(2700);

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
         now - arrivals_.front().at >= 2 * kArrivalWindow) {
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
  double work = 0;
  for (const auto& it : arrivals_) {
    if (it.service == service && now - it.at < kArrivalWindow) {
      work += it.core_seconds;
    }
  }
  return work / std::chrono::duration<double>(kArrivalWindow).count();
}

double DemandTracker::ArrivingCores(const ServiceId& service, Time now) const {
  // Work in core-seconds and number of jobs in the newest window (0) and in the
  // one before (1).
  double work[2] = {0, 0};
  int jobs[2] = {0, 0};
  for (const auto& it : arrivals_) {
    const auto age = now - it.at;
    if (it.service == service && age < 2 * kArrivalWindow) {
      const int window = age < kArrivalWindow ? 0 : 1;
      work[window] += it.core_seconds;
      ++jobs[window];
    }
  }
  if (jobs[0] == 0) {
    return 0;
  }
  const double mean = (work[0] + work[1]) / (jobs[0] + jobs[1]);
  // Lower bounds at one standard deviation of a Poisson count, so that a single
  // large job is not taken for a trend.
  const double min_jobs = jobs[0] - std::sqrt(static_cast<double>(jobs[0]));
  const double rise =
      std::max(0.0, jobs[0] - jobs[1] -
                        std::sqrt(static_cast<double>(jobs[0] + jobs[1])));
  const double windows_ahead =
      std::chrono::duration<double>(kExtrapolationTime) /
      std::chrono::duration<double>(kArrivalWindow);
  return mean * (min_jobs + rise * windows_ahead) /
         std::chrono::duration<double>(kArrivalWindow).count();
}

}  // namespace baobab
