#include "libjobs/admission.h"

#include <algorithm>

namespace baobab {

namespace {

/** Bounds of Retry-After: callers that return at once only add load, and
 * demand turns within seconds. */
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kMostRetryAfter = std::chrono::milliseconds(8000);

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace

double Admission::RemainingWork(const Job& job) const {
  double work = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const auto& step = job.spec.steps[i];
      if (step.lasting || step.fills) {
        continue;
      }
      const auto open = std::count_if(
          occurrence.steps[i].begin(), occurrence.steps[i].end(),
          [](const auto& it) { return it.phase != TaskPhase::kDone; });
      work += static_cast<double>(open) *
              static_cast<double>(step.need.cpu_milli) / 1000.0 *
              Milliseconds(durations_.Expect(job.queue, step.estimate));
    }
  }
  return work;
}

AdmissionVerdict Admission::Judge(const Job& job,
                                  const Workers& workers,
                                  double work_ahead,
                                  Time now) const {
  AdmissionVerdict verdict;
  if (job.IsLasting() || job.IsTimed()) {
    return verdict;
  }
  double cores = 0;
  for (const auto& [id, worker] : workers) {
    if (worker.entry.service != job.service || !worker.IsUsable(now)) {
      continue;
    }
    cores += static_cast<double>(worker.entry.capacity.cpu_milli) / 1000.0;
  }
  const auto chain = durations_.Expect(job.queue, ChainEstimate(job.spec));
  const double slack = Milliseconds(job.Objective()) - Milliseconds(chain);
  if (cores <= 0) {
    verdict.accept = false;
    verdict.retry_after = kLeastRetryAfter;
    return verdict;
  }
  const double wait = work_ahead / cores;
  verdict.wait = Duration(static_cast<Duration::rep>(wait * 1000));
  const double allowed = std::max(0.0, slack) * tuning_.admission_slack;
  if (wait > allowed) {
    verdict.accept = false;
    verdict.retry_after = std::clamp(
        Duration(static_cast<Duration::rep>((wait - allowed) * 1000)),
        kLeastRetryAfter, kMostRetryAfter);
  }
  return verdict;
}

}  // namespace baobab
