// Leases of workers that were idle, and so not polled, for some time. The
// expected reading of their clock is then off by up to 2 % of that time.

#include <gtest/gtest.h>

#include <chrono>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct IdleCase {
  const char* name;
  /** Rate of the worker's clock. */
  double clock_rate;
  Duration idle;
};

class IdleWorkerTest : public testing::TestWithParam<IdleCase> {
 protected:
  static constexpr char kJob[] = "j1";

  /** Starts a job of one task on a worker that was idle before. */
  void SetUp() override {
    worker = world.AddWorker("w0");
    world.workers.at(worker).clock_rate = GetParam().clock_rate;
    world.TakeOver();
    world.Advance(GetParam().idle);
    JobSpec spec;
    spec.payload = "long";
    spec.steps = {JobWorld::Step(1, 4, 60'000)};
    world.Submit(kJob, spec);
    world.Advance(milliseconds(100));
    ASSERT_EQ(world.StartsOf(JobId(kJob)), 1);
    world.AddWorker("w1");
  }

  void TearDown() override {
    for (const auto& it : world.violations) {
      ADD_FAILURE() << it;
    }
  }

  JobWorld world;
  WorkerId worker;
};

// Guards against leases that grow with the time for which a worker was idle
// before, so that the runs of a lost worker are restarted late.
TEST_P(IdleWorkerTest, ItsRunsRestartWithinTheLease) {
  world.Advance(seconds(12));
  world.workers.at(worker).reachable = false;
  world.Advance(world.tuning.lease + seconds(2));
  EXPECT_EQ(world.StartsOf(JobId(kJob)), 2);
}

// Guards against a second run while the first one still has a lease of a former
// owner that ends later than that of the new owner.
TEST_P(IdleWorkerTest, NewOwnerWaitsForTheLeaseOfTheFormerOne) {
  world.TakeOver();
  world.Advance(milliseconds(50));
  world.workers.at(worker).reachable = false;
  world.Advance(seconds(10));
  EXPECT_EQ(world.StartsOf(JobId(kJob)), 2);
}

INSTANTIATE_TEST_SUITE_P(
    Workers,
    IdleWorkerTest,
    testing::Values(IdleCase{"ExactClock", 1.0, seconds(300)},
                    IdleCase{"SlowClockShortIdle", 0.98, seconds(20)},
                    IdleCase{"SlowClock", 0.98, seconds(120)},
                    IdleCase{"SlowClockLongIdle", 0.98, seconds(300)}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
