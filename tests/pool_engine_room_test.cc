#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Memory of a simulated host, in MB. */
constexpr std::int64_t kHostMemory = 262144;

StepSpec StepOf(int count, std::int64_t cores, std::int64_t mem_mb) {
  auto step = JobWorld::Step(count, cores, 600);
  step.need.mem_mb = mem_mb;
  return step;
}

JobSpec JobOf(const StepSpec& step) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {step};
  return spec;
}

StepSpec LongRunning(StepSpec step) {
  step.long_running = true;
  return step;
}

StepSpec Gang(StepSpec step) {
  step.gang = true;
  return step;
}

StepSpec Limited(StepSpec step, int max_per_worker) {
  step.max_per_worker = max_per_worker;
  return step;
}

StepSpec Labelled(StepSpec step, const char* label) {
  step.label = label;
  return step;
}

struct RoomCase {
  const char* name;
  /** Holds resources of the two hosts of the cell for the whole test. */
  StepSpec holder;
  StepSpec waiting;
  int missing_hosts;
};

class MissingHostsTest : public testing::TestWithParam<RoomCase> {
 protected:
  void SetUp() override {
    world.AddWorker("w1");
    world.AddWorker("w2");
    world.TakeOver();
    world.Advance(milliseconds(300));
    world.Submit("holder", JobOf(GetParam().holder));
    world.Advance(milliseconds(200));
    world.Submit("j1", JobOf(GetParam().waiting));
    world.Advance(milliseconds(100));
  }

  void TearDown() override {
    for (const auto& it : world.violations) {
      ADD_FAILURE() << it;
    }
  }

  ServiceUsage Usage() const {
    return world.engine->Usage(world.now).services.at(0);
  }

  JobWorld world;
};

// An accepted job of the garza-sched-grown site was never started: all workers
// of its cell had the cores, none the memory, and nobody asked for a host.
// Guards against finite tasks that no worker of their cell can ever take and
// that are not counted as lacking a host.
TEST_P(MissingHostsTest, CountsHostsForTasksThatNoWorkerCanTake) {
  EXPECT_EQ(Usage().missing_hosts, GetParam().missing_hosts);
  EXPECT_EQ(Usage().missing_hosts_late, 0);
}

// Guards against a job that lacks a host only as long as it can be in time.
TEST_P(MissingHostsTest, CountsHostsForLateJobs) {
  world.Advance(seconds(10));
  const bool waits = world.State("j1") == JobState::kQueued;
  EXPECT_EQ(waits, Usage().waiting_late > 0);
  EXPECT_EQ(Usage().missing_hosts, 0);
  EXPECT_EQ(Usage().missing_hosts_late, GetParam().missing_hosts);
}

// Guards against a host that has arrived but is not given to the waiting job.
TEST_P(MissingHostsTest, LateJobsRunOnceTheHostsHaveArrived) {
  if (GetParam().missing_hosts == 0) {
    return;
  }
  world.Advance(seconds(10));
  for (int i = 0; i < GetParam().missing_hosts; ++i) {
    world.AddWorker("new" + std::to_string(i));
  }
  world.Advance(seconds(2));
  EXPECT_EQ(Usage().missing_hosts_late, 0);
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

const StepSpec kMemoryHolder =
    LongRunning(Limited(StepOf(2, 8, kHostMemory - 20'000), 1));
const StepSpec kCoreHolder = LongRunning(Limited(StepOf(2, 60, 1000), 1));

INSTANTIATE_TEST_SUITE_P(
    Needs,
    MissingHostsTest,
    testing::Values(
        RoomCase{"Memory", kMemoryHolder, StepOf(10, 8, 80'000), 4},
        RoomCase{"Cores", kCoreHolder, StepOf(1, 8, 1000), 1},
        RoomCase{"OneLimitedPerHost", kMemoryHolder,
                 Limited(StepOf(3, 8, 80'000), 1), 3},
        RoomCase{"PartOfAGang", kMemoryHolder, Gang(StepOf(4, 8, 20'000)), 1},
        RoomCase{"OneFits", kMemoryHolder, StepOf(10, 8, 20'000), 0},
        RoomCase{"HeldByFiniteRuns", StepOf(2, 8, kHostMemory - 20'000),
                 StepOf(10, 8, 80'000), 0}),
    [](const auto& it) { return it.param.name; });

// Guards against hosts that are brought one after the other for a task that
// fits on none.
TEST(MissingHosts, AsksForNoHostsThatCannotTakeTheTask) {
  for (const auto& step :
       {LongRunning(StepOf(1, 8, kHostMemory + 1)),
        Labelled(LongRunning(StepOf(1, 8, 100)), "of-no-host"),
        Labelled(StepOf(1, 8, 100), "of-no-host")}) {
    JobWorld world;
    world.AddWorker("w1");
    world.TakeOver();
    world.Advance(milliseconds(300));
    world.Submit("j1", JobOf(step));
    world.Advance(milliseconds(100));
    const auto usage = world.engine->Usage(world.now).services.at(0);
    EXPECT_EQ(world.State("j1"), JobState::kQueued);
    EXPECT_EQ(usage.missing_hosts + usage.missing_hosts_late, 0);
  }
}

// Guards against a job that is never started although there is room, since the
// search stops at the many long-running jobs ahead of it that lack a host.
TEST(MissingHosts, JobsThatLackAHostHoldUpNoOthers) {
  JobWorld world;
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  world.Submit("holder", JobOf(LongRunning(StepOf(1, 8, 200'000))));
  world.Advance(milliseconds(100));
  for (int i = 0; i < 30; ++i) {
    world.Submit("service" + std::to_string(i),
                 JobOf(LongRunning(StepOf(1, 1, 80'000))));
  }
  // Cannot start a second time on the same worker.
  for (int i = 0; i < 30; ++i) {
    world.Submit("pair" + std::to_string(i),
                 JobOf(LongRunning(Limited(StepOf(2, 1, 10), 1))));
  }
  world.Advance(milliseconds(200));
  world.Submit("j1", JobOf(StepOf(1, 1, 100)));
  world.Advance(seconds(2));
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  EXPECT_TRUE(world.violations.empty());
}

// Guards against the same hold-up by long-running tasks that wait for the time
// of their restart.
TEST(MissingHosts, TasksThatWaitForARestartHoldUpNoOthers) {
  JobWorld world;
  world.tuning.restart_backoff = seconds(20);
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  for (int i = 0; i < 30; ++i) {
    world.Submit("service" + std::to_string(i),
                 JobOf(LongRunning(StepOf(1, 1, 100))));
  }
  world.Advance(seconds(1));
  world.drops_crashed = true;
  world.Crash(WorkerId("w1"));
  world.AddWorker("w2");
  world.Advance(seconds(9));
  world.Submit("j1", JobOf(StepOf(1, 1, 100)));
  world.Advance(seconds(2));
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  EXPECT_TRUE(world.violations.empty());
}

}  // namespace
}  // namespace baobab
