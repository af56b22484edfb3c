#ifndef SRC_LIBJOBS_IDS_H_
#define SRC_LIBJOBS_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "libbase/base.h"

namespace baobab {

/** Chosen by the caller; unique for good. */
using JobId = StrongId<struct JobTag, std::string>;

/** One life of a backend server's process that runs tasks. */
using WorkerId = StrongId<struct WorkerTag, std::string>;

/** Orders the owners of a shard; a worker and the store refuse lower ones. */
using FenceToken = StrongId<struct FenceTokenTag, std::int64_t>;

/** Numbers the starts of a task, from 1. */
using RunNumber = StrongId<struct RunNumberTag, std::int64_t>;

/** Number of a shard of the job state. */
using ShardId = StrongId<struct ShardTag, int>;

/** A caller's request that waits for an answer of the engine. */
using ReplyId = StrongId<struct ReplyTag, std::uint64_t>;

/** A batch of records on its way to the store. */
using CommitId = StrongId<struct CommitTag, std::uint64_t>;

/** A task of a step of an occurrence of a job; all numbers count from 0. */
struct TaskId {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/** Text for logs, "job.occurrence.step.index". */
inline std::string ToString(const TaskId& id) {
  return id.job.value() + "." + std::to_string(id.occurrence) + "." +
         std::to_string(id.step) + "." + std::to_string(id.index);
}

}  // namespace baobab

#endif  // SRC_LIBJOBS_IDS_H_
