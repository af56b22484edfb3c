#include <gtest/gtest.h>

#include <chrono>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ShardId kOtherCell{2};

/** A cell with one host of 64 cores whose pool has another cell. */
class DelegationTest : public testing::Test {
 protected:
  void SetUp() override {
    world.AddWorker("w1");
    world.TakeOver();
    world.Advance(milliseconds(300));
  }

  void TearDown() override {
    for (const auto& it : world.violations) {
      ADD_FAILURE() << it;
    }
  }

  static JobSpec Work(int count, std::int64_t cores, int duration_ms) {
    JobSpec spec;
    spec.payload = "work";
    spec.steps = {JobWorld::Step(count, cores, duration_ms)};
    return spec;
  }

  /** Keeps all cores of the cell busy for 8 s. */
  void FillCell() {
    world.Submit("filler", Work(8, 8, 8000));
    world.Advance(milliseconds(200));
    ASSERT_EQ(world.verdicts.at(JobId("filler")), SubmitVerdict::kAccepted);
  }

  JobWorld world;
};

struct DelegationCase {
  const char* name;
  double free_cores_elsewhere;
  int plan_age_ms;
  bool delegated_before;
  SubmitVerdict verdict;
};

class FullCellTest : public DelegationTest,
                     public testing::WithParamInterface<DelegationCase> {};

// Demand of a peak that one cell cannot serve. Guards against jobs that are
// refused while another cell has free cores, that are sent to a cell without
// room, or that cells pass on to each other.
TEST_P(FullCellTest, DelegatesToACellWithFreeCores) {
  FillCell();
  world.PlanCell(kOtherCell, GetParam().free_cores_elsewhere);
  world.Advance(milliseconds(GetParam().plan_age_ms));
  if (GetParam().delegated_before) {
    world.SubmitDelegated("j1", Work(4, 8, 600), milliseconds(10));
  } else {
    world.Submit("j1", Work(4, 8, 600));
  }
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), GetParam().verdict);
  EXPECT_EQ(world.delegated_to.contains(JobId("j1")),
            GetParam().verdict == SubmitVerdict::kDelegated);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    FullCellTest,
    testing::Values(
        DelegationCase{"FreeElsewhere", 64, 0, false,
                       SubmitVerdict::kDelegated},
        DelegationCase{"FullElsewhere", 16, 0, false, SubmitVerdict::kRefused},
        DelegationCase{"OldLoads", 64, 1500, false, SubmitVerdict::kRefused},
        DelegationCase{"DelegatedBefore", 64, 0, true,
                       SubmitVerdict::kRefused}),
    [](const auto& it) { return it.param.name; });

// Guards against a cell that gives work away which it can do itself.
TEST_F(DelegationTest, KeepsWhatItCanDoInTime) {
  world.PlanCell(kOtherCell, 640);
  world.Submit("j1", Work(4, 8, 600));
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), SubmitVerdict::kAccepted);
}

// Guards against free cores that are promised to more jobs than they suffice
// for between two reports of the load.
TEST_F(DelegationTest, CountsTheCoresOfDelegatedJobs) {
  FillCell();
  world.PlanCell(kOtherCell, 70);
  for (const char* it : {"j1", "j2", "j3"}) {
    world.Submit(it, Work(4, 8, 600));
  }
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.delegated_to.size(), 2u);
  EXPECT_EQ(world.verdicts.at(JobId("j3")), SubmitVerdict::kRefused);
}

// Guards against a job that two cells accept: a repeated request must find the
// first decision, also after the cell has room again and its owner was
// replaced.
TEST_F(DelegationTest, RepeatsGetTheFirstDecision) {
  FillCell();
  world.PlanCell(kOtherCell, 64);
  world.Submit("j1", Work(4, 8, 600));
  world.Advance(milliseconds(50));
  ASSERT_TRUE(world.delegated_to.contains(JobId("j1")));
  for (const bool taken_over : {false, true}) {
    if (taken_over) {
      world.TakeOver();
    }
    world.Advance(seconds(9));
    world.delegated_to.clear();
    world.Submit("j1", Work(4, 8, 600));
    world.Advance(milliseconds(50));
    EXPECT_EQ(world.delegated_to[JobId("j1")], kOtherCell) << taken_over;
    EXPECT_EQ(world.engine->DelegatedTo(JobId("j1")), kOtherCell) << taken_over;
  }
  EXPECT_EQ(world.starts, 8);
}

