// Computes the changes between two tables, and applies changes to a table.

#include <algorithm>
#include <set>

#include "libtable/grid.h"

namespace baobab {
namespace {

/** Adds a change for each cell that differs; an absent row has no cells. */
void DiffRow(Sheet sheet,
             const std::string& key,
             const RowCells& from,
             const RowCells& to,
             std::vector<CellChange>& changes) {
  const auto& schema = SheetSchemas()[static_cast<std::size_t>(sheet)];
  for (std::size_t i = 0; i < schema.columns.size(); ++i) {
    const std::string old_value = from.empty() ? "" : from[i];
    const std::string new_value = to.empty() ? "" : to[i];
    if (old_value != new_value) {
      changes.push_back(
          {{std::string(schema.name), key, std::string(schema.columns[i])},
           old_value,
           new_value});
    }
  }
}

/** Applies changes to a grid and collects the faults of the changes. */
class ChangeApplier {
 public:
  ChangeApplier(Grid& grid, CellFaults& faults)
      : grid_(grid), faults_(faults) {}

  void Apply(const std::vector<CellChange>& changes) {
    std::vector<const CellChange*> cell_changes;
    for (const auto& it : changes) {
      const auto sheet = FindSheet(it.cell.sheet);
      if (!sheet) {
        AddFault(it, "sheet: pools, teams, queues or hosts");
        continue;
      }
      const auto column = FindColumn(*sheet, it.cell.column);
      if (!column) {
        AddFault(it, "column: one of the sheet's columns");
      } else if (!changed_cells_.insert(it.cell).second) {
        AddFault(it, "cell: changed once by an edit");
      } else if (*column == 0) {
        ChangeKey(it, *sheet);
      } else {
        cell_changes.push_back(&it);
      }
    }
    // Rows are added and removed before other cells are changed, so that the
    // order of the changes does not matter.
    for (const auto* it : cell_changes) {
      ChangeCell(*it);
    }
  }

 private:
  void ChangeKey(const CellChange& change, Sheet sheet) {
    auto& rows = grid_.Rows(sheet);
    const std::string& key = change.cell.row;
    if (change.new_value.empty()) {
      if (rows.erase(key) == 0) {
        AddFault(change, "row: present, to be removed");
      }
      removed_rows_.insert({change.cell.sheet, key});
    } else if (change.new_value != key) {
      AddFault(change, "row key: unchanged; remove the row and add another");
    } else {
      RowCells cells(
          SheetSchemas()[static_cast<std::size_t>(sheet)].columns.size());
      cells.front() = key;
      rows.emplace(key, std::move(cells));
    }
  }

  void ChangeCell(const CellChange& change) {
    const Sheet sheet = *FindSheet(change.cell.sheet);
    auto& rows = grid_.Rows(sheet);
    const auto row = rows.find(change.cell.row);
    if (row != rows.end()) {
      row->second[*FindColumn(sheet, change.cell.column)] = change.new_value;
    } else if (!removed_rows_.contains({change.cell.sheet, change.cell.row}) ||
               !change.new_value.empty()) {
      AddFault(change, "row: present, or added by the edit");
    }
  }

  void AddFault(const CellChange& change, std::string rule) {
    faults_.push_back({change.cell, change.new_value, std::move(rule)});
  }

  Grid& grid_;
  CellFaults& faults_;
  std::set<CellRef> changed_cells_;
  std::set<std::pair<std::string, std::string>> removed_rows_;
};

}  // namespace

std::vector<CellChange> DiffTables(const Table& from, const Table& to) {
  const Grid old_grid = ToGrid(from);
  const Grid new_grid = ToGrid(to);
  std::vector<CellChange> changes;
  for (std::size_t i = 0; i < kSheetCount; ++i) {
    const auto sheet = static_cast<Sheet>(i);
    const auto& old_rows = old_grid.sheets[i];
    const auto& new_rows = new_grid.sheets[i];
    for (const auto& [key, cells] : old_rows) {
      const auto it = new_rows.find(key);
      // A removal lists all cells of the row, so that it conflicts with a
      // concurrent edit of any of them.
      DiffRow(sheet, key, cells, it == new_rows.end() ? RowCells() : it->second,
              changes);
    }
    for (const auto& [key, cells] : new_rows) {
      if (!old_rows.contains(key)) {
        DiffRow(sheet, key, {}, cells, changes);
      }
    }
  }
  std::sort(changes.begin(), changes.end(),
            [](const auto& a, const auto& b) { return a.cell < b.cell; });
  return changes;
}

tl::expected<Table, CellFaults> ApplyChanges(
    const Table& table,
    const std::vector<CellChange>& changes) {
  Grid grid = ToGrid(table);
  CellFaults faults;
  ChangeApplier(grid, faults).Apply(changes);
  return CheckGrid(grid, std::move(faults));
}

}  // namespace baobab
