#ifndef SRC_LIBBENCH_BENCH_H_
#define SRC_LIBBENCH_BENCH_H_

// Public header of libbench: measurements of the decisions, in one process.

#include "libbench/capacity.h"
#include "libbench/control_plane.h"
#include "libbench/decisions.h"
#include "libbench/flood.h"

#endif  // SRC_LIBBENCH_BENCH_H_
