#include "baobabfront/edit_plan.h"

#include <map>
#include <random>
#include <utility>

#include <fmt/format.h>

namespace baobab {

namespace {

std::string QuoteIfEmpty(const std::string& value) {
  return value.empty() ? "\"\"" : value;
}

}  // namespace

EditPlan PlanEdit(const Table& base,
                  const Table& desired,
                  const Table& current) {
  EditPlan plan;
  for (auto& it : DiffTables(base, desired)) {
    if (CellText(current, it.cell) == it.new_value) {
      ++plan.already_applied;
    } else {
      plan.changes.push_back(std::move(it));
    }
  }
  return plan;
}

Result<Table> TableAtVersion(const TableReply& current,
                             const HistoryReply& history,
                             TableVersion version) {
  const std::string step = "find version " + std::to_string(version.value());
  if (version > current.version) {
    return tl::unexpected(Error{
        step, "",
        "the present version is " + std::to_string(current.version.value())});
  }
  std::map<TableVersion, const HistoryEntry*> edits;
  for (const auto& it : history.entries) {
    edits[it.version] = &it;
  }
  Table table = current.table;
  for (auto n = current.version.value(); n > version.value(); --n) {
    const auto it = edits.find(TableVersion(n));
    if (it == edits.end()) {
      return tl::unexpected(Error{
          step, "",
          fmt::format("the history no longer holds the edit of version {}; "
                      "name the file you started from as the base",
                      n)});
    }
    std::vector<CellChange> undo = it->second->changes;
    for (auto& change : undo) {
      std::swap(change.old_value, change.new_value);
    }
    auto before = ApplyChanges(table, undo);
    if (!before) {
      return tl::unexpected(Error{
          step, "", fmt::format("cannot undo the edit of version {}", n)});
    }
    table = *std::move(before);
  }
  return table;
}

EditId MakeEditId() {
  std::random_device random;
  std::string text;
  for (int n = 0; n < 4; ++n) {
    text += fmt::format("{:08x}", random());
  }
  return EditId(text);
}

std::string ToString(const CellChange& change) {
  return fmt::format("{}/{}/{}: {} -> {}", change.cell.sheet, change.cell.row,
                     change.cell.column, QuoteIfEmpty(change.old_value),
                     QuoteIfEmpty(change.new_value));
}

}  // namespace baobab
