#ifndef SRC_LIBTABLE_ROWS_H_
#define SRC_LIBTABLE_ROWS_H_

#include "libbase/base.h"

namespace baobab {

enum class Urgency { kUrgent, kBatch };

/** kDrain takes the host out of service until the cell is cleared; kWanted
 * asks the planner for a maintenance in a wave. */
enum class Maintenance { kNone, kWanted, kDrain };

struct PoolRow {
  PoolId id;
  Weight weight{1};
  /** Most hosts the pool may hold. */
  HostCount limit;
  HostCount min_hosts;
  /** Most hosts that may be out of service at once. */
  HostCount availability_budget;

  bool operator==(const PoolRow&) const = default;
};

struct TeamRow {
  TeamId id;
  /** Most requests in flight over all queues of the team, fleet-wide. */
  Units quota;

  bool operator==(const TeamRow&) const = default;
};

struct QueueRow {
  QueueId id;
  ServiceId service;
  TeamId team;
  PoolId pool;
  Urgency urgency = Urgency::kBatch;
  Weight weight{1};
  /** Most requests in flight, fleet-wide. */
  Units limit;
  /** Longest time from arrival to start; later requests are refused. */
  Duration deadline{0};

  bool operator==(const QueueRow&) const = default;
};

struct HostRow {
  HostId id;
  RackId rack;
  DataCentreId data_centre;
  /** Pool the operator pinned the host to; empty if the planner decides. */
  PoolId pool;
  Maintenance maintenance = Maintenance::kNone;

  bool operator==(const HostRow&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBTABLE_ROWS_H_
