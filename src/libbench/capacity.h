#ifndef SRC_LIBBENCH_CAPACITY_H_
#define SRC_LIBBENCH_CAPACITY_H_

#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Size and load of a simulated control plane to be measured. */
struct CapacityCase {
  int data_centres = 3;
  int nodes_per_data_centre = 3;
  int services = 5;
  int minions = 50;
  int queues = 10;
  int teams = 5;
  int pools = 5;
  int hosts = 50;
  /** Rate of requests, which all arrive at the first node. */
  int first_node_requests_per_second = 0;
  /** Number of minions that announce at the start of the measured time that
   * they are leaving. */
  int leaving_minions = 0;
  /** Duration of the measurement on the simulated clock. */
  Duration measured_time{std::chrono::seconds(30)};
};

/** Usage of the control plane; averages over the nodes unless noted. */
struct CapacityResult {
  /** Peer messages sent per second. */
  double messages = 0;
  /** Bytes of peer messages sent per second. */
  double bytes_per_second = 0;
  /** Bytes per second of the node that sends the most. */
  double max_bytes_per_second = 0;
  /** CPU time of Reduce() as a share of one core. */
  double core_share = 0;
  /** CPU share of the node that uses the most. */
  double max_core_share = 0;
  /** Heap memory of the state, in bytes. */
  double memory = 0;
  /** Log appends per second of all nodes together. */
  double appends = 0;
};

/** Sets up a control plane and measures it under the given load. */
CapacityResult MeasureCapacity(const CapacityCase& load);

/** Cost of folding the log in one node. */
struct FoldCost {
  /** CPU time to fold one table edit. */
  double microseconds_per_edit = 0;
  /** Size of a snapshot in bytes. */
  double snapshot_bytes = 0;
  /** CPU time to decode and fold all records at a cold start. */
  double cold_start_ms = 0;
};

/** Measures the folding of `edits` single-cell edits of a table with `hosts`
 * hosts, 36 pools, 43 teams and 86 queues. */
FoldCost MeasureFold(int hosts, int edits);

}  // namespace baobab

#endif  // SRC_LIBBENCH_CAPACITY_H_
