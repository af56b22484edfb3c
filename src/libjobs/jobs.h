#ifndef SRC_LIBJOBS_JOBS_H_
#define SRC_LIBJOBS_JOBS_H_

// Public header of libjobs: jobs, their tasks, and the decisions of the owner
// of a shard on jobs and workers.

#include "libjobs/host_planner.h"
#include "libjobs/pool_engine.h"

#endif  // SRC_LIBJOBS_JOBS_H_
