#include <gtest/gtest.h>

#include <chrono>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A former owner has stored that it waits for the leases of a worker, and the
// next one gets only one answer of that worker. Guards against an owner that
// takes the leases of former owners for expired because it has granted none.
TEST(LeaseWaitTest, WorkerThatAnsweredOnceKeepsItsRuns) {
  JobWorld world;
  const auto id = world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(3, 3, 25'000)};
  world.Submit("j1", spec);
  world.Advance(milliseconds(300));
  ASSERT_EQ(world.workers.at(id).runs.size(), 3u);
  world.AddWorker("w2");
  world.TakeOver();
  world.workers.at(id).cut_off_from = world.token;
  world.Advance(milliseconds(1300));
  world.TakeOver();
  world.Advance(milliseconds(20));
  ASSERT_EQ(world.workers.at(id).highest_token, world.token);
  world.workers.at(id).reachable = false;
  world.Advance(seconds(60));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

}  // namespace
}  // namespace baobab
