#ifndef SRC_LIBJOBS_READY_STEPS_H_
#define SRC_LIBJOBS_READY_STEPS_H_

#include <compare>
#include <map>
#include <set>

#include "libjobs/job.h"

namespace baobab {

/** A step of an open job that has tasks to place. */
struct ReadyStep {
  /** Of the operators; 0 comes first. */
  int priority = 0;
  /** Lasting steps come first: each second without them is lost for good. */
  bool finite = true;
  /** Latest start that keeps the objective. */
  Time due;
  JobId job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const ReadyStep&) const = default;
};

/** Steps that wait for room, by service, in the order in which they are
 * placed: by priority, then least slack first. Answers turns in which a queue
 * asks for more than its pool holds: the work that can still be in time goes
 * before work that arrived earlier but has more slack. */
class ReadySteps {
 public:
  void Add(const ServiceId& service, const ReadyStep& step);
  void RemoveJob(const ServiceId& service, const JobId& job);
  void Remove(const ServiceId& service, const ReadyStep& step);

  const std::map<ServiceId, std::set<ReadyStep>>& by_service() const {
    return by_service_;
  }

 private:
  std::map<ServiceId, std::set<ReadyStep>> by_service_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_READY_STEPS_H_
