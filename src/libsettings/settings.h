#ifndef SRC_LIBSETTINGS_SETTINGS_H_
#define SRC_LIBSETTINGS_SETTINGS_H_

// Public header of libsettings: a node's INI settings, checked.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "libdecision/decision.h"

namespace baobab {

/** "ip:port" split; only IP numbers are allowed, no names. */
struct Address {
  std::string ip;
  int port = 0;

  bool operator==(const Address&) const = default;
};

/** Parses "1.2.3.4:80" or "[::1]:80"; empty if the text is anything else, such
 * as a host name or a port outside 1 to 65535. */
std::optional<Address> ParseAddress(std::string_view text);

/** Text that ParseAddress() accepts. */
std::string ToString(const Address& address);

struct PeerSettings {
  NodeId id;
  DataCentreId data_centre;
  Address address;
};

struct Settings {
  NodeConfig node;
  Address caller;
  Address control;
  Address peer;
  Address log_service;
  Address host_list;
  std::vector<PeerSettings> peers;
  /** Threads of the caller port; each serves one open connection. */
  int caller_threads = 256;
  /** Longest request body. */
  Bytes max_body{1 << 20};
  Duration host_list_interval{std::chrono::seconds(1)};
  /** "debug", "info", "warning" or "error". */
  std::string log_level = "info";
  /** File of JSON lines; empty for none. */
  std::string timeline_path;
};

/** A setting that breaks a rule. */
struct SettingFault {
  std::string file;
  /** 1-based; 0 if the key or section is missing. */
  int line = 0;
  /** "section.key". */
  std::string key;
  std::string found;
  std::string allowed;
};

/** Reads and checks a settings file; returns all faults of it at once. */
tl::expected<Settings, std::vector<SettingFault>> LoadSettings(
    const std::string& path);

/** Text for people: "file:line: key: found X, allowed Y". */
std::string ToString(const SettingFault& fault);

}  // namespace baobab

#endif  // SRC_LIBSETTINGS_SETTINGS_H_
