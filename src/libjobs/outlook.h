#ifndef SRC_LIBJOBS_OUTLOOK_H_
#define SRC_LIBJOBS_OUTLOOK_H_

#include <set>
#include <vector>

#include "libjobs/forecast.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** Demand and room of one pool, as its owner sees them. All in cores. */
struct ServiceOutlook {
  ServiceId service;
  /** Of the workers that take new runs. */
  double cores = 0;
  /** Taken by runs that end and can be in time, by those of jobs that are late,
   * and by lasting ones. */
  double used = 0;
  double late = 0;
  double long_running = 0;
  /** Asked for by tasks that can be in time and found no room. */
  double waiting = 0;
  /** Asked for at once by jobs that were refused recently. */
  double refused = 0;
  /** Hosts that lasting tasks lack: tasks that wait, or are to leave a reserved
   * host, and that no worker can take. */
  int hosts_lacking = 0;
  /** Kept busy by the work that arrives at present, if it goes on. */
  double arriving = 0;
};

/** One host of a pool, as the owner of the pool sees it. */
struct HostOutlook {
  HostId host;
  WorkerId worker;
  ServiceId service;
  /** Nothing runs there and all ends are acknowledged. */
  bool empty = false;
  /** Lasting runs are there. */
  bool long_running = false;
  /** It is kept free for the planner. */
  bool reserved = false;
  bool draining = false;
  /** Cores taken by runs. */
  double used = 0;
  /** Until its runs have ended, as far as they end. */
  Duration busy_for{0};
};

/** What the owner of a shard tells the planner. */
struct PoolOutlook {
  std::vector<ServiceOutlook> services;
  std::vector<HostOutlook> hosts;
};

/** What the planner asks of the owner of a shard. It holds until the next one,
 * or until it expires. */
struct HostPlan {
  /** Hosts that get no new runs and are vacated within the availability
   * budgets. */
  std::set<HostId> reserved;
  struct Arriving {
    ServiceId service;
    double cores = 0;
    /** From now. */
    Duration in{0};
  };
  std::vector<Arriving> arriving;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_OUTLOOK_H_
