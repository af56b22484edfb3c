#ifndef SRC_LIBJOBS_ADMISSION_H_
#define SRC_LIBJOBS_ADMISSION_H_

#include <map>
#include <vector>

#include "libjobs/duration_model.h"
#include "libjobs/forecast.h"
#include "libjobs/job.h"
#include "libjobs/placement.h"

namespace baobab {

/** Whether a job is accepted, and when it would be done. */
struct AdmissionVerdict {
  bool accept = true;
  /** Accepted although it will miss its objective; runs only on capacity that
   * jobs which can meet theirs leave free. */
  bool deferred = false;
  /** Time from now until the forecast end of the job. */
  Duration expected{0};
  /** For a refused job: wait before the caller should retry. */
  Duration retry_after{0};
};

/** Current and expected work of one pool. */
struct PoolLoad {
  /** Accepted jobs that have not ended. */
  std::vector<const Job*> open;
  /** Cores of hosts that are being moved to the pool or return from
   * maintenance. */
  std::vector<IncomingCores> arriving;
  /** Work of newly requested jobs, in core-seconds per second. */
  double new_work_rate = 0;
  /** Time that storing and sending add to the duration of each step. */
  Duration overhead{0};
};

/** Admission control: accepts a job if that raises the expected total utility
 * of the jobs in its pool. When a queue asks for several times the capacity of
 * its pool, accepting everything would make every job late, while the jobs that
 * fit yield their full utility. A job that would miss its objective is
 * deferred: it runs after all jobs that can meet theirs. A job that cannot be
 * done before its utility is zero is refused. */
class Admission {
 public:
  Admission(const DurationModel& durations, const PoolTuning& tuning)
      : durations_(durations), tuning_(tuning) {}

  /** Decides on `job`, given the work and the workers of its pool. Accepts
   * long-running and timed jobs without a forecast. */
  AdmissionVerdict Evaluate(const Job& job,
                            const PoolLoad& load,
                            const Workers& workers,
                            Time now) const;

  /** Updates the mean work of the jobs of the queue with that of `job`. */
  void Observe(const Job& job);

 private:
  /** Returns the forecast input for one occurrence of `job`, with its expected
   * durations and its objective. */
  ForecastJob ToForecastJob(const Job& job,
                            const Occurrence& occurrence,
                            Duration overhead,
                            Time now) const;
  /** Returns the utility of `job` if it meets its objective; 1 for a job of
   * average size. */
  double UtilityOf(const Job& job) const;
  /** Returns whether a pool of `cores` can do `job`, the `open` work and the
   * newly requested work before the utility of `job` is zero. */
  bool FitsAsDeferred(const ForecastJob& job,
                      Time due,
                      const std::vector<const ForecastJob*>& open,
                      double cores,
                      double new_work_rate,
                      Time now) const;

  const DurationModel& durations_;
  const PoolTuning& tuning_;
  /** Moving average of the work of a job by queue, in core-milliseconds. */
  std::map<QueueId, double> mean_work_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADMISSION_H_
