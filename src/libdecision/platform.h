#ifndef SRC_LIBDECISION_PLATFORM_H_
#define SRC_LIBDECISION_PLATFORM_H_

#include <string>
#include <vector>

#include "libbase/base.h"

namespace baobab {

/** Number of requests that a minion runs concurrently; it refuses more. */
inline constexpr Units kSlotsPerMinion{8};

/** A minion in the platform's host list. */
struct MinionEntry {
  MinionId id;
  ServiceId service;
  /** Host that runs the minion. */
  HostId host;
  /** "ip:port" of the minion's HTTP server. */
  std::string address;
  DataCentreId data_centre;
  bool leaving = false;

  bool operator==(const MinionEntry&) const = default;
};

/** A host that runs a node of this service, in the platform's host list. */
struct EntryHostEntry {
  NodeId id;
  bool leaving = false;

  bool operator==(const EntryHostEntry&) const = default;
};

/** The platform's list of live and leaving hosts; it may be out of date. */
struct HostList {
  std::vector<MinionEntry> minions;
  std::vector<EntryHostEntry> entry_hosts;

  bool operator==(const HostList&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_PLATFORM_H_
