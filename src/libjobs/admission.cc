#include "libjobs/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace baobab {

namespace {

/** Bounds of Retry-After. Callers that retry at once only add load; the upper
 * bound is short since demand shifts within seconds. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(8000);

/** Share of a job's utility that does not depend on its size, and the maximum
 * utility of a large job. The job of mean size in its queue has utility 1. */
constexpr double kFixedUtilityShare = 0.3;
constexpr double kMaxUtility = 4.0;
/** Utility of a late job as a share of its utility in time. */
constexpr double kLateUtilityShare = 0.07;

/** Weight of a new job in the moving average of the work of its queue. */
constexpr double kMeanWorkWeight = 0.05;

/** A job that is more likely to be late than in time is not accepted as a job
 * in time, even if it takes capacity from no other job. Forecast errors during
 * a demand peak are correlated, so borderline jobs are all late together. */
constexpr double kMinInTimeProbability = 0.5;

/** Scale of the logistic distribution of end times around a forecast, as a
 * share of the time from the due time to the objective. Durations differ from
 * their estimates by about half; the objective grows with the true duration,
 * which compensates for part of that. */
constexpr double kEndTimeSpread = 0.2;

/** How long new work is assumed to arrive at the current rate when checking
 * whether a deferred job can be done; about half the length of a peak. */
constexpr Duration kArrivalHorizon = std::chrono::milliseconds(3000);

/** Returns the cores that the runs of a long-running job take. */
double LongRunningCores(const Job& job) {
  double cores = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const auto runs = std::count_if(
          occurrence.steps[i].begin(), occurrence.steps[i].end(),
          [](const auto& it) { return HoldsResources(it.phase); });
      cores += static_cast<double>(runs) *
               static_cast<double>(ResourcesOf(job.spec.steps[i]).cpu_milli) /
               1000.0;
    }
  }
  return cores;
}

/** Returns the work that is left of a job, in core-seconds. */
double RemainingWork(const ForecastJob& job, Time now) {
  double work = 0;
  for (const auto& it : job.steps) {
    Duration left = it.duration * it.waiting;
    for (const Time end : it.running_until) {
      left += std::max(Duration(0), end - now);
    }
    work += it.cores * std::chrono::duration<double>(left).count();
  }
  return work;
}

/** Returns the duration of the longest chain of dependent steps. */
Duration CriticalPath(const ForecastJob& job) {
  std::vector<Duration> ends;
  Duration longest{0};
  for (const auto& it : job.steps) {
    Duration begin{0};
    for (const int earlier : it.after) {
      begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
    }
    ends.push_back(begin + it.duration);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

/** Returns the expected utility of a job whose forecast end is `end`: its
 * utility weighted by the probabilities of being in time and of being late. */
double ExpectedUtility(const ForecastJob& job, Time due, Time end) {
  const double allowed =
      std::max(1.0, static_cast<double>((job.objective - due).count()));
  const double taken = static_cast<double>((end - due).count());
  const auto probability = [&](double limit) {
    return 1.0 / (1.0 + std::exp((taken - limit) / (allowed * kEndTimeSpread)));
  };
  const double in_time = probability(allowed);
  const double late = probability(allowed * kMaxLateFactor) - in_time;
  return job.utility * (in_time + kLateUtilityShare * std::max(0.0, late));
}

/** Returns whether all jobs are forecast to meet their objectives. */
bool AllInTime(const std::vector<const ForecastJob*>& jobs,
               const std::vector<Time>& ends) {
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (ends[i] > jobs[i]->objective) {
      return false;
    }
  }
  return true;
}

/** Returns the change in total expected utility if the last of `jobs` is
 * accepted: the forecast ends of the others change from `without` to `with`. */
double UtilityGain(const std::vector<const ForecastJob*>& jobs,
                   const std::vector<Time>& due,
                   const std::vector<Time>& with,
                   const std::vector<Time>& without) {
  double gain = ExpectedUtility(*jobs.back(), due.back(), with.back());
  for (std::size_t i = 0; i < without.size(); ++i) {
    gain += ExpectedUtility(*jobs[i], due[i], with[i]) -
            ExpectedUtility(*jobs[i], due[i], without[i]);
  }
  return gain;
}

}  // namespace

void Admission::Observe(const Job& job) {
  const double work = WorkEstimate(job.spec);
  auto& mean = mean_work_.try_emplace(job.queue, work).first->second;
  mean += kMeanWorkWeight * (work - mean);
}

double Admission::UtilityOf(const Job& job) const {
  const auto mean = mean_work_.find(job.queue);
  const double work = WorkEstimate(job.spec);
  if (mean == mean_work_.end() || mean->second <= 0) {
    return 1;
  }
  return std::min(kMaxUtility, kFixedUtilityShare + (1 - kFixedUtilityShare) *
                                                        work / mean->second);
}

