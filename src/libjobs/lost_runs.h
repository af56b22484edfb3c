#ifndef SRC_LIBJOBS_LOST_RUNS_H_
#define SRC_LIBJOBS_LOST_RUNS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libjobs/job.h"
#include "libjobs/worker_report.h"

namespace baobab {

/** Runs that were given up because nothing was heard of their worker, until it
 * turns out whether the worker had crashed or was only cut off. */
class LostRuns {
 public:
  /** The run of a task that was lost. */
  struct Run {
    TaskId task;
    WorkerId worker;
    HostId host;
    std::int64_t incarnation = 0;
    /** Whether the worker was up when the run was to start. */
    bool started_on_live_worker = false;
    Time lost_at;
  };

  /** Adds the newest run of the task, which was lost at `now`. Returns false if
   * nothing is known of its worker's incarnation. */
  bool Add(const TaskId& id, const Task& task, Time now);
  /** Adds a run that a former owner has lost. */
  void Add(const Run& run) { runs_.push_back(run); }
  /** Returns the runs of the task. */
  std::vector<Run> Of(const TaskId& task) const;
  /** Returns and forgets the runs of a worker that answers in this incarnation:
   * it was only cut off. */
  std::vector<Run> TakeAlive(const WorkerId& worker, std::int64_t incarnation);
  /** Returns and forgets the runs whose host has started a worker again since
   * they were lost, according to the list of workers. */
  std::vector<Run> TakeCrashed(const std::vector<WorkerEntry>& workers);
  /** Forgets the runs of the task. */
  void Forget(const TaskId& task);
  /** Forgets the runs of all tasks of the job. */
  void ForgetJob(const JobId& job);
  bool empty() const { return runs_.empty(); }
  /** Returns and forgets the runs whose worker has not come back for long. */
  std::vector<Run> TakeExpired(Time now);

 private:
  /** Returns and forgets the runs for which `matches` returns true. */
  template <typename F>
  std::vector<Run> TakeIf(const F& matches);

  std::vector<Run> runs_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_LOST_RUNS_H_
