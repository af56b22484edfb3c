#ifndef SRC_LIBJOBS_IDS_H_
#define SRC_LIBJOBS_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "libbase/base.h"

namespace baobab {

/** Id of a job, chosen by the caller; never reused. */
using JobId = StrongId<struct JobTag, std::string>;

/** Identifies a queue by the callers' requests to it, whatever its name and
 * settings are. */
using QueueKey = StrongId<struct QueueKeyTag, std::string>;

/** Id of a worker, a process that runs tasks. A worker may restart under the
 * same id as a new incarnation. */
using WorkerId = StrongId<struct WorkerTag, std::string>;

/** Fencing token of a shard's owner; rises with each takeover. Workers and the
 * store refuse lower ones. */
using FenceToken = StrongId<struct FenceTokenTag, std::int64_t>;

/** Number of a run of a task, counted from 1. */
using RunNumber = StrongId<struct RunNumberTag, std::int64_t>;

/** Number of a shard of the job state. */
using ShardId = StrongId<struct ShardTag, int>;

/** Id of a caller's request that awaits the engine's answer. */
using ReplyId = StrongId<struct ReplyTag, std::uint64_t>;

/** Id of a batch of records that is sent to the store. */
using CommitId = StrongId<struct CommitTag, std::uint64_t>;

/** Number of a placement among all of a shard, in the order in which they were
 * stored; 0 for one stored by a release that did not number them. */
using PlacementNumber = StrongId<struct PlacementNumberTag, std::uint64_t>;

/** Identifies a task of a step of an occurrence of a job; all numbers count
 * from 0. */
struct TaskId {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/** Identifies a step of one occurrence of a job. */
struct StepId {
  JobId job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const StepId&) const = default;
};

/** Returns "job.occurrence.step.index", for logs. */
inline std::string ToString(const TaskId& id) {
  return id.job.value() + "." + std::to_string(id.occurrence) + "." +
         std::to_string(id.step) + "." + std::to_string(id.index);
}

}  // namespace baobab

#endif  // SRC_LIBJOBS_IDS_H_
