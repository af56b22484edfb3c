#ifndef SRC_LIBJOBS_POOL_ROOM_H_
#define SRC_LIBJOBS_POOL_ROOM_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "libjobs/placement.h"

namespace baobab {

/** Returns how many tasks of the step fit into `room` of one worker at once, up
 * to `max_tasks`. */
int TasksThatFit(const StepSpec& step, const Resources& room, int max_tasks);

/** Returns how many tasks of the step the workers could take at once if nothing
 * ran on them, up to `max_tasks`. */
int CountTasksOnEmpty(const std::vector<const WorkerEntry*>& workers,
                      const StepSpec& step,
                      int max_tasks);

/** Room of the workers of one pool once their finite runs have ended: a task
 * that does not fit then can never start. Counted by worker and resource, since
 * a task needs all its resources on one worker. */
class PoolRoom {
 public:
  /** Returns whether a run ends without being stopped. */
  using EndsByItself = std::function<bool(const TaskId&)>;

  /** `workers` must outlive this object and not change. */
  PoolRoom(const Workers& workers,
           const ServiceId& service,
           EndsByItself ends_by_itself);

  /** Returns how many tasks of the step fit at once, up to `max_tasks`. */
  int CountTasks(const StepSpec& step, const StepId& id, int max_tasks);
  /** Returns whether all tasks of the finite step fit: sequentially, or
   * at once for a gang. For a long-running step, returns whether one more fits.
   */
  bool Holds(const StepSpec& step, const StepId& id);

 private:
  Resources RoomOf(const Worker& worker) const;

  EndsByItself ends_by_itself_;
  /** Workers with their room, which is computed on first use. */
  std::vector<std::pair<const Worker*, std::optional<Resources>>> workers_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_ROOM_H_
