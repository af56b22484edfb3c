#include "libwire/record_shapes.h"
#include "libwire/wire.h"

namespace baobab {

std::string EncodeEdit(const TableEdit& edit) {
  return DumpJson(Write<JsonStyle::kObject>(edit));
}

Result<TableEdit> DecodeEdit(std::string_view text) {
  const auto json = ParseJson(text);
  if (!json) {
    return tl::unexpected(
        Error{"decode edit", "",
              "not valid JSON, or too large or too deeply nested"});
  }
  TableEdit edit;
  if (!Read<JsonStyle::kObject>(*json, edit)) {
    return tl::unexpected(
        Error{"decode edit", "",
              "expected id, author, base and changes with cell (sheet, row, "
              "column), old and new"});
  }
  return edit;
}

}  // namespace baobab
