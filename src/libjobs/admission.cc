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

/** For how long arriving work is expected to go on as at present, when it is
 * judged whether late work can be done after it; about half a turn. */
constexpr Duration kTurnAhead = std::chrono::milliseconds(3000);

/** Cores that the runs of a lasting job take. */
double LastingCores(const Job& job) {
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

/** Work that is left of a job, in core-seconds. */
double WorkOf(const ForecastJob& job, Time now) {
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

/** Longest chain of the expected durations. */
Duration ChainOf(const ForecastJob& job) {
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

/** What a job is expected to earn if the forecast of its end is `end`. */
double ExpectedWorth(const ForecastJob& job, Time due, Time end) {
  const double allowed =
      std::max(1.0, static_cast<double>((job.objective - due).count()));
  const double taken = static_cast<double>((end - due).count());
  const auto chance = [&](double limit) {
    return 1.0 / (1.0 + std::exp((taken - limit) / (allowed * kSpread)));
  };
  const double in_time = chance(allowed);
  const double late = chance(allowed * kMaxLateFactor) - in_time;
  return job.worth * (in_time + kLateWorth * std::max(0.0, late));
}

/** True if all jobs are expected to keep their objective. */
bool AllInTime(const std::vector<const ForecastJob*>& jobs,
               const std::vector<Time>& ends) {
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    if (ends[i] > jobs[i]->objective) {
      return false;
    }
  }
  return true;
}

/** What a pool gains by its last job, which changes the ends of the others from
 * `without` to `with`. */
double Gain(const std::vector<const ForecastJob*>& jobs,
            const std::vector<Time>& due,
            const std::vector<Time>& with,
            const std::vector<Time>& without) {
  double gain = ExpectedWorth(*jobs.back(), due.back(), with.back());
  for (std::size_t i = 0; i < without.size(); ++i) {
    gain += ExpectedWorth(*jobs[i], due[i], with[i]) -
            ExpectedWorth(*jobs[i], due[i], without[i]);
  }
  return gain;
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
  const auto chain =
      durations_.Expect(job.queue, CriticalPathEstimate(job.spec));
  const auto objective = static_cast<double>(chain.count()) * job.stretch +
                         static_cast<double>(job.target.count());
  described.objective =
      occurrence.due + Duration(static_cast<Duration::rep>(
                           objective * tuning_.admission_margin));
  for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
    const auto& spec = job.spec.steps[i];
    ForecastStep step;
    step.cores =
        spec.background ? 0 : static_cast<double>(spec.need.cpu_milli) / 1000.0;
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

bool Admission::FitsLate(const ForecastJob& job,
                         Time due,
                         const std::vector<const ForecastJob*>& open,
                         double cores,
                         double new_work,
                         Time now) const {
  const Duration allowed = (job.objective - due) * kMaxLateFactor;
  const Duration left = due + allowed - now - ChainOf(job);
  if (left <= Duration(0)) {
    return false;
  }
  double work = WorkOf(job, now);
  for (const auto* it : open) {
    work += WorkOf(*it, now);
  }
  const auto seconds = [](Duration it) {
    return std::chrono::duration<double>(it).count();
  };
  return work + new_work * seconds(std::min(left, kTurnAhead)) <=
         cores * seconds(left);
}

AdmissionVerdict Admission::Judge(const Job& job,
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
    verdict.retry_after = kLeastRetryAfter;
    return verdict;
  }
  std::vector<ForecastJob> described;
  std::vector<Time> due;
  for (const Job* it : load.open) {
    if (it->IsLongRunning()) {
      cores -= LastingCores(*it);
      continue;
    }
    for (const auto& [number, occurrence] : it->occurrences) {
      described.push_back(Describe(*it, occurrence, load.overhead, now));
      due.push_back(occurrence.due);
    }
  }
  Job candidate = job;
  candidate.CreateOccurrence(job.submitted_at);
  described.push_back(Describe(candidate, candidate.occurrences.begin()->second,
                               load.overhead, now));
  due.push_back(job.submitted_at);

  std::vector<const ForecastJob*> jobs;
  for (const auto& it : described) {
    jobs.push_back(&it);
  }
  const Forecast forecast(now, free, load.arriving);
  const auto with = forecast.Play(jobs);
  verdict.expected = with.back() - now;
  const double own = ExpectedWorth(described.back(), due.back(), with.back());
  if (own >= described.back().worth * kLeastChance &&
      (AllInTime(jobs, with) ||
       Gain(jobs, due, with, forecast.Play({jobs.begin(), jobs.end() - 1})) >
           0)) {
    return verdict;
  }
  jobs.pop_back();
  if (FitsLate(described.back(), due.back(), jobs, cores, load.new_work, now)) {
    verdict.deferred = true;
    return verdict;
  }
  verdict.accept = false;
  const Duration late = with.back() - described.back().objective;
  verdict.retry_after = std::clamp(late, kLeastRetryAfter, kMostRetryAfter);
  return verdict;
}

}  // namespace baobab
