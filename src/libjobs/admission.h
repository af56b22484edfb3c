#ifndef SRC_LIBJOBS_ADMISSION_H_
#define SRC_LIBJOBS_ADMISSION_H_

#include <map>
#include <vector>

#include "libjobs/duration_model.h"
#include "libjobs/forecast.h"
#include "libjobs/job.h"
#include "libjobs/placement.h"

namespace baobab {

struct AdmissionVerdict {
  bool accept = true;
  /** Expected time until the job would be done. */
  Duration expected{0};
  /** When a job of this kind will be accepted again, as far as known. */
  Duration retry_after{0};
};

/** Refuses a job if accepting it lowers what the jobs of its pool earn
 * together: it can't be done by its objective, or makes jobs late that are
 * worth more. Answers turns in which a queue asks for several times what its
 * pool holds: accepting all of it makes every job late, while the jobs that fit
 * earn in full. */
class Admission {
 public:
  Admission(const DurationModel& durations, const PoolTuning& tuning)
      : durations_(durations), tuning_(tuning) {}

  /** `open` are the open jobs of the pool; `overhead` is what storing and
   * sending add to each step. */
  AdmissionVerdict Judge(const Job& job,
                         const std::vector<const Job*>& open,
                         const Workers& workers,
                         const std::vector<CoresArriving>& arriving,
                         Duration overhead,
                         Time now) const;

  /** Learns what jobs of a queue are like. */
  void Observe(const Job& job);

 private:
  ForecastJob Describe(const Job& job,
                       const Occurrence& occurrence,
                       Duration overhead,
                       Time now) const;
  double WorthOf(const Job& job) const;

  const DurationModel& durations_;
  const PoolTuning& tuning_;
  /** Mean work of the jobs of a queue, in core-milliseconds. */
  std::map<QueueId, double> mean_work_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADMISSION_H_
