#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "libjobs/jobs.h"

namespace baobab {
namespace {

DivisionInput InputOf(std::set<ServiceId> pools,
                      int hosts_per_pool,
                      int owner_milli_cores,
                      int shards) {
  DivisionInput input;
  input.pools = std::move(pools);
  input.hosts_per_pool = hosts_per_pool;
  input.owner_milli_cores = owner_milli_cores;
  input.shards = shards;
  return input;
}

struct SizeCase {
  const char* name;
  int hosts_per_pool;
  int owner_milli_cores;
  int shards;
  std::size_t min_cells;
  std::size_t max_cells;
};

class CellCountTest : public testing::TestWithParam<SizeCase> {};

// Guards against pools of a few hosts that are split, so that a cell cannot
// hold one large job, and against a cell that needs more processor time than
// its owner has: a host starts about 12 short tasks a second, at 0.6 ms each.
TEST_P(CellCountTest, FollowsHostsAndOwners) {
  const auto& it = GetParam();
  const ServiceId pool("pool");
  const auto division = DecodeDivision(DividePools(
      {}, InputOf({pool}, it.hosts_per_pool, it.owner_milli_cores, it.shards)));
  const auto& cells = division.CellsOf(pool);
  EXPECT_GE(cells.size(), it.min_cells);
  EXPECT_LE(cells.size(), it.max_cells);
  EXPECT_EQ(std::set<ShardId>(cells.begin(), cells.end()).size(), cells.size());
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    CellCountTest,
    testing::Values(SizeCase{"SmallPool", 9, 250, 32, 1, 1},
                    SizeCase{"SizeOfOwnersUnknown", 10, 0, 32, 1, 1},
                    SizeCase{"SmallPoolOnSmallNodes", 12, 120, 32, 1, 1},
                    SizeCase{"MediumPool", 70, 500, 32, 2, 3},
                    SizeCase{"LargePool", 220, 500, 64, 6, 10},
                    SizeCase{"LargePoolOnSmallNodes", 220, 200, 64, 14, 20},
                    SizeCase{"MoreCellsThanShards", 900, 120, 8, 7, 7},
                    SizeCase{"OneShard", 900, 120, 1, 1, 1},
                    SizeCase{"NoHosts", 0, 250, 32, 1, 1}),
    [](const auto& info) { return info.param.name; });

struct WidestCellCase {
  const char* name;
  int hosts_per_pool;
  int owner_milli_cores;
  /** Tasks of a long-running step, each on a host of its own. */
  int tasks;
};

class WidestCellTest : public testing::TestWithParam<WidestCellCase> {};

// Guards against a pool with hosts enough for a spread long-running step none
// of whose cells can hold it.
TEST_P(WidestCellTest, HoldsASpreadStep) {
  const auto& it = GetParam();
  const ServiceId pool("pool");
  const auto division = DecodeDivision(DividePools(
      {}, InputOf({pool}, it.hosts_per_pool, it.owner_milli_cores, 64)));
  std::map<ShardId, int> hosts;
  for (int i = 0; i < it.hosts_per_pool; ++i) {
    ++hosts[*division.CellOfHost(pool, HostId("h" + std::to_string(i)))];
  }
  int widest = 0;
  for (const auto& [cell, n] : hosts) {
    widest = std::max(widest, n);
  }
  EXPECT_GE(widest, it.tasks);
  const auto& cells = division.CellsOf(pool);
  EXPECT_EQ(std::set<ShardId>(cells.begin(), cells.end()).size(), cells.size());
  const auto wide = division.WiderCell(pool, cells.back());
  if (wide) {
    EXPECT_EQ(hosts.at(*wide), widest);
    EXPECT_EQ(division.WiderCell(pool, *wide), std::nullopt);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Pools,
    WidestCellTest,
    testing::Values(WidestCellCase{"SmallOwners", 220, 200, 38},
                    WidestCellCase{"SmallestOwners", 220, 120, 38},
                    WidestCellCase{"MiddleOwners", 220, 300, 30},
                    WidestCellCase{"LargeOwners", 220, 500, 30},
                    WidestCellCase{"MediumPool", 70, 500, 30},
                    WidestCellCase{"OneCell", 12, 120, 12}),
    [](const auto& it) { return it.param.name; });

// Guards against two busy cells on one owner while another has none: the store
// deals shards to owners in turn, and all cells of a pool are busy at once.
TEST(PoolDivisionTest, CellsSpreadOverOwners) {
  constexpr int kOwners = 14;
  std::set<ServiceId> pools;
  for (const char* it : {"a", "b", "c", "d", "e"}) {
    pools.insert(ServiceId(it));
  }
  const auto division =
      DecodeDivision(DividePools({}, InputOf(pools, 220, 500, 64)));
  std::map<int, int> cells_of_owner;
  for (const auto& pool : pools) {
    std::map<int, int> busy;
    for (const auto& it : division.CellsOf(pool)) {
      EXPECT_NE(it, kPlannerShard);
      ++busy[it.value() % kOwners];
      ++cells_of_owner[it.value() % kOwners];
    }
    for (const auto& [owner, n] : busy) {
      EXPECT_EQ(n, 1) << pool.value();
    }
  }
  for (const auto& [owner, n] : cells_of_owner) {
    EXPECT_LE(n, 3);
  }
}

// Guards against a host with two deciders and a job with two records: nodes
// that have read different prefixes of the division must not disagree, whatever
// is added later, and damaged or repeated records must change nothing.
RC_GTEST_PROP(PoolDivisionTest, OlderCopiesNeverDisagree, ()) {
  std::vector<StoredRecord> records;
  PoolDivision current;
  const int shards = *rc::gen::inRange(1, 70);
  const int rounds = *rc::gen::inRange(1, 5);
  for (int i = 0; i < rounds; ++i) {
    std::set<ServiceId> pools;
    for (int pool = 0; pool <= i; ++pool) {
      pools.insert(ServiceId("pool" + std::to_string(pool)));
    }
    for (auto& it :
         DividePools(current, InputOf(pools, *rc::gen::inRange(0, 900),
                                      *rc::gen::inRange(0, 1000), shards))) {
      records.push_back(std::move(it));
    }
    if (*rc::gen::arbitrary<bool>()) {
      records.push_back({"pool0", *rc::gen::arbitrary<std::string>()});
    }
    current = DecodeDivision(records);
  }
  const auto older = DecodeDivision(
      {records.begin(),
       records.begin() +
           *rc::gen::inRange<std::ptrdiff_t>(
               0, static_cast<std::ptrdiff_t>(records.size()) + 1)});
  const JobId job(*rc::gen::arbitrary<std::string>());
  const HostId host(*rc::gen::arbitrary<std::string>());
  for (int i = 0; i < rounds; ++i) {
    const ServiceId pool("pool" + std::to_string(i));
    const auto cell = current.CellOfJob(pool, job);
    RC_ASSERT(cell.has_value());
    const auto older_cell = older.CellOfJob(pool, job);
    RC_ASSERT(!older_cell || older_cell == cell);
    const auto older_host = older.CellOfHost(pool, host);
    RC_ASSERT(!older_host || older_host == current.CellOfHost(pool, host));
  }
}

// Guards against cells of very uneven size, whose owners refuse while others
// have hosts to spare.
TEST(PoolDivisionTest, HostsAndJobsSpreadOverCells) {
  const ServiceId pool("pool");
  const auto division =
      DecodeDivision(DividePools({}, InputOf({pool}, 220, 500, 64)));
  std::map<ShardId, int> hosts;
  std::map<ShardId, int> jobs;
  for (int i = 0; i < 220; ++i) {
    ++hosts[*division.CellOfHost(pool, HostId("m-" + std::to_string(i * 37)))];
    ++jobs[*division.CellOfJob(pool, JobId("job" + std::to_string(i)))];
  }
  const auto cells = division.CellsOf(pool).size();
  EXPECT_EQ(hosts.size(), cells);
  EXPECT_EQ(jobs.size(), cells);
  for (const auto& [cell, n] : hosts) {
    EXPECT_GE(n, 220 / static_cast<int>(cells) / 2);
    EXPECT_LE(n, 220 / static_cast<int>(cells) * 2);
  }
}

}  // namespace
}  // namespace baobab
