#ifndef SRC_LIBJOBS_PLACEMENT_H_
#define SRC_LIBJOBS_PLACEMENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libjobs/advice_cache.h"
#include "libjobs/job.h"
#include "libjobs/worker.h"

namespace baobab {

using Workers = std::map<WorkerId, Worker>;

/** Returns the resources that a task occupies on its worker. A background task
 * occupies no CPU. */
Resources ResourcesOf(const StepSpec& step);

/** Returns the number of runs of the step on the worker. */
int RunsOfStep(const Worker& worker, const StepId& step);

/** Chooses workers of one service for tasks. Packs runs onto the fullest worker
 * with enough free capacity, so that whole workers stay free for large tasks
 * among many small ones, for moves and for maintenance. */
class Placement {
 public:
  /** Additional condition on a worker; an empty one allows all. */
  using Filter = std::function<bool(const WorkerId&)>;

  /** Returns whether the run of a task ends by itself. */
  using EndsByItself = std::function<bool(const TaskId&)>;

  /** Considers the workers of `service` that are usable at `now`, which must
   * outlive this object. */
  Placement(const Workers& workers, const ServiceId& service, Time now);

  /** Returns the worker for one more task of the step, or null if none has free
   * capacity, the step's label and less than its maximum number of tasks.
   * Prefers the rack of the data, then `rack`; then, if workers have crashed
   * under the task, few others of this kind; then workers on which it has not
   * failed, and those where a suspected task would take few runs down, or else
   * the fullest ones. */
  const Worker* Choose(const Job& job,
                       int occurrence,
                       int step,
                       const Task& task,
                       const std::string& rack,
                       const Filter& filter = {}) const;

  /** Keeps the room of one task of the step free on the worker that will have
   * it first, once the runs there that end by themselves are gone. Tasks of
   * later steps cannot take that room. Returns false if no worker will have
   * it, and keeps none. */
  bool Hold(const Job& job,
            int occurrence,
            int step,
            const EndsByItself& ends_by_itself);

  /** Numbers of usable workers that meet one condition each for a task of a
   * step, and of those that meet all. */
  struct Room {
    int usable = 0;
    int cpu = 0;
    int memory = 0;
    int label = 0;
    int below_limit = 0;
    int all = 0;
  };
  Room RoomFor(const Job& job, int occurrence, int step) const;

  /** Returns all workers that could run a task of the step. */
  std::vector<WorkerId> Candidates(const Job& job,
                                   int occurrence,
                                   int step) const;

 private:
  bool Allows(const Worker& worker,
              const Job& job,
              int occurrence,
              int step) const;

  /** Returns the free capacity of the worker that is not held. */
  Resources FreeOf(const Worker& worker) const;

  /** Returns whether one more worker may be left to a task that may crash it.
   */
  bool MayBeginTrial() const;

  const Time now_;
  std::vector<const Worker*> workers_;
  /** Upper bound of the free CPU of any worker, in thousandths of a core;
   * lowered by each search. */
  mutable std::int64_t max_free_cpu_;

  struct Held {
    Resources room;
    std::map<StepId, int> tasks;
  };
  std::map<WorkerId, Held> held_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_PLACEMENT_H_