// Guards against a decision that is lost with its owner after the other cell
// has accepted the job.
TEST_F(DelegationTest, AnswersOnlyOnceTheDecisionIsStored) {
  FillCell();
  world.PlanCell(kOtherCell, 64);
  world.store_up = false;
  world.Submit("j1", Work(4, 8, 600));
  world.Submit("j1", Work(4, 8, 600));
  world.Cancel("j1");
  world.Advance(milliseconds(500));
  EXPECT_FALSE(world.verdicts.contains(JobId("j1")));
  EXPECT_FALSE(world.cancelled_at.contains(JobId("j1")));
  EXPECT_EQ(world.engine->DelegatedTo(JobId("j1")), std::nullopt);
  world.store_up = true;
  world.Advance(milliseconds(500));
  EXPECT_EQ(world.delegated_to[JobId("j1")], kOtherCell);
  EXPECT_TRUE(world.cancelled_at.contains(JobId("j1")));
}

// Guards against decisions that are kept for ever.
TEST_F(DelegationTest, DropsOldDecisions) {
  world.tuning.status_retention = seconds(8);
  world.TakeOver();
  world.Advance(milliseconds(300));
  FillCell();
  world.PlanCell(kOtherCell, 64);
  world.Submit("j1", Work(4, 8, 600));
  world.Advance(seconds(9));
  EXPECT_TRUE(world.store.contains(DelegationKey(JobId("j1"))));
  world.Advance(seconds(2));
  EXPECT_FALSE(world.store.contains(DelegationKey(JobId("j1"))));
}

struct SpreadCase {
  const char* name;
  /** Workers of the other cell in the newest plan; 0 without a plan. */
  int workers_elsewhere;
  /** Shares of the hosts that the other cell has; this one has one. */
  int shares_elsewhere;
  bool delegated_before;
  SubmitVerdict verdict;
};

class SpreadJobTest : public DelegationTest,
                      public testing::WithParamInterface<SpreadCase> {};

// Guards against long-running tasks that wait for ever in a cell with too few
// hosts while another cell has enough, and against a cell that is chosen by its
// free cores although it has too few hosts as well.
TEST_P(SpreadJobTest, GoesToACellWithEnoughHosts) {
  auto division = std::make_shared<PoolDivision>();
  std::vector<ShardId> shares(
      static_cast<std::size_t>(GetParam().shares_elsewhere), kOtherCell);
  shares.push_back(kShard);
  division->Add(world.service, {kShard, kOtherCell}, shares);
  world.division = division;
  world.workers.clear();
  for (const char* it : {"w1", "w2", "w3"}) {
    world.AddWorker(it, 64, world.EntryInCell(kShard, it).host.value());
  }
  world.TakeOver();
  world.Advance(milliseconds(300));
  if (GetParam().workers_elsewhere > 0) {
    world.PlanCell(kOtherCell, 640, GetParam().workers_elsewhere);
  }
  auto spec = Work(6, 8, 1000);
  spec.steps[0].long_running = true;
  spec.steps[0].max_per_worker = 1;
  if (GetParam().delegated_before) {
    world.SubmitDelegated("j1", spec, milliseconds(10));
  } else {
    world.Submit("j1", spec);
  }
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Cells,
    SpreadJobTest,
    testing::Values(
        SpreadCase{"EnoughHostsElsewhere", 6, 1, false,
                   SubmitVerdict::kDelegated},
        SpreadCase{"TooFewHostsElsewhere", 5, 1, false,
                   SubmitVerdict::kAccepted},
        SpreadCase{"WiderCellWithoutPlan", 0, 4, false,
                   SubmitVerdict::kDelegated},
        SpreadCase{"WiderCellThatLacksHosts", 5, 4, false,
                   SubmitVerdict::kDelegated},
        SpreadCase{"NoWiderCell", 0, 1, false, SubmitVerdict::kAccepted},
        SpreadCase{"DelegatedBefore", 6, 4, true, SubmitVerdict::kAccepted}),
    [](const auto& it) { return it.param.name; });

struct HeldMemoryCase {
  const char* name;
  double free_cores_elsewhere;
  SubmitVerdict verdict;
};

class HeldMemoryTest : public DelegationTest,
                       public testing::WithParamInterface<HeldMemoryCase> {};

// Long-running tasks hold the memory of a cell, but few of its cores. Guards
// against a job that is kept in a cell where no worker can ever take its tasks
// while another cell has room, and against one that is turned away although a
// host can be brought.
TEST_P(HeldMemoryTest, DelegatesJobsThatNoWorkerCanTake) {
  auto holder = Work(1, 8, 1000);
  holder.steps[0].long_running = true;
  holder.steps[0].need.mem_mb = 200'000;
  world.Submit("holder", holder);
  world.Advance(milliseconds(200));
  world.PlanCell(kOtherCell, GetParam().free_cores_elsewhere);
  auto spec = Work(2, 8, 600);
  spec.steps.push_back(JobWorld::Step(2, 8, 600));
  spec.steps[1].need.mem_mb = 80'000;
  spec.steps[1].after = {0};
  world.Submit("j1", spec);
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    HeldMemoryTest,
    testing::Values(
        HeldMemoryCase{"FreeElsewhere", 640, SubmitVerdict::kDelegated},
        HeldMemoryCase{"FullElsewhere", 4, SubmitVerdict::kAccepted}),
    [](const auto& it) { return it.param.name; });

