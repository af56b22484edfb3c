#ifndef SRC_LIBJOBS_DEMAND_TRACKER_H_
#define SRC_LIBJOBS_DEMAND_TRACKER_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>

#include "libjobs/job.h"

namespace baobab {

/** What callers ask of the pools of a shard, accepted or not. Answers queues
 * that ask for several times what their pool holds: callers who were refused
 * come back, with less of their time left and without new work. */
class DemandTracker {
 public:
  /** A job whose request was refused, at `now`. */
  void RecordRefused(const Job& job, Time now);
  /** A job that was accepted at `now`. */
  void RecordAccepted(const Job& job, Time now);
  /** Drops what is too old to matter. */
  void Forget(Time now);

  /** Services with refusals or new work. */
  std::set<ServiceId> Services() const;
  /** When the job was first asked for; `now` if it was not refused before. */
  Time FirstSubmittedAt(const JobId& job, Time now) const;
  /** Cores that recently refused jobs of the service ask for at once. */
  double RefusedCores(const ServiceId& service, Time now) const;
  /** Work of the new jobs of the service, in core-seconds a second. */
  double NewWorkRate(const ServiceId& service, Time now) const;
  /** What new jobs of the service will bring when a host that is moved now has
   * arrived, in core-seconds a second, as far as their number shows a trend. A
   * job that comes again brings no new work. */
  double ArrivingCores(const ServiceId& service, Time now) const;

 private:
  struct Refusal {
    ServiceId service;
    Time first_at;
    Time last_at;
    /** Of the widest step. */
    double cores = 0;
  };
  struct Arrival {
    Time at;
    ServiceId service;
    double core_seconds = 0;
  };

  void RecordArrival(const Job& job, Time now);

  std::map<JobId, Refusal> refusals_;
  std::deque<Arrival> arrivals_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_DEMAND_TRACKER_H_
