#include "libjobs/pool_division.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include <xxhash.h>

#include "libwire/bounded_dom.h"

namespace baobab {

namespace {

/** Hosts per core of an owner. A host of 64 cores starts about 12 short tasks a
 * second, each of which costs an owner some 0.6 ms. */
constexpr double kHostsPerOwnerCore = 64;

/** Bounds of the hosts of a cell: enough for the tasks of one large job, and
 * few enough to be taken over quickly. */
constexpr int kMinHostsPerCell = 12;
constexpr int kMaxHostsPerCell = 32;

std::size_t IndexOf(std::string_view text, std::size_t cells) {
  return XXH64(text.data(), text.size(), 0) % cells;
}

int CellCount(const DivisionInput& input) {
  const int per_cell =
      input.owner_milli_cores <= 0
          ? kMaxHostsPerCell
          : std::clamp(static_cast<int>(kHostsPerOwnerCore *
                                        input.owner_milli_cores / 1000.0),
                       kMinHostsPerCell, kMaxHostsPerCell);
  const int usable_shards = std::max(1, input.shards - 1);
  return std::clamp((input.hosts_per_pool + per_cell / 2) / per_cell, 1,
                    usable_shards);
}

}  // namespace

void PoolDivision::Add(const ServiceId& pool, std::vector<ShardId> cells) {
  if (cells.empty() || Contains(pool)) {
    return;
  }
  used_.insert(cells.begin(), cells.end());
  pools_.emplace(pool, std::move(cells));
}

const std::vector<ShardId>& PoolDivision::CellsOf(const ServiceId& pool) const {
  static const std::vector<ShardId> none;
  const auto it = pools_.find(pool);
  return it == pools_.end() ? none : it->second;
}

std::optional<ShardId> PoolDivision::CellOfJob(const ServiceId& pool,
                                               const JobId& job) const {
  const auto& cells = CellsOf(pool);
  if (cells.empty()) {
    return std::nullopt;
  }
  return cells[IndexOf(job.value(), cells.size())];
}

std::optional<ShardId> PoolDivision::CellOfHost(const ServiceId& pool,
                                                const HostId& host) const {
  const auto& cells = CellsOf(pool);
  if (cells.empty()) {
    return std::nullopt;
  }
  return cells[IndexOf(host.value(), cells.size())];
}

std::vector<StoredRecord> DividePools(const PoolDivision& current,
                                      const DivisionInput& input) {
  int next = 0;
  // The planner's shard gets no cells if there are others.
  const int first = input.shards > 1 ? kPlannerShard.value() + 1 : 0;
  for (int shard = first; shard < input.shards; ++shard) {
    if (current.Uses(ShardId(shard))) {
      next = shard + 1 - first;
    }
  }
  std::vector<StoredRecord> records;
  const int cells = CellCount(input);
  for (const auto& pool : input.pools) {
    if (current.Contains(pool)) {
      continue;
    }
    auto shards = Json::array();
    for (int i = 0; i < cells; ++i) {
      shards.push_back(first + next++ % (input.shards - first));
    }
    std::string value;
    Json::to_msgpack(shards, value);
    records.push_back({pool.value(), std::move(value)});
  }
  return records;
}

PoolDivision DecodeDivision(const std::vector<StoredRecord>& records) {
  PoolDivision division;
  for (const auto& it : records) {
    const auto json = ParseMessagePack(it.value);
    if (!json || !json->is_array() ||
        !std::all_of(json->begin(), json->end(), [](const auto& shard) {
          return shard.is_number_integer() && shard.template get<int>() >= 0;
        })) {
      continue;
    }
    std::vector<ShardId> cells;
    for (const auto& shard : *json) {
      cells.emplace_back(shard.get<int>());
    }
    division.Add(ServiceId(it.key), std::move(cells));
  }
  return division;
}

}  // namespace baobab
