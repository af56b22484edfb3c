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
  /** It will be late and uses only room that work in time leaves. */
  bool deferred = false;
  /** Expected time until the job would be done. */
  Duration expected{0};
  /** When a job of this kind will be accepted again, as far as known. */
  Duration retry_after{0};
};

/** Open and coming work of the pool of a job. */
struct PoolLoad {
  std::vector<const Job*> open;
  /** Hosts on their way to the pool. */
  std::vector<IncomingCores> arriving;
  /** Work of new jobs at present, in core-seconds a second. */
  double new_work_rate = 0;
  /** What storing and sending add to each step. */
  Duration overhead{0};
};

/** Accepts a job if that raises what the jobs of its pool earn together.
 * Answers turns in which a queue asks for several times what its pool holds:
 * accepting all of it alike makes every job late, while the jobs that fit earn
 * in full. A job that can't be in time is deferred: it runs behind all that
 * can. One that can't be done while it still has a worth is refused. */
class Admission {
 public:
  Admission(const DurationModel& durations, const PoolTuning& tuning)
      : durations_(durations), tuning_(tuning) {}

  AdmissionVerdict Evaluate(const Job& job,
                            const PoolLoad& load,
                            const Workers& workers,
                            Time now) const;

  /** Learns what jobs of a queue are like. */
  void Observe(const Job& job);

 private:
  ForecastJob ToForecastJob(const Job& job,
                            const Occurrence& occurrence,
                            Duration overhead,
                            Time now) const;
  double UtilityOf(const Job& job) const;
  /** True if the late work, with that of `job`, fits into what the pool of
   * `cores` leaves until the job is of no use. */
  bool FitsAsDeferred(const ForecastJob& job,
                      Time due,
                      const std::vector<const ForecastJob*>& open,
                      double cores,
                      double new_work_rate,
                      Time now) const;

  const DurationModel& durations_;
  const PoolTuning& tuning_;
  /** Mean work of the jobs of a queue, in core-milliseconds. */
  std::map<QueueId, double> mean_work_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADMISSION_H_
