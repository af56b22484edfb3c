#ifndef SRC_LIBTABLE_ROWS_H_
#define SRC_LIBTABLE_ROWS_H_

#include "libbase/base.h"

namespace baobab {

/** Scheduling class of the requests of a queue. */
enum class Urgency { kUrgent, kBatch };

/** Maintenance request for a host. kDrain takes the host out of service until
 * the cell is cleared; kWanted asks the planner to include it in a wave. */
enum class Maintenance { kNone, kWanted, kDrain };

/** A pool of hosts. */
struct PoolRow {
  PoolId id;
  Weight weight{1};
  /** Maximum number of hosts in the pool. */
  HostCount limit;
  /** Minimum number of hosts in the pool. */
  HostCount min_hosts;
  /** Maximum number of hosts that may be out of service at once. */
  HostCount availability_budget;

  bool operator==(const PoolRow&) const = default;
};

/** A team that owns queues. */
struct TeamRow {
  TeamId id;
  /** Maximum requests in flight over all queues of the team, fleet-wide. */
  Units quota;

  bool operator==(const TeamRow&) const = default;
};

/** A queue of requests to one service. */
struct QueueRow {
  QueueId id;
  ServiceId service;
  TeamId team;
  PoolId pool;
  Urgency urgency = Urgency::kBatch;
  Weight weight{1};
  /** Maximum requests in flight, fleet-wide. */
  Units limit;
  /** Maximum time from arrival to start; requests past it are refused. */
  Duration deadline{0};

  bool operator==(const QueueRow&) const = default;
};

/** A host and where it stands. */
struct HostRow {
  HostId id;
  RackId rack;
  DataCentreId data_centre;
  /** Pool that the host is pinned to; empty if the planner assigns one. */
  PoolId pool;
  Maintenance maintenance = Maintenance::kNone;

  bool operator==(const HostRow&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBTABLE_ROWS_H_
