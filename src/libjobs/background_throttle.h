#ifndef SRC_LIBJOBS_BACKGROUND_THROTTLE_H_
#define SRC_LIBJOBS_BACKGROUND_THROTTLE_H_

#include <map>

#include "libjobs/ids.h"

namespace baobab {

/** Chooses the speed of the background runs of a worker from the response times
 * of the tasks that serve there. Background runs disturb them by amounts that
 * change within seconds, so the throttle slows down quickly and releases
 * slowly, which also keeps the number of orders low. */
class BackgroundThrottle {
 public:
  /** Returns the speed for all background runs of the worker, in percent.
   * `worst` is the highest ratio of tail response time to target there. */
  int SpeedPercentFor(const WorkerId& worker, double worst, Time now);
  /** Drops the state of the worker, which returns to full speed. */
  void Forget(const WorkerId& worker) { states_.erase(worker); }

 private:
  struct State {
    /** Index of the current speed; 0 is full speed. */
    std::size_t level = 0;
    Time changed_at;
    /** Start of the period in which all tails are well below their targets. */
    Time calm_since;
    bool calm = false;
  };

  std::map<WorkerId, State> states_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_BACKGROUND_THROTTLE_H_
