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

/** Maximum hosts of a wide cell. */
constexpr int kMaxHostsOfWideCell = 48;

/** Prefix of the keys of queues; all other keys are names of pools. */
constexpr std::string_view kQueuePrefix = "q/";

/** A wide cell gets at most this fraction of the hosts of its pool. */
constexpr int kMaxWideFraction = 3;

std::size_t IndexOf(std::string_view text, std::size_t cells) {
  return XXH64(text.data(), text.size(), 0) % cells;
}

int HostsPerCell(const DivisionInput& input) {
  return input.owner_milli_cores <= 0
             ? kMaxHostsPerCell
             : std::clamp(static_cast<int>(kHostsPerOwnerCore *
                                           input.owner_milli_cores / 1000.0),
                          kMinHostsPerCell, kMaxHostsPerCell);
}

int CellCount(const DivisionInput& input) {
  const int per_cell = HostsPerCell(input);
  const int usable_shards = std::max(1, input.shards - 1);
  return std::clamp((input.hosts_per_pool + per_cell / 2) / per_cell, 1,
                    usable_shards);
}

/** Returns the shares of the hosts that the wide cell gets if the hosts are
 * divided into `shares`; 1 if there is no wide cell. */
int WideCellShares(const DivisionInput& input, int shares) {
  const int per_share = std::max(1, input.hosts_per_pool / shares);
  return std::max(
      1, std::min(kMaxHostsOfWideCell / per_share, shares / kMaxWideFraction));
}

/** Key of the record of a queue. */
std::string QueueRecordKey(const QueueKey& queue) {
  return std::string(kQueuePrefix) + queue.value();
}

std::optional<std::vector<ServiceId>> ParsePools(const Json& json) {
  if (!json.is_array() || json.empty() ||
      !std::all_of(json.begin(), json.end(),
                   [](const auto& it) { return it.is_string(); })) {
    return std::nullopt;
  }
  std::vector<ServiceId> pools;
  for (const auto& it : json) {
    pools.emplace_back(it.get<std::string>());
  }
  return pools;
}

std::optional<std::vector<ShardId>> ParseShards(const Json& json) {
  if (!json.is_array() ||
      !std::all_of(json.begin(), json.end(), [](const auto& it) {
        return it.is_number_integer() && it.template get<int>() >= 0;
      })) {
    return std::nullopt;
  }
  std::vector<ShardId> shards;
  for (const auto& it : json) {
    shards.emplace_back(it.get<int>());
  }
  return shards;
}

}  // namespace

void PoolDivision::Add(const ServiceId& pool,
                       std::vector<ShardId> cells,
                       std::vector<ShardId> host_shares) {
  if (cells.empty() || host_shares.empty() || Contains(pool)) {
    return;
  }
  used_.insert(cells.begin(), cells.end());
  used_.insert(host_shares.begin(), host_shares.end());
  pools_.emplace(pool, Cells{std::move(cells), std::move(host_shares)});
}

void PoolDivision::AddQueue(const QueueKey& queue,
                            std::vector<ServiceId> pools) {
  queues_.insert_or_assign(queue, std::move(pools));
}

const std::vector<ServiceId>& PoolDivision::PoolsOf(
    const QueueKey& queue) const {
  static const std::vector<ServiceId> none;
  const auto it = queues_.find(queue);
  return it == queues_.end() ? none : it->second;
}

std::optional<ShardId> PoolDivision::HomeOfJob(const QueueKey& queue,
                                               const JobId& job) const {
  const auto& pools = PoolsOf(queue);
  return pools.empty() ? std::nullopt : CellOfJob(pools.front(), job);
}

const std::vector<ShardId>& PoolDivision::CellsOf(const ServiceId& pool) const {
  static const std::vector<ShardId> none;
  const auto it = pools_.find(pool);
  return it == pools_.end() ? none : it->second.of_jobs;
}

std::optional<ShardId> PoolDivision::WiderCell(const ServiceId& pool,
                                               ShardId cell) const {
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return std::nullopt;
  }
  const auto& hosts = it->second.of_hosts;
  const auto shares = [&](ShardId of) {
    return std::count(hosts.begin(), hosts.end(), of);
  };
  const auto& cells = it->second.of_jobs;
  const auto widest = *std::max_element(
      cells.begin(), cells.end(),
      [&](const auto& a, const auto& b) { return shares(a) < shares(b); });
  return shares(widest) > shares(cell) ? std::optional(widest) : std::nullopt;
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
  const auto it = pools_.find(pool);
  if (it == pools_.end()) {
    return std::nullopt;
  }
  const auto& shares = it->second.of_hosts;
  return shares[IndexOf(host.value(), shares.size())];
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
  const int shares = CellCount(input);
  const int wide = WideCellShares(input, shares);
  for (const auto& pool : input.pools) {
    if (current.Contains(pool)) {
      continue;
    }
    auto cells = Json::array();
    for (int i = wide; i <= shares; ++i) {
      cells.push_back(first + next++ % (input.shards - first));
    }
    // Earlier releases know no wide cells and skip a pool that has one, since
    // they would look for its jobs in other cells.
    auto record = cells;
    if (wide > 1) {
      auto host_shares = cells;
      for (int i = 1; i < wide; ++i) {
        host_shares.push_back(cells.front());
      }
      record = Json::array({cells, host_shares});
    }
    std::string value;
    Json::to_msgpack(record, value);
    records.push_back({pool.value(), std::move(value)});
  }
  return records;
}

std::vector<StoredRecord> RecordQueues(const PoolDivision& current,
                                       const std::vector<QueuePolicy>& queues) {
  std::map<QueueKey, std::vector<ServiceId>> changed;
  for (const auto& it : queues) {
    const auto key = it.Key();
    const auto known = changed.find(key);
    auto pools = known == changed.end() ? current.PoolsOf(key) : known->second;
    if (current.Contains(it.service) &&
        std::find(pools.begin(), pools.end(), it.service) == pools.end()) {
      pools.push_back(it.service);
      changed.insert_or_assign(key, std::move(pools));
    }
  }
  std::vector<StoredRecord> records;
  for (const auto& [key, pools] : changed) {
    auto json = Json::array();
    for (const auto& it : pools) {
      json.push_back(it.value());
    }
    std::string value;
    Json::to_msgpack(json, value);
    records.push_back({QueueRecordKey(key), std::move(value)});
  }
  return records;
}

PoolDivision DecodeDivision(const std::vector<StoredRecord>& records) {
  PoolDivision division;
  for (const auto& it : records) {
    const auto json = ParseMessagePack(it.value);
    if (!json) {
      continue;
    }
    if (it.key.starts_with(kQueuePrefix)) {
      if (auto pools = ParsePools(*json)) {
        division.AddQueue(QueueKey(it.key.substr(kQueuePrefix.size())),
                          std::move(*pools));
      }
      continue;
    }
    const ServiceId pool(it.key);
    if (const auto cells = ParseShards(*json)) {
      division.Add(pool, *cells);
    } else if (json->is_array() && json->size() == 2) {
      const auto of_jobs = ParseShards(json->at(0));
      const auto of_hosts = ParseShards(json->at(1));
      if (of_jobs && of_hosts) {
        division.Add(pool, *of_jobs, *of_hosts);
      }
    }
  }
  return division;
}

}  // namespace baobab
