#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCores = 32;
constexpr int kCoresPerTask = 4;
constexpr std::int64_t kMilliCores = 1000;

JobSpec Work(int count, int duration_ms) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(count, kCoresPerTask, duration_ms)};
  return spec;
}

struct ShrinkCase {
  const char* name;
  /** Cores left after shrinking. */
  int cores;
  /** Time that tasks take; long ones exceed the shrunk capacity for a while. */
  int task_ms;
  /** The owner is replaced just after shrinking. */
  bool take_over;
  SimFaults faults;
};

class WorkerCapacityTest : public testing::TestWithParam<ShrinkCase> {
 protected:
  void SetUp() override {
    worker = world.AddWorker("w0", kCores);
    world.AddWorker("w1", kCores);
    world.faults = GetParam().faults;
    world.TakeOver();
    world.Advance(milliseconds(300));
  }

  void TearDown() override {
    for (const auto& it : world.violations) {
      ADD_FAILURE() << it;
    }
  }

  std::int64_t UsedCores() const {
    return world.workers.at(worker).Used().cpu_milli / kMilliCores;
  }

  /** Keeps both workers loaded and returns the most cores in use on the one
   * whose capacity changes. */
  std::int64_t RunUnderLoad(Duration duration) {
    constexpr Duration kJobInterval = milliseconds(200);
    std::int64_t most = 0;
    for (const Time end = world.now + duration; world.now < end;) {
      world.Submit("job" + std::to_string(jobs++), Work(5, GetParam().task_ms));
      for (const Time next = world.now + kJobInterval; world.now < next;) {
        world.Advance(milliseconds(10));
        most = std::max(most, UsedCores());
      }
    }
    return most;
  }

  JobWorld world;
  WorkerId worker;
  int jobs = 0;
};

// Guards against starts that bring a worker over a capacity that has shrunk
// while it runs, and against capacity that is not used after it has grown.
TEST_P(WorkerCapacityTest, StartsStayWithinIt) {
  EXPECT_GT(RunUnderLoad(seconds(4)), GetParam().cores);
  world.SetCapacity(worker, GetParam().cores);
  if (GetParam().take_over) {
    world.TakeOver();
  }
  RunUnderLoad(kCapacityGrace + milliseconds(GetParam().task_ms));
  const int starts = world.starts;
  const auto shrunk = RunUnderLoad(seconds(8));
  EXPECT_LE(shrunk, GetParam().cores);
  if (GetParam().cores >= kCoresPerTask) {
    EXPECT_GT(shrunk, 0);
  }
  EXPECT_GT(world.starts, starts);
  world.SetCapacity(worker, kCores);
  EXPECT_GT(RunUnderLoad(seconds(8)), GetParam().cores);
  world.faults = {};
  world.Advance(seconds(30));
  for (const auto& [id, verdict] : world.verdicts) {
    if (verdict == SubmitVerdict::kAccepted) {
      EXPECT_EQ(world.State(id.value()), JobState::kCompleted) << id.value();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Shrinking,
    WorkerCapacityTest,
    testing::Values(ShrinkCase{"ToOneTask", 4, 500, false, {}},
                    ShrinkCase{"ToHalf", 16, 500, false, {}},
                    ShrinkCase{"BelowAnyTask", 2, 500, false, {}},
                    ShrinkCase{"BelowWhatRuns", 12, 6000, false, {}},
                    ShrinkCase{"BelowWhatRunsAtATakeover", 12, 6000, true, {}},
                    ShrinkCase{"AtATakeover", 16, 500, true, {}},
                    ShrinkCase{"LostAnswers", 12, 500, false, {0.15, 0, 0}},
                    ShrinkCase{"LateOrders", 12, 500, false, {0, 0.1, 0}}),
    [](const auto& it) { return it.param.name; });

// Guards against runs that are being stopped and are not counted while the
// capacity shrinks.
TEST(WorkerCapacityStopTest, StoppingRunsCount) {
  JobWorld world;
  const auto worker = world.AddWorker("w0", kCores);
  world.stop_time = milliseconds(4000);
  world.TakeOver();
  world.Advance(milliseconds(300));
  world.Submit("stopped", Work(8, 20'000));
  world.Advance(milliseconds(300));
  ASSERT_EQ(world.workers.at(worker).runs.size(), 8u);
  world.SetCapacity(worker, 16);
  world.Advance(milliseconds(3300));
  world.Cancel("stopped");
  world.Submit("next", Work(4, 500));
  world.Advance(seconds(2));
  EXPECT_EQ(world.StartsOf(JobId("next")), 0);
  world.Advance(seconds(8));
  for (const auto& it : world.violations) {
    ADD_FAILURE() << it;
  }
  EXPECT_EQ(world.State("next"), JobState::kCompleted);
}

}  // namespace
}  // namespace baobab
