#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "libwire/record_shapes.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr JsonStyle kJsonStyle = JsonStyle::kObject;

/** Reads a member; `value` stays unchanged if it is missing or malformed. */
template <typename T>
void ReadMember(const Json& json, const char* name, T& value) {
  if (const auto it = json.find(name); it != json.end()) {
    T found;
    if (Read<kJsonStyle>(*it, found)) {
      value = std::move(found);
    }
  }
}

/** Returns whether `type` names T; if so, sets `body` unless it is malformed.
 */
template <typename T>
bool ReadBody(const std::string& type,
              const Json& json,
              std::optional<RecordBody>& body) {
  if (type != Shape<T>::kType) {
    return false;
  }
  T value;
  if (ReadFields<kJsonStyle>(json, value)) {
    body = std::move(value);
  }
  return true;
}

template <std::size_t... I>
RecordBody ReadBodyOfType(const std::string& type,
                          const Json& json,
                          std::index_sequence<I...>) {
  std::optional<RecordBody> body;
  const bool known =
      (ReadBody<std::variant_alternative_t<I, RecordBody>>(type, json, body) ||
       ...);
  if (!known) {
    return UnknownRecord{"unknown type \"" + type.substr(0, 64) + "\""};
  }
  if (!body) {
    return UnknownRecord{"malformed " + type};
  }
  return *std::move(body);
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  Json json = Json::object();
  json["format"] = record.format;
  json["writer"] = Write<kJsonStyle>(record.writer);
  json["sequence"] = record.sequence.value();
  json["wall_ms"] = record.wall_ms;
  std::visit(
      [&json](const auto& body) {
        json["type"] = Shape<std::decay_t<decltype(body)>>::kType;
        WriteFields<kJsonStyle>(body, json);
      },
      record.body);
  return DumpJson(json);
}

Record DecodeRecord(std::string_view text) {
  Record record;
  const auto json = ParseJson(text);
  if (!json || !json->is_object()) {
    record.body = UnknownRecord{"not a JSON object"};
    return record;
  }
  record.format = 0;
  ReadMember(*json, "format", record.format);
  ReadMember(*json, "writer", record.writer);
  ReadMember(*json, "sequence", record.sequence);
  ReadMember(*json, "wall_ms", record.wall_ms);
  if (record.format == 0) {
    record.body = UnknownRecord{"no valid format"};
    return record;
  }
  if (record.format > kRecordFormat) {
    record.body =
        UnknownRecord{"format " + std::to_string(record.format) +
                      " is newer than " + std::to_string(kRecordFormat)};
    return record;
  }
  Record required;
  if (!json->contains("writer") || !json->contains("sequence") ||
      !Read<kJsonStyle>(json->at("writer"), required.writer) ||
      !Read<kJsonStyle>(json->at("sequence"), required.sequence)) {
    record.body = UnknownRecord{"no valid writer or sequence"};
    return record;
  }
  std::string type;
  ReadMember(*json, "type", type);
  record.body = ReadBodyOfType(
      type, *json, std::make_index_sequence<std::variant_size_v<RecordBody>>());
  return record;
}

}  // namespace baobab
