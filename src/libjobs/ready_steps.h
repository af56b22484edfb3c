#ifndef SRC_LIBJOBS_READY_STEPS_H_
#define SRC_LIBJOBS_READY_STEPS_H_

#include <compare>
#include <map>
#include <set>

#include "libjobs/job.h"

namespace baobab {

/** A step of an open job that has tasks to place. Ordered by its members, in
 * the order of their declaration. */
struct ReadyStep {
  /** Priority of the queue; lower values come first, from 0. */
  int priority = 0;
  /** False for long-running steps, which come first, since time without them
   * cannot be made up. */
  bool finite = true;
  /** Latest start that meets the objective. */
  Time due;
  JobId job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const ReadyStep&) const = default;
};

/** Steps that wait for free capacity, by service, in placement order: by
 * priority, then by least slack. If a queue asks for more than its pool holds,
 * work that can still be in time goes before work that arrived earlier but has
 * more slack. */
class ReadySteps {
 public:
  void Add(const ServiceId& service, const ReadyStep& step);
  void RemoveJob(const ServiceId& service, const JobId& job);
  void Remove(const ServiceId& service, const ReadyStep& step);
  bool Contains(const ServiceId& service, const ReadyStep& step) const;

  const std::map<ServiceId, std::set<ReadyStep>>& by_service() const {
    return by_service_;
  }

 private:
  std::map<ServiceId, std::set<ReadyStep>> by_service_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_READY_STEPS_H_
