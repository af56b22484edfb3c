#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"
#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec SmallTasks(int count, int duration_ms) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(count, 1, duration_ms)};
  spec.steps[0].need = {10, 1, 0};
  return spec;
}

JobSpec TwoSteps() {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(2, 1, 600), JobWorld::Step(2, 1, 600)};
  spec.steps[1].after = {0};
  return spec;
}

struct LargeJobCase {
  const char* name;
  int tasks;
  /** Occurrences, all due at once. */
  int repeats;
  /** Size of the checkpoint in each report. */
  std::size_t checkpoint_bytes;
  bool new_owner;
};

void PrintTo(const LargeJobCase& it, std::ostream* os) {
  *os << it.name;
}

class LargeJobTest : public testing::TestWithParam<LargeJobCase> {};

// A job has so many tasks, occurrences or checkpoints that its progress exceeds
// the store's limit of a record. Guards against an owner that repeats a record
// which can never be stored, and so stores nothing else.
TEST_P(LargeJobTest, NoRecordExceedsTheLimit) {
  JobWorld world;
  for (const char* it : {"i-e6bdaa1b60", "i-f46debc699", "i-0a1b2c3d4e"}) {
    world.AddWorker(it, 64);
  }
  world.checkpoint = std::string(GetParam().checkpoint_bytes, 'c');
  world.TakeOver();
  world.Advance(milliseconds(300));
  world.Submit("small1", TwoSteps());
  auto spec = SmallTasks(GetParam().tasks, 3000);
  spec.repeats = GetParam().repeats;
  if (spec.repeats > 0) {
    spec.first_due_wall_ms = 1'700'000'000'000;
    spec.interval_ms = 1;
  }
  world.Submit("large", spec);
  world.Advance(milliseconds(1500));
  if (GetParam().new_owner) {
    world.TakeOver();
    world.Advance(milliseconds(300));
  }
  world.Submit("small2", TwoSteps());
  world.Advance(seconds(12));
  EXPECT_LE(world.largest_record, world.tuning.max_record_bytes);
  for (const char* it : {"small1", "small2", "large"}) {
    EXPECT_EQ(world.State(it), JobState::kCompleted) << it;
  }
  EXPECT_EQ(world.starts_of[(TaskId{JobId("large"), 0, 0, 0})], 1);
  EXPECT_EQ(world.violations, std::vector<std::string>());
  // Nothing remains of the rows of a job that has ended. The shard has one
  // record beside those of the jobs.
  EXPECT_EQ(world.store.count(SettledPlacementsKey()), 1u);
  EXPECT_EQ(world.store.size(), 7u);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs,
    LargeJobTest,
    testing::Values(LargeJobCase{"ManyTasks", 7000, 0, 0, false},
                    LargeJobCase{"MostTasks", kMaxTasksPerJob, 0, 0, false},
                    LargeJobCase{"NewOwner", 7000, 0, 0, true},
                    LargeJobCase{"ManyOccurrences", 50, 140, 0, true},
                    LargeJobCase{"LongCheckpoints", 2000, 0, 900, true},
                    LargeJobCase{"CheckpointsOverTheLimit", 2000, 0, 5000,
                                 true}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a job whose record is written whole for each of its tasks.
TEST(LargeJobRecordTest, GrowsWithWhatHasChanged) {
  JobWorld world;
  world.AddWorker("w1", 128);
  world.TakeOver();
  world.Advance(milliseconds(300));
  world.Submit("large", SmallTasks(7000, 60'000));
  world.Advance(seconds(2));
  ASSERT_EQ(world.starts, 7000);
  const auto stored = world.stored_bytes;
  world.FailRun({JobId("large"), 0, 0, 4321});
  world.Advance(seconds(1));
  EXPECT_EQ(world.starts, 7001);
  // Two records with the end and the next start, each of the rows of one part.
  constexpr std::size_t kMaxRowBytes = 80;
  EXPECT_LE(world.stored_bytes - stored, 2 * kMaxRowBytes * kTasksPerRecord);
}

struct TooLargeCase {
  const char* name;
  int steps;
  int dependencies;
  std::size_t label_bytes;
  SubmitVerdict verdict;
};

void PrintTo(const TooLargeCase& it, std::ostream* os) {
  *os << it.name;
}

class TooLargeJobTest : public testing::TestWithParam<TooLargeCase> {};

// Guards against a job that is accepted although its acceptance can never be
// stored.
TEST_P(TooLargeJobTest, IsRefusedAtOnce) {
  JobWorld world;
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = std::string(4000, 'x');
  for (int i = 0; i < GetParam().steps; ++i) {
    auto step = JobWorld::Step(1, 1, 10);
    step.label = std::string(GetParam().label_bytes, 'l');
    for (int n = 0; n < std::min(i, GetParam().dependencies); ++n) {
      step.after.push_back(n);
    }
    spec.steps.push_back(step);
  }
  world.Submit("j1", spec);
  world.Advance(milliseconds(100));
  EXPECT_EQ(world.verdicts.at(JobId("j1")), GetParam().verdict);
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    TooLargeJobTest,
    testing::Values(
        TooLargeCase{"Steps", 10'000, 0, 10, SubmitVerdict::kInvalid},
        TooLargeCase{"Dependencies", 1000, 900, 0, SubmitVerdict::kInvalid},
        TooLargeCase{"Labels", 300, 0, 1000, SubmitVerdict::kInvalid},
        TooLargeCase{"Fits", 1500, 2, 0, SubmitVerdict::kAccepted}),
    [](const auto& it) { return std::string(it.param.name); });

/** A node on a store with limits. */
class LimitedStoreTest : public testing::Test {
 protected:
  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.Divide("service", {ShardId(1)});
  }

  void TearDown() override {
    node.reset();
    const auto text = testing::internal::GetCapturedStdout();
    if (HasFailure()) {
      std::cout << text;
    }
  }

  void Start() {
    node = std::make_unique<TestNode>(
        platform, "127.0.0.1:" + std::to_string(FreePort()));
    loop.run_for(milliseconds(900));
  }

  int Submit(const std::string& job, int tasks) {
    return CallNode(loop, *node, "POST", "/jobs/queue/" + job,
                    R"({"payload":"x","steps":[{"cpu_milli":10,"count":)" +
                        std::to_string(tasks) + "}]}")
        .status;
  }

  std::string State(const std::string& job) {
    return CallNode(loop, *node, "GET", "/jobs/queue/" + job).body;
  }

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  std::unique_ptr<TestNode> node;
};

// Guards against a commit that exceeds the store's limit of a call.
TEST_F(LimitedStoreTest, CommitIsSplit) {
  platform.max_request_bytes = 16'384;
  Start();
  ASSERT_EQ(Submit("large", 2000), 200);
  ASSERT_EQ(Submit("small", 2), 200);
  loop.run_for(milliseconds(4000));
  EXPECT_EQ(State("small"), R"({"state":"completed"})");
  EXPECT_EQ(State("large"), R"({"state":"completed"})");
  EXPECT_EQ(platform.rejections, 0);
  EXPECT_GT(platform.largest_append, 8000u);
}

// Guards against a record that the store never takes, behind which all others
// of the shard wait.
TEST_F(LimitedStoreTest, RejectedRecordStopsNoOther) {
  platform.rejected_key = "a/bad";
  Start();
  ASSERT_EQ(Submit("before", 2), 200);
  EXPECT_EQ(Submit("bad", 2), 400);
  EXPECT_EQ(Submit("after", 2), 200);
  platform.rejected_key = "p/during";
  ASSERT_EQ(Submit("during", 2), 400);
  EXPECT_EQ(Submit("last", 2), 200);
  loop.run_for(milliseconds(1500));
  for (const char* it : {"before", "after", "last"}) {
    EXPECT_EQ(State(it), R"({"state":"completed"})") << it;
  }
  for (const auto& [task, starts] : platform.starts) {
    EXPECT_NE(task.job, JobId("bad"));
    EXPECT_NE(task.job, JobId("during"));
  }
}

}  // namespace
}  // namespace baobab
