#ifndef SRC_LIBJOBS_DEMAND_TRACKER_H_
#define SRC_LIBJOBS_DEMAND_TRACKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>

#include "libjobs/arriving_work.h"
#include "libjobs/job.h"

namespace baobab {

/** Tracks the demand for the pools of a shard, accepted or refused. When a
 * queue asks for several times the capacity of its pool, refused callers retry:
 * a retry is no new work, and its objective counts from the first request. */
class DemandTracker {
 public:
  /** Records that a request for `job` was refused at `now`. */
  void RecordRefused(const Job& job, Time now);
  /** Records that `job` was accepted at `now`. */
  void RecordAccepted(const Job& job, Time now);
  /** Removes the refusals of a job that another cell decides on. */
  void ForgetJob(const JobId& job) { refusals_.erase(job); }
  /** Removes arrivals and refusals that are too old to count. */
  void Forget(Time now);

  /** Returns the services with recent refusals or new jobs. */
  std::set<ServiceId> Services() const;
  /** Returns when the job was first requested; `now` if it was not refused
   * before. */
  Time FirstSubmittedAt(const JobId& job, Time now) const;
  /** Returns the cores that the recently refused jobs of the service need, each
   * counted with its widest step. */
  double RefusedCores(const ServiceId& service, Time now) const;
  /** Returns the work that new jobs of the service bring, in core-seconds per
   * second. */
  double NewWorkRate(const ServiceId& service, Time now) const;
  /** Returns the new jobs of the service; retries are not counted. */
  ArrivingWork Arriving(const ServiceId& service, Time now) const;

 private:
  struct Refusal {
    ServiceId service;
    /** First and last refused request for the job. */
    Time first_at;
    Time last_at;
    /** Cores of the widest step. */
    double cores = 0;
  };
  /** First request for a job. */
  struct Arrival {
    Time at;
    ServiceId service;
    double core_seconds = 0;
  };

  void RecordArrival(const Job& job, Time now);

  std::map<JobId, Refusal> refusals_;
  /** Oldest first. */
  std::deque<Arrival> arrivals_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_DEMAND_TRACKER_H_
