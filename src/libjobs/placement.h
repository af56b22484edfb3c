#ifndef SRC_LIBJOBS_PLACEMENT_H_
#define SRC_LIBJOBS_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libjobs/job.h"
#include "libjobs/worker.h"

namespace baobab {

using Workers = std::map<WorkerId, Worker>;

/** What a task takes from the room of a worker. */
Resources ResourcesOf(const StepSpec& step);

/** Chooses workers of one service for tasks. Answers large tasks that come
 * among many small ones: runs are packed onto the fullest worker that has room,
 * so that whole workers stay free for large tasks, moves and maintenance. */
class Placement {
 public:
  /** Further condition on a worker; none allows all. */
  using Filter = std::function<bool(const WorkerId&)>;

  /** Of the workers that are usable now. Valid as long as these exist. */
  Placement(const Workers& workers, const ServiceId& service, Time now);

  /** The worker for one more task of the step; null if none has room: with the
   * label, below the step's limit for one worker. Prefers the rack of the data,
   * then `rack`, then a worker on which the task has not failed. */
  const Worker* Choose(const Job& job,
                       int occurrence,
                       int step,
                       const Task& task,
                       const std::string& rack,
                       const Filter& filter = {}) const;

  /** Workers that have room for a task of the step, without the filter. */
  std::vector<WorkerId> Candidates(const Job& job,
                                   int occurrence,
                                   int step) const;

 private:
  bool Allows(const Worker& worker,
              const Job& job,
              int occurrence,
              int step) const;

  std::vector<const Worker*> workers_;
  /** No worker has more free processor time; lowered when a search shows it. */
  mutable std::int64_t max_free_cpu_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_PLACEMENT_H_