struct NeedCase {
  const char* name;
  /** Changes the only step of the job. */
  void (*need)(StepSpec&);
  /** Changes the only worker elsewhere. */
  void (*offer)(WorkerEntry&);
  SubmitVerdict verdict;
};

class UnevenCellTest : public DelegationTest,
                       public testing::WithParamInterface<NeedCase> {};

// No worker of the cell can take the tasks of a job. Guards against a cell
// elsewhere that is chosen by its free cores although none of its workers can
// take them either, where the job then waits for ever.
TEST_P(UnevenCellTest, DelegatesToACellThatFits) {
  world.PlanCell(kOtherCell, 640, 1);
  GetParam().offer(world.elsewhere[0]);
  world.List();
  auto spec = Work(2, 8, 600);
  GetParam().need(spec.steps[0]);
  world.Submit("j1", spec);
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Needs,
    UnevenCellTest,
    testing::Values(
        NeedCase{"LabelElsewhere", [](auto& it) { it.label = "rare"; },
                 [](auto& it) {
                   it.labels = {"rare", "r1"};
                 },
                 SubmitVerdict::kDelegated},
        NeedCase{"LabelNowhere", [](auto& it) { it.label = "rare"; },
                 [](auto&) {}, SubmitVerdict::kAccepted},
        NeedCase{"LabelOfADrainingWorker", [](auto& it) { it.label = "rare"; },
                 [](auto& it) {
                   it.labels = {"rare", "r1"};
                   it.draining = true;
                 },
                 SubmitVerdict::kAccepted},
        NeedCase{"GpuElsewhere", [](auto& it) { it.need.gpus = 1; },
                 [](auto& it) { it.capacity.gpus = 2; },
                 SubmitVerdict::kDelegated},
        NeedCase{"GpuNowhere", [](auto& it) { it.need.gpus = 1; }, [](auto&) {},
                 SubmitVerdict::kAccepted},
        NeedCase{"MemoryNowhere", [](auto& it) { it.need.mem_mb = 300'000; },
                 [](auto&) {}, SubmitVerdict::kAccepted},
        NeedCase{"CoresOfTheLargestWorkerNowhere",
                 [](auto& it) { it.need.cpu_milli = 96'000; }, [](auto&) {},
                 SubmitVerdict::kAccepted},
        NeedCase{"GangTooWideForTheLabelledWorker",
                 [](auto& it) {
                   it.label = "rare";
                   it.gang = true;
                   it.count = 9;
                 },
                 [](auto& it) {
                   it.labels = {"rare", "r1"};
                 },
                 SubmitVerdict::kAccepted}),
    [](const auto& it) { return it.param.name; });

// Guards against a job that stays where it cannot run if the loads of other
// cells are not known.
TEST_F(DelegationTest, DelegatesToTheOnlyCellThatFitsWithoutAPlan) {
  world.PlanCell(kOtherCell, 640, 1);
  world.elsewhere[0].labels = {"rare", "r1"};
  world.Advance(seconds(2));
  auto spec = Work(1, 8, 600);
  spec.steps[0].label = "rare";
  world.Submit("j1", spec);
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), SubmitVerdict::kDelegated);
}

// Guards against jobs that a cell without workers sends to other cells whatever
// their load is, instead of being brought hosts.
TEST_F(DelegationTest, KeepsJobsIfItHasNoWorkersForNow) {
  world.PlanCell(kOtherCell, 0, 1);
  world.workers.clear();
  world.Advance(seconds(3));
  world.Submit("j1", Work(1, 8, 600));
  world.Advance(milliseconds(50));
  EXPECT_NE(world.verdicts.at(JobId("j1")), SubmitVerdict::kDelegated);
}

// Guards against work that is sent away although it only has to wait for the
// end of other runs.
TEST_F(DelegationTest, KeepsJobsWhoseMemoryIsHeldByFiniteRuns) {
  auto holder = Work(1, 8, 300);
  holder.steps[0].need.mem_mb = 200'000;
  world.Submit("holder", holder);
  world.Advance(milliseconds(100));
  world.PlanCell(kOtherCell, 640);
  auto spec = Work(2, 8, 600);
  spec.steps[0].need.mem_mb = 80'000;
  world.Submit("j1", spec);
  world.Advance(milliseconds(50));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), SubmitVerdict::kAccepted);
}

}  // namespace
}  // namespace baobab
