#ifndef SRC_LIBJOBS_SHARDING_H_
#define SRC_LIBJOBS_SHARDING_H_

#include "libjobs/ids.h"

namespace baobab {

/** The shard to which the workers and queues of a service belong. It depends
 * on nothing else, so that all nodes and releases agree. */
ShardId ShardOf(const ServiceId& service, int shards);

/** The shard whose owner also plans moves and maintenance of hosts. */
inline const ShardId kPlannerShard{0};

}  // namespace baobab

#endif  // SRC_LIBJOBS_SHARDING_H_
