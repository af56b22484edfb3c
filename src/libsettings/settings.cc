#include "libsettings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <system_error>
#include <utility>

#include "libsettings/ini_file.h"

namespace baobab {

namespace {

constexpr const char* kPeersSection = "peers";
constexpr const char* kIdRule =
    "1 to 64 letters, digits, '-' or '_', starting with a letter or digit";
constexpr const char* kAddressRule =
    "IP number and port, such as 10.0.0.1:8080 or [fd00::1]:8080; no host name";

/** Keys of each section, except [peers], whose keys are node ids. */
const std::map<std::string, std::vector<std::string>>& KnownKeysBySection() {
  static const std::map<std::string, std::vector<std::string>> keys = {
      {"node", {"id", "data_centre"}},
      {"listen", {"caller", "control", "peer"}},
      {"platform", {"log_service", "host_list", "log_retention_hours"}},
      {kPeersSection, {}},
      {"limits",
       {"caller_threads", "max_body_kb", "backlog_requests", "backlog_mb",
        "request_timeout_ms"}},
      {"observe", {"log_level", "timeline_path"}}};
  return keys;
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const auto& it : words) {
    text += (text.empty() ? "" : ", ") + it;
  }
  return text;
}

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

// Dots are not allowed: they would make an idempotency key ambiguous.
bool IsValidId(const std::string& text) {
  return !text.empty() && text.size() <= 64 && IsAlphanumeric(text.front()) &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsAlphanumeric(c) || c == '-' || c == '_';
         });
}

/** Converts the entries of a file to Settings and collects all faults. */
class SettingsChecker {
 public:
  explicit SettingsChecker(std::string path) : path_(std::move(path)) {}

