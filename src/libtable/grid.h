#ifndef SRC_LIBTABLE_GRID_H_
#define SRC_LIBTABLE_GRID_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libtable/sheets.h"

namespace baobab {

enum class Sheet : std::size_t { kPools, kTeams, kQueues, kHosts };

inline constexpr std::size_t kSheetCount = 4;

/** Name and columns of a sheet; the first column holds the row key. */
struct SheetSchema {
  std::string_view name;
  std::vector<std::string_view> columns;
};

const std::array<SheetSchema, kSheetCount>& SheetSchemas();

std::optional<Sheet> FindSheet(std::string_view name);
std::optional<std::size_t> FindColumn(Sheet sheet, std::string_view column);

/** Texts of one row in the order of the columns. */
using RowCells = std::vector<std::string>;

/** A table as text, possibly with faults. */
struct Grid {
  std::array<std::map<std::string, RowCells>, kSheetCount> sheets;

  std::map<std::string, RowCells>& Rows(Sheet sheet) {
    return sheets[static_cast<std::size_t>(sheet)];
  }
  const std::map<std::string, RowCells>& Rows(Sheet sheet) const {
    return sheets[static_cast<std::size_t>(sheet)];
  }
};

RowCells Cells(const PoolRow& row);
RowCells Cells(const TeamRow& row);
RowCells Cells(const QueueRow& row);
RowCells Cells(const HostRow& row);

Grid ToGrid(const Table& table);

/** Checks all rules; adds the faults to those found earlier. */
tl::expected<Table, CellFaults> CheckGrid(const Grid& grid, CellFaults faults);

}  // namespace baobab

#endif  // SRC_LIBTABLE_GRID_H_
