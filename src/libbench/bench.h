#ifndef SRC_LIBBENCH_BENCH_H_
#define SRC_LIBBENCH_BENCH_H_

// Public header of libbench: benchmarks of the decision code in one process.

#include "libbench/capacity.h"
#include "libbench/control_plane.h"
#include "libbench/decisions.h"
#include "libbench/flood.h"

#endif  // SRC_LIBBENCH_BENCH_H_
