#ifndef SRC_LIBDECISION_NODE_CONFIG_H_
#define SRC_LIBDECISION_NODE_CONFIG_H_

#include <vector>

#include "libbase/base.h"

namespace baobab {

/** A peer named in the settings. */
struct PeerConfig {
  NodeId id;
  DataCentreId data_centre;
};

/** What a node learns from its settings. */
struct NodeConfig {
  NodeId id;
  Incarnation incarnation;
  DataCentreId data_centre;
  /** All other nodes, live or not. */
  std::vector<PeerConfig> peers;
  /** Longest time of one call of a minion. */
  Duration request_timeout{std::chrono::seconds(30)};
  /** Most bytes of request bodies that wait on this node. */
  Bytes backlog_bytes{16 << 20};
  /** Most waiting requests of a queue on this node. */
  std::int64_t backlog_requests = 2000;
  /** Time for which the log keeps records. */
  Duration log_retention{std::chrono::hours(24)};
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_NODE_CONFIG_H_
