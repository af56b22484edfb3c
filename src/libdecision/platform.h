#ifndef SRC_LIBDECISION_PLATFORM_H_
#define SRC_LIBDECISION_PLATFORM_H_

#include <string>
#include <vector>

#include "libbase/base.h"

namespace baobab {

/** Requests that a minion runs at once; it refuses any more. */
inline constexpr Units kSlotsPerMinion{8};

/** One entry of the platform's host list. */
struct MinionEntry {
  MinionId id;
  ServiceId service;
  /** The host which runs the minion. */
  HostId host;
  /** "ip:port" of the minion's HTTP server. */
  std::string address;
  DataCentreId data_centre;
  bool leaving = false;

  bool operator==(const MinionEntry&) const = default;
};

/** An entry host, as the platform's host list shows it. */
struct EntryHostEntry {
  NodeId id;
  bool leaving = false;

  bool operator==(const EntryHostEntry&) const = default;
};

/** The platform's list of live and leaving hosts; it lags behind reality. */
struct HostList {
  std::vector<MinionEntry> minions;
  std::vector<EntryHostEntry> entry_hosts;

  bool operator==(const HostList&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_PLATFORM_H_
