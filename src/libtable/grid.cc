#include "libtable/grid.h"

#include <algorithm>

namespace baobab {
namespace {

std::string ToText(std::int64_t value) {
  return std::to_string(value);
}

std::string ToText(Urgency urgency) {
  return urgency == Urgency::kUrgent ? "urgent" : "batch";
}

std::string ToText(Maintenance maintenance) {
  switch (maintenance) {
    case Maintenance::kNone:
      return "";
    case Maintenance::kWanted:
      return "wanted";
    case Maintenance::kDrain:
      return "drain";
  }
  return "";
}

template <typename Rows>
void AppendRows(const Rows& rows, std::map<std::string, RowCells>& out) {
  for (const auto& [id, row] : rows) {
    out.emplace(id.value(), Cells(row));
  }
}

}  // namespace

const std::array<SheetSchema, kSheetCount>& SheetSchemas() {
  static const std::array<SheetSchema, kSheetCount> schemas = {{
      {"pools",
       {"pool", "weight", "limit", "min_hosts", "availability_budget"}},
      {"teams", {"team", "quota"}},
      {"queues",
       {"queue", "service", "team", "pool", "urgency", "weight", "limit",
        "deadline_ms"}},
      {"hosts", {"host", "rack", "data_centre", "pool", "maintenance"}},
  }};
  return schemas;
}

std::optional<Sheet> FindSheet(std::string_view name) {
  const auto& schemas = SheetSchemas();
  for (std::size_t i = 0; i < schemas.size(); ++i) {
    if (schemas[i].name == name) {
      return static_cast<Sheet>(i);
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> FindColumn(Sheet sheet, std::string_view column) {
  const auto& columns = SheetSchemas()[static_cast<std::size_t>(sheet)].columns;
  const auto it = std::find(columns.begin(), columns.end(), column);
  if (it == columns.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - columns.begin());
}

RowCells Cells(const PoolRow& row) {
  return {row.id.value(), ToText(row.weight.value()), ToText(row.limit.value()),
          ToText(row.min_hosts.value()),
          ToText(row.availability_budget.value())};
}

RowCells Cells(const TeamRow& row) {
  return {row.id.value(), ToText(row.quota.value())};
}

RowCells Cells(const QueueRow& row) {
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(row.deadline);
  return {row.id.value(),
          row.service.value(),
          row.team.value(),
          row.pool.value(),
          ToText(row.urgency),
          ToText(row.weight.value()),
          ToText(row.limit.value()),
          ToText(deadline.count())};
}

RowCells Cells(const HostRow& row) {
  return {row.id.value(), row.rack.value(), row.data_centre.value(),
          row.pool.value(), ToText(row.maintenance)};
}

Grid ToGrid(const Table& table) {
  Grid grid;
  AppendRows(table.pools, grid.Rows(Sheet::kPools));
  AppendRows(table.teams, grid.Rows(Sheet::kTeams));
  AppendRows(table.queues, grid.Rows(Sheet::kQueues));
  AppendRows(table.hosts, grid.Rows(Sheet::kHosts));
  return grid;
}

}  // namespace baobab
