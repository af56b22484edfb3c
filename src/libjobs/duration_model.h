#ifndef SRC_LIBJOBS_DURATION_MODEL_H_
#define SRC_LIBJOBS_DURATION_MODEL_H_

#include <map>

#include "libjobs/job_spec.h"

namespace baobab {

/** Learns, for each queue, the ratio of actual to estimated durations. Corrects
 * caller estimates that are far off by about the same factor for all jobs of a
 * queue. */
class DurationModel {
 public:
  /** Adds a sample: a task that did not resume from a checkpoint was done after
   * `actual`. */
  void Observe(const QueueId& queue, Duration estimate, Duration actual);

  /** Returns the expected duration of a task with the caller estimate
   * `estimate`. */
  Duration ExpectedDuration(const QueueId& queue, Duration estimate) const;

 private:
  /** Weight of a new sample in the moving average; about 20 samples replace the
   * previous ratio. */
  static constexpr double kSampleWeight = 0.1;
  /** Bounds of a sample, which limit the effect of faulty workers. */
  static constexpr double kMinRatio = 0.3;
  static constexpr double kMaxRatio = 3.0;

  /** Ratio of actual to estimated duration by queue. */
  std::map<QueueId, double> ratios_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_DURATION_MODEL_H_
