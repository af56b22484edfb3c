#include <utility>

#include "libwire/shape.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr JsonStyle kJsonStyle = JsonStyle::kObject;

tl::unexpected<Error> Malformed(const char* step, std::string message) {
  return tl::unexpected(Error{step, "", std::move(message)});
}

/** Reads a required member; fails if it is missing or malformed. */
template <typename T>
bool ReadMember(const Json& json, const char* name, T& value) {
  const auto it = json.find(name);
  return it != json.end() && Read<kJsonStyle>(*it, value);
}

/** Reads the member "state"; fails unless it is "live" or "leaving". */
bool ReadLeavingState(const Json& json, bool& leaving) {
  std::string state;
  if (!ReadMember(json, "state", state)) {
    return false;
  }
  leaving = state == "leaving";
  return leaving || state == "live";
}

bool ReadMinion(const Json& json, MinionEntry& minion) {
  if (!ReadMember(json, "id", minion.id) ||
      !ReadMember(json, "service", minion.service) ||
      !ReadMember(json, "address", minion.address) ||
      !ReadMember(json, "data_centre", minion.data_centre) ||
      !ReadLeavingState(json, minion.leaving)) {
    return false;
  }
  // A platform with one minion on each host lists the host as the minion.
  if (!json.contains("host")) {
    minion.host = HostId(minion.id.value());
  } else if (!ReadMember(json, "host", minion.host)) {
    return false;
  }
  return !minion.id.value().empty() && !minion.address.empty();
}

bool ReadEntryHost(const Json& json, EntryHostEntry& host) {
  return ReadMember(json, "id", host.id) &&
         ReadLeavingState(json, host.leaving);
}

}  // namespace

Result<HostList> DecodeHostList(std::string_view text) {
  constexpr const char* kStep = "decode host list";
  const auto json = ParseJson(text);
  if (!json || !json->is_object() || !json->contains("hosts") ||
      !json->at("hosts").is_array()) {
    return Malformed(kStep, "expected {\"hosts\":[...]}");
  }
  HostList list;
  std::size_t n = 0;
  for (const auto& it : json->at("hosts")) {
    std::string kind;
    bool ok = it.is_object() && ReadMember(it, "kind", kind);
    if (ok && kind == "minion") {
      ok = ReadMinion(it, list.minions.emplace_back());
    } else if (ok && kind == "entry") {
      ok = ReadEntryHost(it, list.entry_hosts.emplace_back());
    }
    if (!ok) {
      return Malformed(kStep, "malformed entry " + std::to_string(n));
    }
    ++n;
  }
  return list;
}

Result<LogRead> DecodeLogRead(std::string_view text) {
  constexpr const char* kStep = "decode log read";
  const auto json = ParseJson(text);
  LogRead read;
  if (!json || !json->is_object() || !ReadMember(*json, "first", read.first) ||
      !ReadMember(*json, "next", read.next) || !json->contains("records") ||
      !json->at("records").is_array()) {
    return Malformed(kStep, "expected first, next and records");
  }
  for (const auto& it : json->at("records")) {
    LogEntry entry;
    std::string body;
    if (!it.is_object() || !ReadMember(it, "offset", entry.offset) ||
        !ReadMember(it, "body", body)) {
      return Malformed(
          kStep, "malformed record " + std::to_string(read.entries.size()));
    }
    if (entry.offset < read.first || entry.offset >= read.next ||
        (!read.entries.empty() && entry.offset <= read.entries.back().offset)) {
      return Malformed(kStep, "offset " + std::to_string(entry.offset.value()) +
                                  " is out of order");
    }
    entry.record = DecodeRecord(body);
    read.entries.push_back(std::move(entry));
  }
  return read;
}

}  // namespace baobab
