#ifndef SRC_LIBTABLE_SHEETS_H_
#define SRC_LIBTABLE_SHEETS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "libtable/cell.h"
#include "libtable/rows.h"

namespace baobab {

/** The operators' table after all checks passed: typed rows by id. */
struct Table {
  std::map<PoolId, PoolRow> pools;
  std::map<TeamId, TeamRow> teams;
  std::map<QueueId, QueueRow> queues;
  std::map<HostId, HostRow> hosts;

  bool operator==(const Table&) const = default;
};

using CellFaults = std::vector<CellFault>;

/** Parses CSV text with a `[name]` line before each sheet; returns either the
 * table or all faults. */
tl::expected<Table, CellFaults> ParseTable(std::string_view text);

/** Formats the table as canonical CSV text; ParseTable() restores the same
 * table. */
std::string FormatTable(const Table& table);

/** Returns the changes that turn `from` into `to`, ordered by cell. */
std::vector<CellChange> DiffTables(const Table& from, const Table& to);

/** Applies changes without checking their old values. Returns either the new
 * table or all faults: of the result and of changes to unknown cells. */
tl::expected<Table, CellFaults> ApplyChanges(
    const Table& table,
    const std::vector<CellChange>& changes);

/** Returns a cell as FormatTable() writes it; empty if there is no such row,
 * sheet or column. */
std::string CellText(const Table& table, const CellRef& cell);

}  // namespace baobab

#endif  // SRC_LIBTABLE_SHEETS_H_
