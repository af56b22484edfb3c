// Checks the rules of the table: those of single cells, then those across rows.
// A rule across rows is skipped if a cell that it needs has a fault.

#include <algorithm>
#include <charconv>
#include <set>

#include "libtable/grid.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxIdLength = 64;
constexpr std::int64_t kMaxWeight = 1000;
// Limits far above any real fleet, but low enough that sums cannot overflow.
constexpr std::int64_t kMaxUnits = 1'000'000;
constexpr std::int64_t kMaxHosts = 100'000;
constexpr std::int64_t kMinDeadlineMs = 50;
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;

bool IsValidId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                  c == '.' || c == '_' || c == '-';
         });
}

/** Parses a decimal number without sign, space or leading zero; empty for any
 * other text. */
std::optional<std::int64_t> ParseNumber(std::string_view text) {
  if (text.empty() || text.front() == '-' ||
      (text.size() > 1 && text.front() == '0')) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

/** Reads the cells of one row and collects their faults. */
class RowReader {
 public:
  RowReader(Sheet sheet,
            const std::string& key,
            const RowCells& cells,
            CellFaults& faults)
      : sheet_(sheet), key_(key), cells_(cells), faults_(faults) {}

  const std::string& Text(std::string_view column) const {
    return cells_[*FindColumn(sheet_, column)];
  }

  std::string ReadId(std::string_view column) {
    if (!IsValidId(Text(column))) {
      AddFault(column, ": 1 to 64 characters of a-z 0-9 . _ -");
    }
    return Text(column);
  }

  std::int64_t ReadNumber(std::string_view column,
                          std::int64_t min,
                          std::int64_t max) {
    const auto value = ParseNumber(Text(column));
    if (!value || *value < min || *value > max) {
      AddFault(column,
               ": " + std::to_string(min) + " to " + std::to_string(max));
      return min;
    }
    return *value;
  }

  /** Reads the key of a row in sheet `to`. */
  std::string ReadReference(std::string_view column,
                            const Grid& grid,
                            Sheet to) {
    if (!grid.Rows(to).contains(Text(column))) {
      const auto& name = SheetSchemas()[static_cast<std::size_t>(to)].name;
      AddFault(column, ": has a row in sheet " + std::string(name));
    }
    return Text(column);
  }

  void AddFault(std::string_view column, const std::string& rule) {
    row_ok_ = false;
    faults_.push_back({{std::string(SheetSchemas()[SheetIndex()].name), key_,
                        std::string(column)},
                       Text(column),
                       std::string(column) + rule});
  }

  /** Whether no fault was added for the row. */
  bool row_ok() const { return row_ok_; }

 private:
  std::size_t SheetIndex() const { return static_cast<std::size_t>(sheet_); }

  Sheet sheet_;
  const std::string& key_;
  const RowCells& cells_;
  CellFaults& faults_;
  bool row_ok_ = true;
};

PoolRow ReadPool(RowReader& reader) {
  return {PoolId(reader.ReadId("pool")),
          Weight(reader.ReadNumber("weight", 1, kMaxWeight)),
          HostCount(reader.ReadNumber("limit", 1, kMaxHosts)),
          HostCount(reader.ReadNumber("min_hosts", 0, kMaxHosts)),
          HostCount(reader.ReadNumber("availability_budget", 0, kMaxHosts))};
}

TeamRow ReadTeam(RowReader& reader) {
  return {TeamId(reader.ReadId("team")),
          Units(reader.ReadNumber("quota", 1, kMaxUnits))};
}

QueueRow ReadQueue(RowReader& reader, const Grid& grid) {
  QueueRow row;
  row.id = QueueId(reader.ReadId("queue"));
  row.service = ServiceId(reader.ReadId("service"));
  row.team = TeamId(reader.ReadReference("team", grid, Sheet::kTeams));
  row.pool = PoolId(reader.ReadReference("pool", grid, Sheet::kPools));
  const std::string& urgency = reader.Text("urgency");
  if (urgency == "urgent") {
    row.urgency = Urgency::kUrgent;
  } else if (urgency != "batch") {
    reader.AddFault("urgency", ": urgent or batch");
  }
  row.weight = Weight(reader.ReadNumber("weight", 1, kMaxWeight));
  row.limit = Units(reader.ReadNumber("limit", 1, kMaxUnits));
  row.deadline = std::chrono::milliseconds(
      reader.ReadNumber("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs));
  return row;
}

HostRow ReadHost(RowReader& reader, const Grid& grid) {
  HostRow row;
  row.id = HostId(reader.ReadId("host"));
  row.rack = RackId(reader.ReadId("rack"));
  row.data_centre = DataCentreId(reader.ReadId("data_centre"));
  if (!reader.Text("pool").empty()) {
    row.pool = PoolId(reader.ReadReference("pool", grid, Sheet::kPools));
  }
  const std::string& maintenance = reader.Text("maintenance");
  if (maintenance == "wanted") {
    row.maintenance = Maintenance::kWanted;
  } else if (maintenance == "drain") {
    row.maintenance = Maintenance::kDrain;
  } else if (!maintenance.empty()) {
    reader.AddFault("maintenance", ": wanted, drain or empty");
  }
  return row;
}

/** Checks the rules across rows, for rows without faults. */
class CrossRowRules {
 public:
  CrossRowRules(const Table& table, bool all_rows_ok, CellFaults& faults)
      : table_(table), all_rows_ok_(all_rows_ok), faults_(faults) {}

  void Check() {
    for (const auto& [id, pool] : table_.pools) {
      CheckPool(pool);
    }
    // Faulty rows are missing from the table, so a sum over it would be wrong.
    if (all_rows_ok_) {
      CheckMinHosts();
    }
  }

 private:
  void CheckPool(const PoolRow& pool) {
    if (pool.limit < pool.min_hosts) {
      AddFault(pool, "limit", pool.limit,
               "limit: at least min_hosts, which is " + Text(pool.min_hosts));
    }
    std::int64_t pinned_hosts = 0;
    std::int64_t out_of_service = 0;
    for (const auto& [id, host] : table_.hosts) {
      if (host.pool == pool.id) {
        ++pinned_hosts;
        out_of_service += host.maintenance == Maintenance::kNone ? 0 : 1;
      }
    }
    if (pinned_hosts > pool.limit.value()) {
      AddFault(
          pool, "limit", pool.limit,
          "limit: at least the number of hosts pinned to the pool, which is " +
              std::to_string(pinned_hosts));
    }
    if (out_of_service > 0 && pool.availability_budget.value() == 0) {
      AddFault(pool, "availability_budget", pool.availability_budget,
               "availability_budget: at least 1 while hosts pinned to the pool "
               "have maintenance wanted or drain, now " +
                   std::to_string(out_of_service) + " of " +
                   std::to_string(pinned_hosts));
    }
  }

  void CheckMinHosts() {
    std::int64_t min_hosts_sum = 0;
    for (const auto& [id, pool] : table_.pools) {
      min_hosts_sum += pool.min_hosts.value();
    }
    const auto hosts = static_cast<std::int64_t>(table_.hosts.size());
    if (hosts > 0 && min_hosts_sum > hosts) {
      // A fault names one cell, so the largest min_hosts is reported.
      const auto max =
          std::max_element(table_.pools.begin(), table_.pools.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.min_hosts < b.second.min_hosts;
                           });
      AddFault(
          max->second, "min_hosts", max->second.min_hosts,
          "min_hosts: sum over all pools at most the number of hosts, now " +
              std::to_string(min_hosts_sum) + " of " + std::to_string(hosts));
    }
  }

  static std::string Text(HostCount count) {
    return std::to_string(count.value());
  }

  void AddFault(const PoolRow& pool,
                const char* column,
                HostCount value,
                std::string rule) {
    faults_.push_back(
        {{"pools", pool.id.value(), column}, Text(value), std::move(rule)});
  }

  const Table& table_;
  bool all_rows_ok_;
  CellFaults& faults_;
};

/** Reads all rows of a sheet; returns true if none has a fault. */
template <typename Rows, typename Read>
bool ReadSheet(const Grid& grid,
               Sheet sheet,
               Read read,
               Rows& rows,
               CellFaults& faults) {
  bool all_ok = true;
  for (const auto& [key, cells] : grid.Rows(sheet)) {
    RowReader reader(sheet, key, cells, faults);
    auto row = read(reader);
    all_ok = all_ok && reader.row_ok();
    if (reader.row_ok()) {
      auto id = row.id;
      rows.emplace(std::move(id), std::move(row));
    }
  }
  return all_ok;
}

}  // namespace

tl::expected<Table, CellFaults> CheckGrid(const Grid& grid, CellFaults faults) {
  Table table;
  const bool no_earlier_faults = faults.empty();
  const bool pools_ok =
      ReadSheet(grid, Sheet::kPools, ReadPool, table.pools, faults);
  ReadSheet(grid, Sheet::kTeams, ReadTeam, table.teams, faults);
  ReadSheet(
      grid, Sheet::kQueues,
      [&](RowReader& reader) { return ReadQueue(reader, grid); }, table.queues,
      faults);
  const bool hosts_ok = ReadSheet(
      grid, Sheet::kHosts,
      [&](RowReader& reader) { return ReadHost(reader, grid); }, table.hosts,
      faults);
  CrossRowRules(table, no_earlier_faults && pools_ok && hosts_ok, faults)
      .Check();
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return table;
}

}  // namespace baobab
