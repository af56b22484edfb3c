#ifndef SRC_LIBDECISION_NODE_CONFIG_H_
#define SRC_LIBDECISION_NODE_CONFIG_H_

#include <vector>

#include "libbase/base.h"

namespace baobab {

/** Another node, as named in the settings. */
struct PeerConfig {
  NodeId id;
  DataCentreId data_centre;
};

/** Settings of a node. */
struct NodeConfig {
  NodeId id;
  /** Number of this process; higher than that of any earlier one. */
  Incarnation incarnation;
  DataCentreId data_centre;
  /** All other nodes, whether they run or not. */
  std::vector<PeerConfig> peers;
  /** Timeout of one call to a minion. */
  Duration request_timeout{std::chrono::seconds(30)};
  /** Maximum total size of the request bodies waiting on this node. */
  Bytes backlog_bytes{16 << 20};
  /** Maximum number of waiting requests per queue on this node. */
  std::int64_t backlog_requests = 2000;
  /** Retention time of log records. */
  Duration log_retention{std::chrono::hours(24)};
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_NODE_CONFIG_H_
