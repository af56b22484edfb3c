#ifndef SRC_LIBDECISION_QUEUE_COUNTERS_H_
#define SRC_LIBDECISION_QUEUE_COUNTERS_H_

#include <cstdint>
#include <vector>

#include "libdecision/outcome.h"
#include "libdecision/report.h"

namespace baobab {

/** Counts of one queue on this node. */
class QueueCounters {
 public:
  /** Starts over which quantiles are taken. */
  static constexpr std::size_t kMaxLatencySamples = 1000;

  /** `latency` is the time from arrival to first start. */
  void AddStart(Duration latency);

  void AddEnd(Outcome outcome);

  /** Sets the counts of ended requests and the start latencies. */
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
