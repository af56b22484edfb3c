// A job at which owners end with an unexpected error.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"
#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kJob[] =
    R"({"payload":"x","steps":[{"count":1,"cpu_milli":1000,)"
    R"("estimate_ms":300}]})";

// Each owner fails when it starts a task of one job. Guards against a shard
// that no owner can serve any more, and against a job that is lost or started
// over and over.
TEST(FailingJobTest, OtherJobsOfTheShardAreServed) {
  testing::internal::CaptureStdout();
  boost::asio::io_context loop;
  FakePlatform platform{loop};
  platform.Divide("service", {ShardId(1)});
  platform.run_time = milliseconds(300);
  platform.fails_on_start_of = JobId("j1");
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (int i = 0; i < 2; ++i) {
    nodes.push_back(std::make_unique<TestNode>(
        platform, "127.0.0.1:" + std::to_string(FreePort())));
  }
  loop.run_for(milliseconds(700));
  const auto accepted =
      CallNode(loop, *nodes[0], "POST", "/jobs/queue/j1", kJob);
  loop.run_for(seconds(10));
  const auto other = CallNode(loop, *nodes[0], "POST", "/jobs/queue/j2", kJob);
  loop.run_for(seconds(2));
  const auto state = CallNode(loop, *nodes[1], "GET", "/jobs/queue/j1");
  const auto other_state = CallNode(loop, *nodes[1], "GET", "/jobs/queue/j2");
  const auto cancelled = CallNode(loop, *nodes[1], "DELETE", "/jobs/queue/j1");
  const auto status = CallNode(loop, *nodes[0], "GET", "/status").body +
                      CallNode(loop, *nodes[1], "GET", "/status").body;
  const auto log = testing::internal::GetCapturedStdout();
  EXPECT_EQ(accepted.status, 200);
  EXPECT_EQ(other.status, 200) << log;
  EXPECT_EQ(state.body, R"({"state":"queued"})") << log;
  EXPECT_EQ(other_state.body, R"({"state":"completed"})");
  EXPECT_EQ(cancelled.status, 503);
  EXPECT_NE(status.find("set-aside 1"), std::string::npos) << status;
  EXPECT_NE(log.find("event=shard-failed job=j1"), std::string::npos);
  EXPECT_NE(log.find("event=set-aside-job job=j1"), std::string::npos);
}

/** Returns a job with a gang, then a step of one task. */
JobSpec GangAndStep() {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(2, 3, 3000), JobWorld::Step(1, 1, 300)};
  spec.steps[0].gang = true;
  spec.steps[1].after = {0};
  return spec;
}

// Guards against runs of a job that is set aside being stopped, started again,
// or forgotten when they end, and against a job that does not go on once it is
// no longer set aside.
TEST(SetAsideJobTest, ItsRunsGoOnAndItsEndsAreKept) {
  JobWorld world;
  world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(1));
  world.Submit("j1", GangAndStep());
  world.Advance(seconds(1));
  const auto key = JobFailuresKey(JobId("j1"));
  world.store[key] = EncodeJobFailures(2);
  world.TakeOver();
  world.Advance(seconds(1));
  EXPECT_EQ(world.RunsOf({JobId("j1"), 0, 0, 0}), 1);
  world.Submit("j2", GangAndStep());
  world.Advance(seconds(6));
  EXPECT_EQ(world.State("j2"), JobState::kCompleted);
  EXPECT_EQ(world.State("j1"), JobState::kRunning);
  EXPECT_EQ(world.StartsOf(JobId("j1")), 2);
  EXPECT_EQ(world.acknowledged_done.count({JobId("j1"), 0, 0, 1}), 1u);
  world.store.erase(key);
  world.TakeOver();
  world.Advance(seconds(2));
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  EXPECT_EQ(world.StartsOf(JobId("j1")), 3);
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

// Guards against a job that is set aside for good by one failure, whose reason
// may be gone with its owner's process.
TEST(SetAsideJobTest, OneFailureDoesNotSetAside) {
  JobWorld world;
  world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(1));
  world.Submit("j1", GangAndStep());
  world.Advance(seconds(1));
  world.store[JobFailuresKey(JobId("j1"))] = EncodeJobFailures(1);
  world.TakeOver();
  world.Advance(seconds(6));
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

}  // namespace
}  // namespace baobab
