#ifndef SRC_LIBJOBS_BACKGROUND_THROTTLE_H_
#define SRC_LIBJOBS_BACKGROUND_THROTTLE_H_

#include <map>

#include "libjobs/ids.h"

namespace baobab {

/** Chooses the share at which filling tasks of a worker may work, from the
 * response times of the tasks that serve there. Answers fillers that disturb
 * serving tasks by amounts that change within seconds: it slows them down
 * quickly and lets them on slowly, so that few orders are given. */
class BackgroundThrottle {
 public:
  /** Percent for all fillers of the worker. `worst` is the largest response
   * time tail there as a share of its target. */
  int SpeedPercentFor(const WorkerId& worker, double worst, Time now);
  void Forget(const WorkerId& worker) { states_.erase(worker); }

 private:
  struct State {
    std::size_t level = 0;
    Time changed_at;
    /** Since when the tails are well below their targets. */
    Time calm_since;
    bool calm = false;
  };

  std::map<WorkerId, State> states_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_BACKGROUND_THROTTLE_H_
