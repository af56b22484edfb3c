#ifndef SRC_LIBFLEET_FLEET_H_
#define SRC_LIBFLEET_FLEET_H_

// Public header of libfleet: a node that owns shards of the job state, and the
// interfaces through which it reaches the platform.

#include "libfleet/fleet_node.h"
#include "libfleet/job_interface.h"

#endif  // SRC_LIBFLEET_FLEET_H_
