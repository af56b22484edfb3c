#ifndef SRC_LIBJOBS_PLACEMENT_H_
#define SRC_LIBJOBS_PLACEMENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libjobs/job.h"
#include "libjobs/worker.h"

namespace baobab {

using Workers = std::map<WorkerId, Worker>;

/** What a task takes from the room of a worker. */
Resources RoomOf(const StepSpec& step);

/** Chooses workers for tasks. Answers large tasks that come among many small
 * ones: runs are packed onto the fullest worker that has room, so that whole
 * workers stay free for large tasks, moves and maintenance. */
class Placement {
 public:
  /** Further condition on a worker; none allows all. */
  using Filter = std::function<bool(const WorkerId&)>;

  Placement(const Workers& workers, Time now) : workers_(workers), now_(now) {}

  /** The worker for one more task of the step; null if none has room. Workers
   * of `service` only, with the label, below the step's limit for one worker.
   * Prefers the rack of the data, then `rack`, then a worker on which the task
   * has not failed. */
  const Worker* Choose(const ServiceId& service,
                       const Job& job,
                       int occurrence,
                       int step,
                       const Task& task,
                       const std::string& rack,
                       const Filter& filter = {}) const;

  /** Workers that have room for a task of the step, without the filter. */
  std::vector<WorkerId> Candidates(const ServiceId& service,
                                   const Job& job,
                                   int occurrence,
                                   int step) const;

 private:
  bool Allows(const Worker& worker,
              const Job& job,
              int occurrence,
              int step) const;

  const Workers& workers_;
  Time now_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_PLACEMENT_H_
