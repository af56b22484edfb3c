#ifndef TESTS_SIM_WORKER_H_
#define TESTS_SIM_WORKER_H_

#include <map>
#include <vector>

#include "libjobs/jobs.h"

namespace baobab {

/** Simulates a worker that follows the platform's contract. */
class SimWorker {
 public:
  struct Run {
    RunNumber run;
    Time ends_at;
    std::int64_t lease_until_ms = 0;
    bool fails = false;
    bool stopping = false;
    bool long_running = false;
    Resources need;
  };

  WorkerEntry entry;
  bool reachable = true;
  bool up = true;
  /** Rate of the worker's clock relative to simulated time. */
  double clock_rate = 1.0;
  /** All runs fail. */
  bool fails_all = false;
  /** No run ends by itself. */
  bool hangs = false;
  std::int64_t highest_token = 0;
  std::map<TaskId, Run> runs;
  /** Newest run of each task that was stopped or has ended. */
  std::map<TaskId, RunNumber> closed;
  std::vector<EndedRun> ended;
  std::int64_t last_end = 0;
  /** Latest lease end that the worker was given. */
  std::int64_t lease_until_ms = 0;
  /** Ends up to this number were unacknowledged when the lease expired;
   * acknowledging them later does not count. */
  std::int64_t expired_ends = 0;
  Time started_at;
  /** Fencing token of the owner whose polls have an open connection; 0 for
   * none. */
  std::int64_t connected = 0;

  std::int64_t ClockAt(Time now) const {
    return 1000 + static_cast<std::int64_t>(
                      static_cast<double>((now - started_at).count()) / 1000.0 *
                      clock_rate);
  }
  Resources Used() const {
    Resources used;
    for (const auto& [id, run] : runs) {
      used += run.need;
    }
    return used;
  }
};

}  // namespace baobab

#endif  // TESTS_SIM_WORKER_H_