ForecastJob Admission::ToForecastJob(const Job& job,
                                     const Occurrence& occurrence,
                                     Duration overhead,
                                     Time now) const {
  ForecastJob forecast_input;
  forecast_input.priority = job.priority;
  forecast_input.utility = UtilityOf(job);
  // The objective counts from the actual durations of the longest chain, so the
  // estimated chain gets the queue's correction too.
  const auto chain =
      durations_.ExpectedDuration(job.queue, CriticalPathEstimate(job.spec));
  const auto objective = static_cast<double>(chain.count()) * job.stretch +
                         static_cast<double>(job.target.count());
  forecast_input.objective =
      occurrence.due + Duration(static_cast<Duration::rep>(
                           objective * tuning_.admission_margin));
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    const auto& spec = job.spec.steps[i];
    ForecastStep step;
    step.cores =
        spec.background ? 0 : static_cast<double>(spec.need.cpu_milli) / 1000.0;
    step.duration =
        durations_.ExpectedDuration(job.queue, spec.estimate) + overhead;
    step.after = spec.after;
    for (const auto& it : occurrence.steps[i]) {
      if (it.phase == TaskPhase::kWaiting) {
        ++step.waiting;
      } else if (it.phase != TaskPhase::kDone) {
        step.running_until.push_back(std::max(
            now, std::max(it.started_at, occurrence.due) + step.duration));
      }
    }
    forecast_input.steps.push_back(std::move(step));
    forecast_input.latest_start.push_back(
        job.LatestStart(occurrence, static_cast<int>(i)));
  }
  return forecast_input;
}

bool Admission::FitsAsDeferred(const ForecastJob& job,
                               Time due,
                               const std::vector<const ForecastJob*>& open,
                               double cores,
                               double new_work_rate,
                               Time now) const {
  const Duration allowed = (job.objective - due) * kMaxLateFactor;
  const Duration left = due + allowed - now - CriticalPath(job);
  if (left <= Duration(0)) {
    return false;
  }
  double work = RemainingWork(job, now);
  for (const auto* it : open) {
    work += RemainingWork(*it, now);
  }
  const auto seconds = [](Duration it) {
    return std::chrono::duration<double>(it).count();
  };
  return work + new_work_rate * seconds(std::min(left, kArrivalHorizon)) <=
         cores * seconds(left);
}

AdmissionVerdict Admission::Evaluate(const Job& job,
                                     const PoolLoad& load,
                                     const Workers& workers,
                                     Time now) const {
  AdmissionVerdict verdict;
  if (job.IsLongRunning() || job.IsPeriodic()) {
    return verdict;
  }
  double free = 0;
  double cores = 0;
  for (const auto& it : load.arriving) {
    cores += it.cores;
  }
  for (const auto& [id, worker] : workers) {
    if (worker.entry.service == job.service && worker.IsUsable(now)) {
      free += static_cast<double>(worker.Free().cpu_milli) / 1000.0;
      cores += static_cast<double>(worker.entry.capacity.cpu_milli) / 1000.0;
    }
  }
  if (cores <= 0) {
    verdict.accept = false;
    verdict.retry_after = kMinRetryAfter;
    return verdict;
  }
  std::vector<ForecastJob> forecast_input;
  std::vector<Time> due;
  for (const Job* it : load.open) {
    if (it->IsLongRunning()) {
      cores -= LongRunningCores(*it);
      continue;
    }
    for (const auto& [number, occurrence] : it->occurrences) {
      forecast_input.push_back(
          ToForecastJob(*it, occurrence, load.overhead, now));
      due.push_back(occurrence.due);
    }
  }
  Job candidate = job;
  candidate.CreateOccurrence(job.submitted_at);
  forecast_input.push_back(ToForecastJob(
      candidate, candidate.occurrences.begin()->second, load.overhead, now));
  due.push_back(job.submitted_at);

  std::vector<const ForecastJob*> jobs;
  for (const auto& it : forecast_input) {
    jobs.push_back(&it);
  }
  const Forecast forecast(now, free, load.arriving);
  const auto with = forecast.Simulate(jobs);
  verdict.expected = with.back() - now;
  const double own =
      ExpectedUtility(forecast_input.back(), due.back(), with.back());
  if (own >= forecast_input.back().utility * kMinInTimeProbability &&
      (AllInTime(jobs, with) ||
       UtilityGain(jobs, due, with,
                   forecast.Simulate({jobs.begin(), jobs.end() - 1})) > 0)) {
    return verdict;
  }
  jobs.pop_back();
  if (FitsAsDeferred(forecast_input.back(), due.back(), jobs, cores,
                     load.new_work_rate, now)) {
    verdict.deferred = true;
    return verdict;
  }
  verdict.accept = false;
  const Duration late = with.back() - forecast_input.back().objective;
  verdict.retry_after = std::clamp(late, kMinRetryAfter, kMaxRetryAfter);
  return verdict;
}

}  // namespace baobab
