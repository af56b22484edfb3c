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

/** The operators' table without faults: typed rows by id. */
struct Table {
  std::map<PoolId, PoolRow> pools;
  std::map<TeamId, TeamRow> teams;
  std::map<QueueId, QueueRow> queues;
  std::map<HostId, HostRow> hosts;

  bool operator==(const Table&) const = default;
};

using CellFaults = std::vector<CellFault>;

/** Parses CSV text with `[sheet]` lines; returns all faults found. */
tl::expected<Table, CellFaults> ParseTable(std::string_view text);

/** Canonical CSV text; ParseTable() gives the same table back. */
std::string FormatTable(const Table& table);

/** The changes that turn `from` into `to`, ordered by cell. */
std::vector<CellChange> DiffTables(const Table& from, const Table& to);

/** Applies changes without regard to their old values; returns all faults of
 * the result and of changes that name an unknown sheet or column. */
tl::expected<Table, CellFaults> ApplyChanges(
    const Table& table,
    const std::vector<CellChange>& changes);

/** Text of a cell as FormatTable() writes it; empty if there is no such row,
 * sheet or column. */
std::string CellText(const Table& table, const CellRef& cell);

}  // namespace baobab

#endif  // SRC_LIBTABLE_SHEETS_H_
