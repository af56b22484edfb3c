#ifndef TESTS_SIM_WORKER_H_
#define TESTS_SIM_WORKER_H_

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libjobs/jobs.h"
#include "sim_registration.h"

namespace baobab {

/** Maximum number of ends that a worker lists in one answer. */
inline constexpr std::size_t kMaxListedEnds = 500;

/** Simulates a worker that follows the platform's contract. */
class SimWorker {
 public:
  struct Run {
    RunNumber run;
    Time ends_at;
    /** When the run ends because another member of its gang has ended. */
    Time gang_ends_at = Time::max();
    /** When the run ends because its gang is still not complete. */
    Time alone_at = Time::max();
    std::int64_t lease_until_ms = 0;
    bool fails = false;
    bool stopping = false;
    bool long_running = false;
    Resources need;
  };

  WorkerEntry entry;
  SimRegistration registration;
  bool reachable = true;
  /** Fencing token of an owner that cannot reach the worker; 0 for none. */
  std::int64_t cut_off_from = 0;
  /** Until then, orders are held up on their connections. */
  Time orders_held_until = Time::min();
  bool reaches_store = true;
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
  /** When the process last crashed. */
  Time crashed_at;
  /** The host has started another worker since the crash. */
  bool replaced = false;
  /** Capacities before they shrank, and until when each of them counts. */
  std::vector<std::pair<Time, Resources>> former_capacities;
  /** Fencing token of the owner whose polls have an open connection; 0 for
   * none. */
  std::int64_t connected = 0;

  /** Returns whether orders of the owner with this fencing token arrive. */
  bool IsReachedBy(std::int64_t token) const {
    return reachable && cut_off_from != token;
  }
  std::int64_t ClockAt(Time now) const {
    return 1000 + static_cast<std::int64_t>(
                      static_cast<double>((now - started_at).count()) / 1000.0 *
                      clock_rate);
  }
  /** Extends the leases of all runs, each by at most `max_lease`. */
  void ExtendLeases(std::optional<std::int64_t> until_ms,
                    Duration max_lease,
                    Time now) {
    if (!until_ms) {
      return;
    }
    lease_until_ms = std::max(lease_until_ms, *until_ms);
    for (auto& [id, run] : runs) {
      run.lease_until_ms = std::max(
          run.lease_until_ms,
          std::min(*until_ms, ClockAt(now) + max_lease.count() / 1000));
    }
  }
  /** Counts former capacities for `grace` from now, as owners cannot learn of
   * changes of the entry yet. */
  void PostponeCapacities(Time now, Duration grace) {
    for (auto& [until, capacity] : former_capacities) {
      if (now < until) {
        until = now + grace;
      }
    }
  }
  Resources Used() const {
    Resources used;
    for (const auto& [id, run] : runs) {
      used += run.need;
    }
    return used;
  }
  /** Returns the highest capacity that an owner may still count on. */
  Resources CountedCapacity(Time now) const {
    Resources counted = entry.capacity;
    for (const auto& [until, capacity] : former_capacities) {
      if (now < until) {
        counted.cpu_milli = std::max(counted.cpu_milli, capacity.cpu_milli);
        counted.mem_mb = std::max(counted.mem_mb, capacity.mem_mb);
        counted.gpus = std::max(counted.gpus, capacity.gpus);
      }
    }
    return counted;
  }
};

}  // namespace baobab

#endif  // TESTS_SIM_WORKER_H_
