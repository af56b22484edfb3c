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

/** A sheet of the table; the value is its index in SheetSchemas(). */
enum class Sheet : std::size_t { kPools, kTeams, kQueues, kHosts };

inline constexpr std::size_t kSheetCount = 4;

/** Name and columns of a sheet; the first column holds the row key. */
struct SheetSchema {
  std::string_view name;
  std::vector<std::string_view> columns;
};

/** Returns the schemas of all sheets, indexed by Sheet. */
const std::array<SheetSchema, kSheetCount>& SheetSchemas();

/** Returns the sheet with this name; empty if there is none. */
std::optional<Sheet> FindSheet(std::string_view name);
/** Returns the index of the column in the schema; empty if there is none. */
std::optional<std::size_t> FindColumn(Sheet sheet, std::string_view column);

/** Cell texts of one row, in the column order of the schema. */
using RowCells = std::vector<std::string>;

/** The table as text: rows by key for each sheet. Values are not checked. */
struct Grid {
  std::array<std::map<std::string, RowCells>, kSheetCount> sheets;

  std::map<std::string, RowCells>& Rows(Sheet sheet) {
    return sheets[static_cast<std::size_t>(sheet)];
  }
  const std::map<std::string, RowCells>& Rows(Sheet sheet) const {
    return sheets[static_cast<std::size_t>(sheet)];
  }
};

// Cell texts of a typed row.
RowCells Cells(const PoolRow& row);
RowCells Cells(const TeamRow& row);
RowCells Cells(const QueueRow& row);
RowCells Cells(const HostRow& row);

/** Converts a table to text. */
Grid ToGrid(const Table& table);

/** Checks all rules and returns the typed table, or `faults` and all faults
 * found here if there are any. */
tl::expected<Table, CellFaults> CheckGrid(const Grid& grid, CellFaults faults);

}  // namespace baobab

#endif  // SRC_LIBTABLE_GRID_H_
