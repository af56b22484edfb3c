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

// Guards against refusals after a single short delay, and against a state that
// changes with each event.
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

// Replays an owner that is behind with its work. Guards against accepting more,
// which makes all jobs late, and against forgetting a job that it has accepted.
// (Found in trouble-1 of garza-sched-grown: 1500 starts a second on half a
// core, everything done seconds late.)
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
