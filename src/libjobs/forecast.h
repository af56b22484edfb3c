#ifndef SRC_LIBJOBS_FORECAST_H_
#define SRC_LIBJOBS_FORECAST_H_

#include <map>
#include <vector>

#include "libjobs/ready_steps.h"

namespace baobab {

/** Cores that a pool will gain when hosts arrive. */
struct IncomingCores {
  Time at;
  double cores = 0;
};

/** Tasks of one step as a forecast sees them. */
struct ForecastStep {
  /** Tasks that wait for room, or for earlier steps. */
  int waiting = 0;
  /** Expected ends of the tasks that run. */
  std::vector<Time> running_until;
  double cores = 0;
  Duration duration{0};
  std::vector<int> after;
};

/** One occurrence of a job as a forecast sees it. */
struct ForecastJob {
  int priority = 0;
  Time objective;
  std::vector<ForecastStep> steps;
  /** What its callers earn if it is done by its objective. */
  double utility = 0;
  /** Latest start of each step that keeps the objective. */
  std::vector<Time> latest_start;
};

/** Plays the open work of one pool forward: all cores as one, tasks in the
 * order in which the engine places them, each for its expected duration. */
class Forecast {
 public:
  /** `free_cores` are free now; may be negative. */
  Forecast(Time now, double free_cores, std::vector<IncomingCores> arriving);

  /** Expected end of each job, in the order of `jobs`. */
  std::vector<Time> Simulate(const std::vector<const ForecastJob*>& jobs) const;

 private:
  const Time now_;
  const double free_cores_;
  std::vector<IncomingCores> arriving_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_FORECAST_H_
