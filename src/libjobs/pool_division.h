#ifndef SRC_LIBJOBS_POOL_DIVISION_H_
#define SRC_LIBJOBS_POOL_DIVISION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libjobs/ids.h"
#include "libjobs/policies.h"
#include "libjobs/stored_job.h"

namespace baobab {

/** Shard whose owner also plans the moves and the maintenance of hosts. */
inline const ShardId kPlannerShard{0};

/** Division of each pool into cells. A cell is a part of the hosts and of the
 * jobs of a pool; it belongs to one shard, whose owner alone decides on them.
 *
 * Each queue has a home pool, the first one to which it was sent. A job is
 * accepted and looked for in the cell that its id has in the home pool of its
 * queue, wherever the queue is sent now.
 *
 * The cells of a pool and the home of a queue never change once they are
 * stored, so nodes with an older copy may lack a pool or a queue but never
 * disagree on the cell of a host or a job. */
class PoolDivision {
 public:
  /** Adds the cells of a pool, unless the pool is divided already. Jobs are
   * spread evenly over `cells`; a cell gets as many shares of the hosts as it
   * occurs in `host_shares`. */
  void Add(const ServiceId& pool,
           std::vector<ShardId> cells,
           std::vector<ShardId> host_shares);
  /** Same as above, with one share of the hosts for each cell. */
  void Add(const ServiceId& pool, const std::vector<ShardId>& cells) {
    Add(pool, cells, cells);
  }

  /** Adds a queue with the pools to which it was sent, from its home on. */
  void AddQueue(const QueueKey& queue, std::vector<ServiceId> pools);

  bool Contains(const ServiceId& pool) const { return pools_.contains(pool); }
  /** Returns the pools to which the queue was sent, from its home on; empty if
   * it has no home yet. */
  const std::vector<ServiceId>& PoolsOf(const QueueKey& queue) const;
  /** Returns the shards of the pool's cells; empty if it is not divided. */
  const std::vector<ShardId>& CellsOf(const ServiceId& pool) const;
  /** Returns the cell with the most hosts, if it has more than `cell`. */
  std::optional<ShardId> WiderCell(const ServiceId& pool, ShardId cell) const;
  /** Returns whether any cell belongs to the shard. */
  bool Uses(ShardId shard) const { return used_.contains(shard); }

  /** Return the shard that decides on a job or a host; empty if the pool is not
   * divided. Depend on the arguments and the stored cells only, so that all
   * nodes and releases agree. */
  std::optional<ShardId> CellOfJob(const ServiceId& pool,
                                   const JobId& job) const;
  /** Returns the shard at which a job of the queue is submitted and looked for;
   * empty if the queue has no home yet. */
  std::optional<ShardId> HomeOfJob(const QueueKey& queue,
                                   const JobId& job) const;
  std::optional<ShardId> CellOfHost(const ServiceId& pool,
                                    const HostId& host) const;

 private:
  struct Cells {
    std::vector<ShardId> of_jobs;
    std::vector<ShardId> of_hosts;
  };
  std::map<ServiceId, Cells> pools_;
  std::map<QueueKey, std::vector<ServiceId>> queues_;
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
 * turn and all cells of a pool are busy at the same time. If the owners are so
 * small that a cell has few hosts, one cell is wide: it has hosts for
 * long-running steps that need a host for each task. */
std::vector<StoredRecord> DividePools(const PoolDivision& current,
                                      const DivisionInput& input);

/** Returns the records that give the queues their homes and add the pools to
 * which they are sent now. Leaves out queues whose pool is not divided. */
std::vector<StoredRecord> RecordQueues(const PoolDivision& current,
                                       const std::vector<QueuePolicy>& queues);

/** Decodes a stored division; skips records that are malformed. */
PoolDivision DecodeDivision(const std::vector<StoredRecord>& records);

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_DIVISION_H_
