#ifndef SRC_LIBJOBS_POOL_USAGE_H_
#define SRC_LIBJOBS_POOL_USAGE_H_

#include <set>
#include <vector>

#include "libjobs/arriving_work.h"
#include "libjobs/forecast.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** Demand and capacity of one pool as its owner sees them, in cores unless
 * stated otherwise. */
struct ServiceUsage {
  ServiceId service;
  /** Capacity of the workers that accept new runs. */
  double cores = 0;
  /** Taken by finite runs that can be in time. */
  double used = 0;
  /** Taken by finite runs of late jobs. */
  double late = 0;
  /** Taken by long-running tasks. */
  double long_running = 0;
  /** Needed by waiting tasks that can be in time but found no free capacity. */
  double waiting = 0;
  /** Needed by waiting tasks of late jobs. */
  double waiting_late = 0;
  /** Workers that accept new runs. */
  int workers = 0;
  /** Needed by recently refused jobs, each counted with its widest step. */
  double refused = 0;
  /** Number of hosts needed for long-running tasks that wait or must leave a
   * reserved host and that no worker of the cell can take, and for other
   * waiting tasks that none could take even if all its finite runs ended. */
  int missing_hosts = 0;
  /** Number of hosts needed for such tasks of late jobs. */
  int missing_hosts_late = 0;
  /** New jobs. */
  ArrivingWork arriving;

  /** Returns the cores that neither runs nor waiting tasks need; may be
   * negative. */
  double FreeCores() const {
    return cores - used - late - long_running - waiting;
  }
  /** Adds the figures of another cell of the same pool. */
  ServiceUsage& operator+=(const ServiceUsage& other);
};

/** State of one host as the owner of its pool sees it. */
struct HostUsage {
  HostId host;
  WorkerId worker;
  ServiceId service;
  /** Nothing runs on the host and all run ends are acknowledged. */
  bool empty = false;
  /** The host has long-running tasks. */
  bool long_running = false;
  /** The owner starts no new runs there, as the planner requested. */
  bool reserved = false;
  /** The worker is about to leave and accepts no new runs. */
  bool draining = false;
  /** Cores taken by runs. */
  double used = 0;
  /** Expected time until the last finite run on the host ends. */
  Duration busy_for{0};
  /** A task is held back until its worker, or the next one on the host,
   * answers. */
  bool awaited = false;
};

/** Usage report from the owner of a shard to the planner. */
struct PoolUsage {
  std::vector<ServiceUsage> services;
  std::vector<HostUsage> hosts;
};

/** Free cores of one cell of a pool. */
struct CellLoad {
  ServiceId service;
  ShardId cell{};
  double free_cores = 0;
  /** Workers that accept new runs. */
  int workers = 0;
};

/** Instructions of the planner to the owner of a shard, valid until the next
 * plan or until they expire. */
struct HostPlan {
  /** Fencing token of the planner; 0 if it is not known. */
  FenceToken planner;
  /** Hosts that must get no new runs and be vacated within the availability
   * budgets of their jobs. */
  std::set<HostId> reserved;
  /** Host that is on its way to a pool, or returns from maintenance. */
  struct ArrivingHost {
    ServiceId service;
    double cores = 0;
    /** Time until the host arrives, from the making of the plan. */
    Duration arrives_in{0};
  };
  std::vector<ArrivingHost> arriving;
  /** Load of the cells of all pools that have a cell in the shard. */
  std::vector<CellLoad> cells;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_USAGE_H_
