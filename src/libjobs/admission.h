#ifndef SRC_LIBJOBS_ADMISSION_H_
#define SRC_LIBJOBS_ADMISSION_H_

#include <map>

#include "libjobs/duration_model.h"
#include "libjobs/job.h"
#include "libjobs/placement.h"

namespace baobab {

struct AdmissionVerdict {
  bool accept = true;
  /** Expected wait for room. */
  Duration wait{0};
  /** When a job of this kind will be accepted again, as far as known. */
  Duration retry_after{0};
};

/** Refuses a job that can't be done by its objective. Answers turns in which
 * a queue asks for several times what its pool holds: accepting all of it
 * makes every job late, while the jobs that fit earn in full. */
class Admission {
 public:
  Admission(const DurationModel& durations, const PoolTuning& tuning)
      : durations_(durations), tuning_(tuning) {}

  /** `work_ahead` is the open work that goes first, in core-milliseconds. */
  AdmissionVerdict Judge(const Job& job,
                         const Workers& workers,
                         double work_ahead,
                         Time now) const;

  /** Expected work of the tasks that are not done, in core-milliseconds. */
  double RemainingWork(const Job& job) const;

 private:
  const DurationModel& durations_;
  const PoolTuning& tuning_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADMISSION_H_
