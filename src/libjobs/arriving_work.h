#ifndef SRC_LIBJOBS_ARRIVING_WORK_H_
#define SRC_LIBJOBS_ARRIVING_WORK_H_

#include <chrono>

#include "libbase/base.h"

namespace baobab {

/** New jobs of a service in the last two periods, each counted at its first
 * request. The counts of the cells of a pool are added before a trend is taken
 * from them: the count of one cell is too small to show it. */
struct ArrivingWork {
  /** Length of a period: half the time in which a demand peak rises, and
   * several arrivals even in the queues with the largest jobs. */
  static constexpr Duration kPeriod = std::chrono::milliseconds(1000);

  struct Period {
    int jobs = 0;
    double core_seconds = 0;
  };
  Period newest;
  Period previous;

  ArrivingWork& operator+=(const ArrivingWork& other);

  /** Returns the cores that new jobs are expected to keep busy when a host that
   * is moved now has arrived. Extrapolates only a significant rise in their
   * number. */
  double ExpectedCores() const;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ARRIVING_WORK_H_
