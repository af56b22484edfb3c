#ifndef SRC_LIBBENCH_DECISIONS_H_
#define SRC_LIBBENCH_DECISIONS_H_

#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Load on one FairScheduler in a fleet of `nodes` nodes. Each queue has a
 * standing backlog, and all slots that the node owns are in use. */
struct DecisionCase {
  int queues = 10;
  int minions = 50;
  int nodes = 9;
  int services = 5;
  std::int64_t requests = 200'000;
  std::uint64_t seed = 7;
};

/** Cost of scheduling decisions. */
struct DecisionResult {
  /** Number of calls of Admit(), TakeStarts(), TakeExpired(), TakeMessages(),
   * Finish() and Tick(). */
  std::int64_t operations = 0;
  /** CPU time of the thread for all operations. */
  double cpu_seconds = 0;
  /** CPU time of one SetView() that removes a node from the view. */
  double set_view_seconds = 0;
  /** Minion slots that this node owns. */
  std::int64_t owned_slots = 0;

  double OperationsPerSecond() const {
    return static_cast<double>(operations) / cpu_seconds;
  }
};

/** Measures the scheduler of one node under the given load. */
DecisionResult MeasureDecisions(const DecisionCase& load);

}  // namespace baobab

#endif  // SRC_LIBBENCH_DECISIONS_H_
