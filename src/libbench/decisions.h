#ifndef SRC_LIBBENCH_DECISIONS_H_
#define SRC_LIBBENCH_DECISIONS_H_

#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Load on one FairScheduler of a fleet of `nodes`; each queue has a standing
 * backlog and all slots of the node are in use. */
struct DecisionCase {
  int queues = 10;
  int minions = 50;
  int nodes = 9;
  int services = 5;
  std::int64_t requests = 200'000;
  std::uint64_t seed = 7;
};

struct DecisionResult {
  /** Admit(), TakeStarts(), TakeExpired(), TakeMessages() and Finish(). */
  std::int64_t operations = 0;
  /** CPU time of the thread. */
  double cpu_seconds = 0;
  /** CPU time of one SetView() with a changed view. */
  double view_seconds = 0;
  /** Minion slots that this node owns. */
  std::int64_t owned_slots = 0;

  double PerSecond() const {
    return static_cast<double>(operations) / cpu_seconds;
  }
};

DecisionResult RunDecisions(const DecisionCase& load);

}  // namespace baobab

#endif  // SRC_LIBBENCH_DECISIONS_H_
