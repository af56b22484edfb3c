#ifndef SRC_LIBBENCH_CAPACITY_H_
#define SRC_LIBBENCH_CAPACITY_H_

#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** What is measured of an idle or busy control plane. */
struct CapacityCase {
  int data_centres = 3;
  int nodes_per_data_centre = 3;
  int services = 5;
  int minions = 50;
  int queues = 10;
  int teams = 5;
  int pools = 5;
  int hosts = 50;
  /** Requests a second that arrive in total, all on the first node. */
  int uneven_requests = 0;
  /** Minions that sign to leave at the start of the measured time. */
  int leaving = 0;
  Duration length{std::chrono::seconds(30)};
};

/** Averages over nodes, of one second where not said otherwise. */
struct CapacityResult {
  double messages = 0;
  double bytes = 0;
  /** Of the node that sends most. */
  double bytes_most = 0;
  /** Share of a core that Reduce() takes. */
  double core = 0;
  double core_most = 0;
  /** Heap memory of the state of one node, in bytes. */
  double memory = 0;
  /** Appends to the log of all nodes together. */
  double appends = 0;
};

CapacityResult MeasureCapacity(const CapacityCase& load);

/** Cost of the folded log in one node. */
struct FoldCost {
  /** Processor time to fold one table edit. */
  double microseconds_per_edit = 0;
  /** Bytes of a snapshot. */
  double snapshot_bytes = 0;
  /** Processor time to decode and fold all records at a cold start. */
  double cold_start_ms = 0;
};

/** Folds `edits` edits of one cell each of a table with `hosts` hosts and 36
 * pools, 43 teams and 86 queues. */
FoldCost MeasureFold(int hosts, int edits);

}  // namespace baobab

#endif  // SRC_LIBBENCH_CAPACITY_H_
