#ifndef SRC_LIBJOBS_DURATION_MODEL_H_
#define SRC_LIBJOBS_DURATION_MODEL_H_

#include <map>

#include "libjobs/job_spec.h"

namespace baobab {

/** Learns by how much the callers of each queue misjudge durations. Answers
 * declared durations that are far off, alike for the jobs of one queue. */
class DurationModel {
 public:
  /** A task without a checkpoint was done after `actual`. */
  void Observe(const QueueId& queue, Duration estimate, Duration actual);

  /** Expected duration of a task that its caller estimates at `estimate`. */
  Duration ExpectedDuration(const QueueId& queue, Duration estimate) const;

 private:
  /** Weight of a new sample; about 20 samples replace the former ratio. */
  static constexpr double kSampleWeight = 0.1;
  /** Bounds of a learnt ratio, against samples of faulty workers. */
  static constexpr double kMinRatio = 0.3;
  static constexpr double kMaxRatio = 3.0;

  std::map<QueueId, double> ratios_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_DURATION_MODEL_H_
