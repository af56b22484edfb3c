#include "libjobs/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace baobab {

namespace {

/** Bounds of Retry-After: callers that return at once only add load, and
 * demand turns within seconds. */
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kMostRetryAfter = std::chrono::milliseconds(8000);

/** Share of a job's worth that does not depend on its size, and the most that
 * a large one is worth, as multiples of the mean of its queue. */
constexpr double kFixedWorth = 0.3;
constexpr double kMostWorth = 4.0;
/** Worth of a late job as a share of one in time. */
constexpr double kLateWorth = 0.07;

/** Weight of a new job in the mean work of its queue. */
constexpr double kMeanWeight = 0.05;

/** A job that is more likely to be late than in time is refused, even if it
 * takes room from nobody that is known: the ends of a turn err alike, so that
 * jobs at the edge are all late together. */
constexpr double kLeastChance = 0.5;

/** Spread of the ends around a forecast, as a share of the time from the due
 * time to the objective. Durations differ from their estimates by about half,
 * and the objective grows with the true duration, which takes part of it back.
 */
constexpr double kSpread = 0.2;

/** What a job is expected to earn if the forecast of its end is `end`. */
double ExpectedWorth(const ForecastJob& job, Time due, Time end) {
  const double allowed =
      std::max(1.0, static_cast<double>((job.objective - due).count()));
  const double taken = static_cast<double>((end - due).count());
  const auto chance = [&](double limit) {
    return 1.0 / (1.0 + std::exp((taken - limit) / (allowed * kSpread)));
  };
  const double in_time = chance(allowed);
  const double late = chance(allowed * kLateLimit) - in_time;
  return job.worth * (in_time + kLateWorth * std::max(0.0, late));
}

}  // namespace

void Admission::Observe(const Job& job) {
  const double work = WorkEstimate(job.spec);
  auto& mean = mean_work_.try_emplace(job.queue, work).first->second;
  mean += kMeanWeight * (work - mean);
}

double Admission::WorthOf(const Job& job) const {
  const auto mean = mean_work_.find(job.queue);
  const double work = WorkEstimate(job.spec);
  if (mean == mean_work_.end() || mean->second <= 0) {
    return 1;
  }
  return std::min(kMostWorth,
                  kFixedWorth + (1 - kFixedWorth) * work / mean->second);
}

ForecastJob Admission::Describe(const Job& job,
                                const Occurrence& occurrence,
                                Duration overhead,
                                Time now) const {
  ForecastJob described;
  described.priority = job.priority;
  described.worth = WorthOf(job);
  // The objective counts the true chain, which the estimates misjudge alike.
  const auto chain = durations_.Expect(job.queue, ChainEstimate(job.spec));
  const auto objective = static_cast<double>(chain.count()) * job.stretch +
                         static_cast<double>(job.target.count());
  described.objective =
      occurrence.due + Duration(static_cast<Duration::rep>(
                           objective * tuning_.admission_margin));
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    const auto& spec = job.spec.steps[i];
    ForecastStep step;
    step.cores =
        spec.fills ? 0 : static_cast<double>(spec.need.cpu_milli) / 1000.0;
    step.duration = durations_.Expect(job.queue, spec.estimate) + overhead;
    step.after = spec.after;
    for (const auto& it : occurrence.steps[i]) {
      if (it.phase == TaskPhase::kWaiting) {
        ++step.waiting;
      } else if (it.phase != TaskPhase::kDone) {
        step.running_until.push_back(std::max(
            now, std::max(it.started_at, occurrence.due) + step.duration));
      }
    }
    described.steps.push_back(std::move(step));
    described.latest_start.push_back(
        job.LatestStart(occurrence, static_cast<int>(i)));
  }
  return described;
}

AdmissionVerdict Admission::Judge(const Job& job,
                                  const std::vector<const Job*>& open,
                                  const Workers& workers,
                                  const std::vector<CoresArriving>& arriving,
                                  Duration overhead,
                                  Time now) const {
  AdmissionVerdict verdict;
  if (job.IsLasting() || job.IsTimed()) {
    return verdict;
  }
  double free = 0;
  bool any = !arriving.empty();
  for (const auto& [id, worker] : workers) {
    if (worker.entry.service == job.service && worker.IsUsable(now)) {
      free += static_cast<double>(worker.Free().cpu_milli) / 1000.0;
      any = true;
    }
  }
  if (!any) {
    verdict.accept = false;
    verdict.retry_after = kLeastRetryAfter;
    return verdict;
  }
  std::vector<ForecastJob> described;
  std::vector<Time> accepted;
  for (const Job* it : open) {
    if (it->IsLasting()) {
      continue;
    }
    for (const auto& [number, occurrence] : it->occurrences) {
      described.push_back(Describe(*it, occurrence, overhead, now));
      accepted.push_back(occurrence.due);
    }
  }
  Job candidate = job;
  candidate.CreateOccurrence(job.accepted_at);
  described.push_back(Describe(candidate, candidate.occurrences.begin()->second,
                               overhead, now));
  accepted.push_back(job.accepted_at);

  std::vector<const ForecastJob*> jobs;
  for (const auto& it : described) {
    jobs.push_back(&it);
  }
  const Forecast forecast(now, free, arriving);
  const auto with = forecast.Play(jobs);
  verdict.expected = with.back() - now;
  jobs.pop_back();
  const auto without = forecast.Play(jobs);
  const double own =
      ExpectedWorth(described.back(), accepted.back(), with.back());
  double gain = own;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    gain += ExpectedWorth(*jobs[i], accepted[i], with[i]) -
            ExpectedWorth(*jobs[i], accepted[i], without[i]);
  }
  // Where tasks are packed differently, a further job may seem to help others.
  if (gain > 0 && own >= described.back().worth * kLeastChance) {
    return verdict;
  }
  verdict.accept = false;
  const Duration late = with.back() - described.back().objective;
  verdict.retry_after = std::clamp(late, kLeastRetryAfter, kMostRetryAfter);
  return verdict;
}

}  // namespace baobab
