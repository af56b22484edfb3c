#ifndef SRC_LIBJOBS_FORECAST_H_
#define SRC_LIBJOBS_FORECAST_H_

#include <map>
#include <vector>

#include "libjobs/ready_steps.h"

namespace baobab {

/** Cores that a pool gains when a host arrives. */
struct IncomingCores {
  Time at;
  double cores = 0;
};

/** Forecast input: the tasks of one step. */
struct ForecastStep {
  /** Number of tasks that wait for free capacity or for earlier steps. */
  int waiting = 0;
  /** Expected ends of the running tasks. */
  std::vector<Time> running_until;
  /** Cores of each task. */
  double cores = 0;
  /** Expected duration of each task. */
  Duration duration{0};
  /** Indices of the steps that must be done first. */
  std::vector<int> after;
};

/** Forecast input: one occurrence of a job. */
struct ForecastJob {
  /** Lower values are placed first. */
  int priority = 0;
  /** Time by which the job should be done. */
  Time objective;
  std::vector<ForecastStep> steps;
  /** Value of the job if it is done by its objective. */
  double utility = 0;
  /** Latest start of each step that still meets the objective. */
  std::vector<Time> latest_start;
};

/** Simulates the open work of one pool. All its cores count as a single
 * resource; tasks start in the order in which the engine places them, and each
 * runs for its expected duration. */
class Forecast {
 public:
  /** `free_cores` are the cores free at `now`; may be negative. */
  Forecast(Time now, double free_cores, std::vector<IncomingCores> arriving);

  /** Returns the expected end of each job, in the order of `jobs`; the end of
   * the simulated period for a job that is not done by then. */
  std::vector<Time> Simulate(const std::vector<const ForecastJob*>& jobs) const;

 private:
  const Time now_;
  const double free_cores_;
  std::vector<IncomingCores> arriving_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_FORECAST_H_
