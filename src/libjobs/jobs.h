#ifndef SRC_LIBJOBS_JOBS_H_
#define SRC_LIBJOBS_JOBS_H_

// Public header of libjobs: jobs, their tasks, and the scheduling decisions of
// a shard's owner.

#include "libjobs/host_planner.h"
#include "libjobs/pool_division.h"
#include "libjobs/pool_engine.h"

#endif  // SRC_LIBJOBS_JOBS_H_
