#ifndef SRC_LIBSETTINGS_SETTINGS_H_
#define SRC_LIBSETTINGS_SETTINGS_H_

// Public header of libsettings: reads and checks a node's INI settings.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "libdecision/decision.h"

namespace baobab {

/** An IP address and a port; host names are not allowed. */
struct Address {
  std::string ip;
  int port = 0;

  bool operator==(const Address&) const = default;
};

/** Parses "1.2.3.4:80" or "[::1]:80"; empty for any other text, such as a host
 * name or a port outside 1 to 65535. */
std::optional<Address> ParseAddress(std::string_view text);

/** Formats the address so that ParseAddress() accepts it. */
std::string ToString(const Address& address);

/** Another node of the fleet, from section [peers]. */
struct PeerSettings {
  NodeId id;
  DataCentreId data_centre;
  Address address;
};

/** All settings of a node. */
struct Settings {
  NodeConfig node;
  /** Listen address for callers. */
  Address caller;
  /** Listen address for operator commands and metrics. */
  Address control;
  /** Listen address for other nodes. */
  Address peer;
  /** Address of the platform's log service. */
  Address log_service;
  /** Address of the platform's host list. */
  Address host_list;
  std::vector<PeerSettings> peers;
  /** Number of threads of the caller port; each serves one connection. */
  int caller_threads = 256;
  /** Maximum size of a request body. */
  Bytes max_body{1 << 20};
  /** Time between two reads of the host list. */
  Duration host_list_interval{std::chrono::seconds(1)};
  /** Minimum log level: "debug", "info", "warning" or "error". */
  std::string log_level = "info";
  /** Path of the time line, a file of JSON lines; empty for none. */
  std::string timeline_path;
};

/** A missing, unknown or invalid setting. */
struct SettingFault {
  std::string file;
  /** Line number, from 1; 0 if the key or section is missing. */
  int line = 0;
  /** The setting as "section.key". */
  std::string key;
  /** The invalid value, or a description of the fault. */
  std::string found;
  /** Description of the allowed values. */
  std::string allowed;
};

/** Reads and checks a settings file; returns either the settings or all faults
 * of the file. */
tl::expected<Settings, std::vector<SettingFault>> LoadSettings(
    const std::string& path);

/** Formats the fault as "file:line: key: found X, allowed Y". */
std::string ToString(const SettingFault& fault);

}  // namespace baobab

#endif  // SRC_LIBSETTINGS_SETTINGS_H_
