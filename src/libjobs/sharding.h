#ifndef SRC_LIBJOBS_SHARDING_H_
#define SRC_LIBJOBS_SHARDING_H_

#include "libjobs/ids.h"

namespace baobab {

/** Returns the shard to which the workers and queues of a service belong.
 * Depends on the arguments only, so that all nodes and releases agree. */
ShardId ShardOf(const ServiceId& service, int shards);

/** Shard whose owner also plans the moves and the maintenance of hosts. */
inline const ShardId kPlannerShard{0};

}  // namespace baobab

#endif  // SRC_LIBJOBS_SHARDING_H_
