#ifndef SRC_LIBJOBS_POOL_DIVISION_H_
#define SRC_LIBJOBS_POOL_DIVISION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libjobs/ids.h"
#include "libjobs/stored_job.h"

namespace baobab {

/** Shard whose owner also plans the moves and the maintenance of hosts. */
inline const ShardId kPlannerShard{0};

/** Division of each pool into cells. A cell is a part of the hosts and of the
 * jobs of a pool; it belongs to one shard, whose owner alone decides on them.
 *
 * The cells of a pool never change once they are stored, so nodes with an older
 * copy may lack a pool but never disagree on the cell of a host or a job. */
class PoolDivision {
 public:
  /** Adds the cells of a pool, unless the pool is divided already. */
  void Add(const ServiceId& pool, std::vector<ShardId> cells);

  bool Contains(const ServiceId& pool) const { return pools_.contains(pool); }
  /** Returns the shards of the pool's cells; empty if it is not divided. */
  const std::vector<ShardId>& CellsOf(const ServiceId& pool) const;
  /** Returns whether any cell belongs to the shard. */
  bool Uses(ShardId shard) const { return used_.contains(shard); }

  /** Return the shard that decides on a job or a host; empty if the pool is not
   * divided. Depend on the arguments and the stored cells only, so that all
   * nodes and releases agree. */
  std::optional<ShardId> CellOfJob(const ServiceId& pool,
                                   const JobId& job) const;
  std::optional<ShardId> CellOfHost(const ServiceId& pool,
                                    const HostId& host) const;

 private:
  std::map<ServiceId, std::vector<ShardId>> pools_;
  std::set<ShardId> used_;
};

/** What the division of new pools depends on. */
struct DivisionInput {
  /** Pools to divide. */
  std::set<ServiceId> pools;
  /** Expected number of hosts in each of them. */
  int hosts_per_pool = 0;
  /** CPU share of a typical owner in thousandths of a core; 0 if unknown. */
  int owner_milli_cores = 0;
  /** Number of shards. */
  int shards = 1;
};

/** Returns the records that divide the pools, given the current division. The
 * cells of a pool get consecutive shards, since stores deal shards to owners in
 * turn and all cells of a pool are busy at the same time. */
std::vector<StoredRecord> DividePools(const PoolDivision& current,
                                      const DivisionInput& input);

/** Decodes a stored division; skips records that are malformed. */
PoolDivision DecodeDivision(const std::vector<StoredRecord>& records);

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_DIVISION_H_
