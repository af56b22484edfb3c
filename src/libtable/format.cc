#include "libtable/grid.h"

namespace baobab {
namespace {

// Writes no quotes: a value that passes the rules has no comma or quote.
template <typename Cells>
void AppendCsvLine(const Cells& cells, std::string& text) {
  bool first = true;
  for (const auto& it : cells) {
    text += first ? "" : ",";
    text += it;
    first = false;
  }
  text += '\n';
}

/** Returns the cells of a row; empty if the sheet has no such row. */
std::optional<RowCells> FindRow(const Table& table,
                                Sheet sheet,
                                const std::string& key) {
  const auto find = [](const auto& rows,
                       const auto& id) -> std::optional<RowCells> {
    const auto it = rows.find(id);
    return it == rows.end() ? std::nullopt
                            : std::optional<RowCells>(Cells(it->second));
  };
  switch (sheet) {
    case Sheet::kPools:
      return find(table.pools, PoolId(key));
    case Sheet::kTeams:
      return find(table.teams, TeamId(key));
    case Sheet::kQueues:
      return find(table.queues, QueueId(key));
    case Sheet::kHosts:
      return find(table.hosts, HostId(key));
  }
  return std::nullopt;
}

}  // namespace

std::string FormatTable(const Table& table) {
  const Grid grid = ToGrid(table);
  std::string text;
  for (std::size_t i = 0; i < kSheetCount; ++i) {
    text += i == 0 ? "[" : "\n[";
    text += SheetSchemas()[i].name;
    text += "]\n";
    AppendCsvLine(SheetSchemas()[i].columns, text);
    for (const auto& [key, cells] : grid.sheets[i]) {
      AppendCsvLine(cells, text);
    }
  }
  return text;
}

std::string CellText(const Table& table, const CellRef& cell) {
  const auto sheet = FindSheet(cell.sheet);
  if (!sheet) {
    return "";
  }
  const auto column = FindColumn(*sheet, cell.column);
  const auto row = FindRow(table, *sheet, cell.row);
  return column && row ? (*row)[*column] : "";
}

}  // namespace baobab
