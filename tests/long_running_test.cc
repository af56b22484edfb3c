#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time from the end of a long-running task until it must run again, if its
 * workers have the capacity for it. */
constexpr Duration kMaxAway = seconds(3);

struct RestartCase {
  const char* name;
  /** Needs of the long-running task. */
  std::int64_t cores;
  std::int64_t mem_mb;
  /** Needs and duration of the finite tasks that arrive meanwhile. */
  std::int64_t finite_cores;
  std::int64_t finite_mem_mb;
  int finite_ms;
  /** The worker crashes; otherwise only the run fails. */
  bool worker_crashes;
};

class LongRunningRestartTest : public testing::TestWithParam<RestartCase> {
 protected:
  void SetUp() override {
    world.AddWorker("w1");
    world.AddWorker("w2");
    world.TakeOver();
    world.Advance(milliseconds(300));
  }

  void TearDown() override {
    for (const auto& it : world.violations) {
      ADD_FAILURE() << it;
    }
  }

  /** Submits a finite job each 50 ms for `duration`. */
  void AdvanceUnderLoad(Duration duration) {
    const Time end = world.now + duration;
    while (world.now < end) {
      JobSpec spec;
      spec.payload = "work";
      spec.steps = {
          JobWorld::Step(4, GetParam().finite_cores, GetParam().finite_ms)};
      spec.steps[0].need.mem_mb = GetParam().finite_mem_mb;
      world.Submit("finite" + std::to_string(++jobs_), spec);
      world.Advance(milliseconds(50));
    }
  }

  JobWorld world;

 private:
  int jobs_ = 0;
};

// Guards against a long-running task that finite tasks keep from starting again
// by taking each part of its worker's room as it becomes free.
TEST_P(LongRunningRestartTest, StartsAgainUnderFiniteLoad) {
  JobSpec spec;
  spec.payload = "serve";
  spec.steps = {JobWorld::Step(2, GetParam().cores, 1000)};
  spec.steps[0].need.mem_mb = GetParam().mem_mb;
  spec.steps[0].long_running = true;
  spec.steps[0].max_per_worker = 1;
  spec.steps[0].max_unavailable = 1;
  world.Submit("serving", spec);
  world.Advance(milliseconds(500));
  const TaskId task{JobId("serving"), 0, 0, 0};
  ASSERT_EQ(world.RunsOf(task), 1);
  AdvanceUnderLoad(seconds(3));
  if (GetParam().worker_crashes) {
    for (const auto& [id, worker] : world.workers) {
      if (worker.runs.contains(task)) {
        world.CrashFor(id, milliseconds(500));
        break;
      }
    }
  } else {
    world.FailRun(task);
  }
  AdvanceUnderLoad(kMaxAway);
  EXPECT_EQ(world.RunsOf(task), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    LongRunningRestartTest,
    testing::Values(
        RestartCase{"CoresTakenBySmallTasks", 40, 100, 4, 100, 700, false},
        RestartCase{"MemoryTakenBySmallTasks", 8, 200000, 4, 30000, 700, false},
        RestartCase{"CoresTakenByLongerTasks", 40, 100, 8, 100, 1500, false},
        RestartCase{"WorkerCrashes", 40, 100, 4, 100, 700, true}),
    [](const auto& it) { return it.param.name; });

// Three hosts are to be vacated and one is free. Guards against tasks that are
// stopped for the same free room, so that all but one of them wait.
TEST(EvacuationTest, StopsNoMoreTasksThanOtherWorkersCanTake) {
  JobWorld world;
  HostPlan plan;
  for (const char* it : {"w1", "w2", "w3"}) {
    world.AddWorker(it);
    plan.reserved.insert(world.workers.at(WorkerId(it)).entry.host);
  }
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "serve";
  spec.steps = {JobWorld::Step(3, 40, 1000)};
  spec.steps[0].long_running = true;
  spec.steps[0].max_unavailable = 3;
  world.Submit("serving", spec);
  world.Advance(milliseconds(500));
  world.AddWorker("w4");
  world.Advance(milliseconds(500));
  for (int i = 0; i < 30; ++i) {
    world.Plan(plan);
    world.Advance(milliseconds(100));
    int runs = 0;
    for (int task = 0; task < 3; ++task) {
      runs += world.RunsOf({JobId("serving"), 0, 0, task});
    }
    EXPECT_GE(runs, 2) << i;
  }
  EXPECT_EQ(world.workers.at(WorkerId("w4")).runs.size(), 1u);
  EXPECT_TRUE(world.violations.empty());
}

// The workers of a task are cut off one after the other, and nobody learns
// whether they have crashed. Guards against a task that waits until its losses
// are forgotten although other workers have room.
TEST(UnexplainedLossTest, TaskStartsAgainWithinTheTrialWait) {
  JobWorld world;
  for (const char* it : {"w1", "w2", "w3", "w4", "w5"}) {
    world.AddWorker(it);
  }
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 4, 60000)};
  world.Submit("j1", spec);
  const TaskId task{JobId("j1"), 0, 0, 0};
  for (int i = 0; i < 3; ++i) {
    world.Advance(milliseconds(500));
    ASSERT_EQ(world.RunsOf(task), 1) << i;
    for (auto& [id, worker] : world.workers) {
      worker.reachable = worker.reachable && !worker.runs.contains(task);
    }
    while (world.RunsOf(task) > 0) {
      world.Advance(milliseconds(50));
    }
    const Time lost_at = world.now;
    while (world.RunsOf(task) == 0 && world.now - lost_at < seconds(5)) {
      world.Advance(milliseconds(50));
    }
    EXPECT_EQ(world.RunsOf(task), 1) << i;
  }
  EXPECT_TRUE(world.violations.empty());
}

}  // namespace
}  // namespace baobab