  void Check(const IniFile& file) {
    faults_ = file.faults;
    CheckSections(file);
    IndexEntries(file);
    ReadNode();
    ReadPlatform();
    ReadLimits();
    ReadObserve();
    for (const auto& it : peer_entries_) {
      ReadPeer(it);
    }
    CheckAddresses();
    std::stable_sort(
        faults_.begin(), faults_.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
  }

  const std::vector<SettingFault>& faults() const { return faults_; }
  const Settings& settings() const { return settings_; }

 private:
  void AddFault(int line,
                const std::string& key,
                const std::string& found,
                const std::string& allowed) {
    faults_.push_back({path_, line, key, found, allowed});
  }

  void CheckSections(const IniFile& file) {
    std::vector<std::string> section_names;
    for (const auto& [name, keys] : KnownKeysBySection()) {
      section_names.push_back("[" + name + "]");
    }
    for (const auto& it : file.sections) {
      if (!KnownKeysBySection().contains(it.name)) {
        AddFault(it.line, it.name, "unknown section [" + it.name + "]",
                 Join(section_names));
      }
    }
  }

  void IndexEntries(const IniFile& file) {
    for (const auto& it : file.entries) {
      const std::string name = it.section + "." + it.key;
      const auto known = KnownKeysBySection().find(it.section);
      if (known == KnownKeysBySection().end()) {
        if (it.section.empty()) {
          AddFault(it.line, it.key, "key before the first section",
                   "keys only below a [section] line");
        }
        continue;
      }
      const auto& keys = known->second;
      if (it.section != kPeersSection &&
          std::find(keys.begin(), keys.end(), it.key) == keys.end()) {
        AddFault(it.line, name, "unknown key", Join(keys));
        continue;
      }
      const auto [first, added] = entries_by_name_.emplace(name, it);
      if (!added) {
        AddFault(it.line, name, "duplicate key or continued line",
                 "one line for each key; the first is line " +
                     std::to_string(first->second.line));
      } else if (it.section == kPeersSection) {
        peer_entries_.push_back(it);
      }
    }
  }

  /** Returns the entry or null; adds a fault if a required key is missing. */
  const IniEntry* FindEntry(const std::string& name, bool required) {
    const auto it = entries_by_name_.find(name);
    if (it != entries_by_name_.end()) {
      return &it->second;
    }
    if (required) {
      AddFault(0, name, "missing key", "one line with this key");
    }
    return nullptr;
  }

  template <typename Id>
  void ReadId(const std::string& name, Id& id) {
    if (const IniEntry* it = FindEntry(name, true)) {
      if (!IsValidId(it->value)) {
        AddFault(it->line, name, it->value, kIdRule);
      }
      id = Id(it->value);
    }
  }

  void ReadAddress(const std::string& name, Address& address) {
    const IniEntry* it = FindEntry(name, true);
    if (it == nullptr) {
      return;
    }
    if (const auto found = ParseAddress(it->value)) {
      address = *found;
    } else {
      AddFault(it->line, name, it->value, kAddressRule);
    }
  }

  /** Reads a whole number; `value` stays unchanged if the key is missing. */
  void ReadNumber(const std::string& name,
                  const std::string& unit,
                  std::int64_t min,
                  std::int64_t max,
                  std::int64_t& value) {
    const IniEntry* it = FindEntry(name, false);
    if (it == nullptr) {
      return;
    }
    std::int64_t found = 0;
    const char* last = it->value.data() + it->value.size();
    const auto [end, ec] = std::from_chars(it->value.data(), last, found);
    if (ec != std::errc() || end != last || found < min || found > max) {
      AddFault(it->line, name, it->value,
               "whole number of " + unit + " from " + std::to_string(min) +
                   " to " + std::to_string(max) + ", without a unit");
      return;
    }
    value = found;
  }

  void ReadNode() {
    ReadId("node.id", settings_.node.id);
    ReadId("node.data_centre", settings_.node.data_centre);
    ReadAddress("listen.caller", settings_.caller);
    ReadAddress("listen.control", settings_.control);
    ReadAddress("listen.peer", settings_.peer);
  }

  void ReadPlatform() {
    ReadAddress("platform.log_service", settings_.log_service);
    ReadAddress("platform.host_list", settings_.host_list);
    std::int64_t hours = 24;
    ReadNumber("platform.log_retention_hours", "hours", 1, 8760, hours);
    settings_.node.log_retention = std::chrono::hours(hours);
  }

  void ReadLimits() {
    std::int64_t threads = settings_.caller_threads;
    ReadNumber("limits.caller_threads", "threads", 1, 4096, threads);
    settings_.caller_threads = static_cast<int>(threads);

    std::int64_t body_kb = settings_.max_body.value() / 1024;
    ReadNumber("limits.max_body_kb", "kibibytes", 1, 65536, body_kb);
    settings_.max_body = Bytes(body_kb * 1024);

    ReadNumber("limits.backlog_requests", "requests", 1, 100000,
               settings_.node.backlog_requests);

    std::int64_t backlog_mb = settings_.node.backlog_bytes.value() >> 20;
    ReadNumber("limits.backlog_mb", "mebibytes", 1, 1024, backlog_mb);
    settings_.node.backlog_bytes = Bytes(backlog_mb << 20);

    std::int64_t timeout_ms = settings_.node.request_timeout.count() / 1000;
    ReadNumber("limits.request_timeout_ms", "milliseconds", 100, 600000,
               timeout_ms);
    settings_.node.request_timeout = std::chrono::milliseconds(timeout_ms);

    if (settings_.max_body > settings_.node.backlog_bytes) {
      const IniEntry* it = FindEntry("limits.max_body_kb", false);
      AddFault(it == nullptr ? 0 : it->line, "limits.max_body_kb",
               std::to_string(body_kb),
               "at most the " + std::to_string(backlog_mb * 1024) +
                   " kibibytes of backlog_mb, or the longest body could never "
                   "be accepted");
    }
  }

  void ReadObserve() {
    static constexpr std::array<const char*, 4> kLogLevels = {
        "debug", "info", "warning", "error"};
    if (const IniEntry* it = FindEntry("observe.log_level", false)) {
      if (std::find(kLogLevels.begin(), kLogLevels.end(), it->value) ==
          kLogLevels.end()) {
        AddFault(it->line, "observe.log_level", it->value,
                 "debug, info, warning or error");
      }
      settings_.log_level = it->value;
    }
    if (const IniEntry* it = FindEntry("observe.timeline_path", false)) {
      settings_.timeline_path = it->value;
    }
  }

  void ReadPeer(const IniEntry& entry) {
    const std::string name = std::string(kPeersSection) + "." + entry.key;
    if (!IsValidId(entry.key)) {
      AddFault(entry.line, name, entry.key, kIdRule);
    }
    if (entry.key == settings_.node.id.value()) {
      AddFault(entry.line, name, "the node's own id",
               "ids of other nodes only");
    }
    const std::string_view value = entry.value;
    const auto space = value.find_first_of(" \t");
    const auto at = value.find_first_not_of(" \t", space);
    const std::string data_centre(value.substr(0, space));
    const auto address = at == std::string_view::npos
                             ? std::nullopt
                             : ParseAddress(value.substr(at));
    if (!IsValidId(data_centre) || !address) {
      AddFault(entry.line, name, entry.value,
               std::string("data centre, a space, then ") + kAddressRule);
      return;
    }
    settings_.peers.push_back(
        {NodeId(entry.key), DataCentreId(data_centre), *address});
    settings_.node.peers.push_back(
        {NodeId(entry.key), DataCentreId(data_centre)});
  }

  /** Adds a fault for each address that two servers share. */
  void CheckAddresses() {
    std::vector<std::pair<std::string, Address>> named_addresses = {
        {"listen.caller", settings_.caller},
        {"listen.control", settings_.control},
        {"listen.peer", settings_.peer},
        {"platform.log_service", settings_.log_service},
        {"platform.host_list", settings_.host_list}};
    for (const auto& it : settings_.peers) {
      named_addresses.emplace_back(
          std::string(kPeersSection) + "." + it.id.value(), it.address);
    }
    std::map<std::string, std::string> name_by_address;
    for (const auto& [name, address] : named_addresses) {
      // Port 0 marks an address that is missing or faulty. One server may be
      // both log service and host list.
      if (address.port == 0) {
        continue;
      }
      const auto [first, added] =
          name_by_address.emplace(ToString(address), name);
      const bool may_share = name == "platform.host_list" &&
                             first->second == "platform.log_service";
      if (!added && !may_share) {
        AddFault(entries_by_name_.at(name).line, name, ToString(address),
                 "an address other than that of " + first->second);
      }
    }
  }

  const std::string path_;
  std::map<std::string, IniEntry> entries_by_name_;
  std::vector<IniEntry> peer_entries_;
  std::vector<SettingFault> faults_;
  Settings settings_;
};

}  // namespace

tl::expected<Settings, std::vector<SettingFault>> LoadSettings(
    const std::string& path) {
  const auto file = ReadIniFile(path);
  if (!file) {
    return tl::unexpected(std::vector<SettingFault>{
        {path, 0, "", "no readable file", "an INI file of at most 1 MiB"}});
  }
  SettingsChecker checker(path);
  checker.Check(*file);
  if (!checker.faults().empty()) {
    return tl::unexpected(checker.faults());
  }
  return checker.settings();
}

std::string ToString(const SettingFault& fault) {
  std::string text = fault.file + ":" + std::to_string(fault.line) + ": ";
  if (!fault.key.empty()) {
    text += fault.key + ": ";
  }
  return text + "found " + fault.found + ", allowed " + fault.allowed;
}

}  // namespace baobab
