#include "libjobs/arriving_work.h"

#include <algorithm>
#include <cmath>

namespace baobab {

namespace {

/** How far ahead rising demand is extrapolated: the time until a host that is
 * moved now accepts work, plus half a period. */
constexpr Duration kExtrapolationTime = std::chrono::milliseconds(2700);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ArrivingWork& ArrivingWork::operator+=(const ArrivingWork& other) {
  newest.jobs += other.newest.jobs;
  newest.core_seconds += other.newest.core_seconds;
  previous.jobs += other.previous.jobs;
  previous.core_seconds += other.previous.core_seconds;
  return *this;
}

double ArrivingWork::ExpectedCores() const {
  if (newest.jobs == 0) {
    return 0;
  }
  const double mean = (newest.core_seconds + previous.core_seconds) /
                      (newest.jobs + previous.jobs);
  // Lower bounds at one standard deviation of a Poisson count, so that a single
  // large job is not taken for a trend.
  const double min_jobs =
      newest.jobs - std::sqrt(static_cast<double>(newest.jobs));
  const double rise = std::max(
      0.0, newest.jobs - previous.jobs -
               std::sqrt(static_cast<double>(newest.jobs + previous.jobs)));
  const double periods_ahead = Seconds(kExtrapolationTime) / Seconds(kPeriod);
  return mean * (min_jobs + rise * periods_ahead) / Seconds(kPeriod);
}

}  // namespace baobab
