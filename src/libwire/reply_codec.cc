#include <optional>
#include <type_traits>
#include <utility>
#include <variant>

#include "libwire/report_shapes.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr JsonStyle kJsonStyle = JsonStyle::kObject;
constexpr const char* kTableType = "table";

tl::unexpected<Error> Malformed(std::string message) {
  return tl::unexpected(Error{"decode reply", "", std::move(message)});
}

void WriteReply(const TableReply& reply, Json& json) {
  json["type"] = kTableType;
  json["version"] = reply.version.value();
  json["csv"] = FormatTable(reply.table);
}

template <Shaped T>
void WriteReply(const T& reply, Json& json) {
  json["type"] = Shape<T>::kType;
  WriteFields<kJsonStyle>(reply, json);
}

template <Shaped T>
Result<CommandReply> ReadReply(const Json& json) {
  T reply;
  if (!ReadFields<kJsonStyle>(json, reply)) {
    return Malformed(std::string("malformed ") + Shape<T>::kType);
  }
  return reply;
}

Result<CommandReply> ReadTableReply(const Json& json) {
  TableReply reply;
  std::string csv;
  if (!json.contains("version") || !json.contains("csv") ||
      !Read<kJsonStyle>(json.at("version"), reply.version) ||
      !Read<kJsonStyle>(json.at("csv"), csv)) {
    return Malformed("malformed table");
  }
  auto table = ParseTable(csv);
  if (!table) {
    const CellFault fault =
        table.error().empty() ? CellFault{} : table.error().front();
    return Malformed("the table has faults, the first at " + fault.cell.sheet +
                     "/" + fault.cell.row + "/" + fault.cell.column + ": " +
                     fault.rule);
  }
  reply.table = *std::move(table);
  return reply;
}

}  // namespace

std::string EncodeReply(const CommandReply& reply) {
  Json json = Json::object();
  std::visit([&json](const auto& it) { WriteReply(it, json); }, reply);
  return DumpJson(json);
}

Result<CommandReply> DecodeReply(std::string_view text) {
  const auto json = ParseJson(text);
  std::string type;
  if (!json || !json->is_object() || !json->contains("type") ||
      !Read<kJsonStyle>(json->at("type"), type)) {
    return Malformed(
        "not a JSON object with a type, or too large or too deeply nested");
  }
  if (type == kTableType) {
    return ReadTableReply(*json);
  }
  if (type == Shape<StatusReport>::kType) {
    return ReadReply<StatusReport>(*json);
  }
  if (type == Shape<EditReply>::kType) {
    return ReadReply<EditReply>(*json);
  }
  if (type == Shape<HistoryReply>::kType) {
    return ReadReply<HistoryReply>(*json);
  }
  if (type == Shape<Error>::kType) {
    return ReadReply<Error>(*json);
  }
  return Malformed("unknown type \"" + type.substr(0, 64) + "\"");
}

}  // namespace baobab
