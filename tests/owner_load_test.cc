#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

struct LagCase {
  const char* name;
  std::vector<int> lags_ms;
  bool busy;
};

class OwnerLoadTest : public testing::TestWithParam<LagCase> {};

// Guards against refusing jobs after a single short delay, and against a state
// that flips with each event.
TEST_P(OwnerLoadTest, IsBusyUntilTheLagIsGone) {
  OwnerLoad load;
  for (const int it : GetParam().lags_ms) {
    load.Observe(milliseconds(it));
  }
  EXPECT_EQ(load.IsBusy(), GetParam().busy);
}

INSTANTIATE_TEST_SUITE_P(
    Lags,
    OwnerLoadTest,
    testing::Values(LagCase{"Calm", {0, 5, 60}, false},
                    LagCase{"Behind", {5, 150}, true},
                    LagCase{"StillBehind", {150, 60}, true},
                    LagCase{"Recovered", {150, 20}, false},
                    LagCase{"Early", {-3}, false}),
    [](const auto& info) { return info.param.name; });

// Guards against an owner that accepts more jobs while it is behind, which
// makes all jobs late, and against one that then refuses a job it has accepted
// before. In a load test with 1500 starts per second on half a core, everything
// was done seconds late.
TEST(OwnerLoadTest, BusyOwnerRefusesNewJobsOnly) {
  JobWorld world;
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 4, 500)};
  world.Submit("early", spec);
  world.Advance(milliseconds(20));
  world.engine->Apply(
      {world.now, 1'700'000'000'000, PoolTick{milliseconds(400)}});
  world.Submit("early", spec);
  world.Submit("new", spec);
  world.Advance(milliseconds(20));
  EXPECT_EQ(world.verdicts.at(JobId("early")), SubmitVerdict::kAccepted);
  EXPECT_EQ(world.verdicts.at(JobId("new")), SubmitVerdict::kRefused);
}

}  // namespace
}  // namespace baobab
