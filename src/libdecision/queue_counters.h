#ifndef SRC_LIBDECISION_QUEUE_COUNTERS_H_
#define SRC_LIBDECISION_QUEUE_COUNTERS_H_

#include <cstdint>
#include <vector>

#include "libdecision/outcome.h"
#include "libdecision/report.h"

namespace baobab {

/** Counts request outcomes and samples start latencies of one queue on this
 * node. */
class QueueCounters {
 public:
  /** Number of recent starts over which quantiles are computed. */
  static constexpr std::size_t kMaxLatencySamples = 1000;

  /** Records a first start; `latency` is the time since arrival. */
  void AddStart(Duration latency);

  /** Counts an ended request. */
  void AddEnd(Outcome outcome);

  /** Sets the outcome counts and the start latencies of `status`. */
  void FillIn(QueueStatus& status) const;

 private:
  std::int64_t done_ = 0;
  std::int64_t not_run_ = 0;
  std::int64_t unknown_ = 0;
  /** Ring buffer of the last kMaxLatencySamples latencies. */
  std::vector<Duration> start_latencies_;
  std::size_t next_latency_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_QUEUE_COUNTERS_H_
