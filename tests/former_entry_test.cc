// Workers that have started again as another kind, while the list that was read
// last still has the entries of their former processes.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMilliCores = 1000;

struct ChangedKindCase {
  const char* name;
  std::int64_t cores;
  const char* label;
  /** A new owner has only the list that was read last. */
  bool take_over;
};

void PrintTo(const ChangedKindCase& it, std::ostream* os) {
  *os << it.name;
}

class ChangedKindTest : public testing::TestWithParam<ChangedKindCase> {};

// A poll shows a new process before the list does. Guards against starts by the
// capacity and the labels of the former one.
TEST_P(ChangedKindTest, GetsNoStartsByItsFormerEntry) {
  JobWorld world;
  const auto id = world.AddWorker("w0", 32);
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 32, 6000)};
  spec.steps[0].label = "a";
  world.Submit("job", spec);
  world.Advance(seconds(2));
  ASSERT_EQ(world.starts, 1);
  world.listing = false;
  world.Crash(id);
  world.Restart(id);
  auto& entry = world.workers.at(id).entry;
  entry.capacity.cpu_milli = GetParam().cores * kMilliCores;
  entry.labels = {GetParam().label, "r1"};
  if (GetParam().take_over) {
    world.store_up = false;
    world.TakeOver();
    world.store_up = true;
  }
  world.Advance(seconds(3));
  EXPECT_EQ(world.starts, 1);
  world.listing = true;
  world.AddWorker("w1", 32);
  world.Advance(seconds(10));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("job"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    ChangedKindTest,
    testing::Values(ChangedKindCase{"Smaller", 8, "a", false},
                    ChangedKindCase{"OtherLabel", 32, "b", false},
                    ChangedKindCase{"SmallerAndNewOwner", 8, "a", true},
                    ChangedKindCase{"OtherLabelAndNewOwner", 32, "b", true}),
    [](const auto& it) { return it.param.name; });

class SetBackClockTest : public testing::TestWithParam<bool> {};

// The clock of a host is set back before its worker starts again, so that the
// new process has the lower start time. Guards against a worker that is never
// used again, since its entry seems to be that of a former process.
TEST_P(SetBackClockTest, WorkerIsUsedAgain) {
  const bool is_busy = GetParam();
  JobWorld world;
  const auto id = world.AddWorker("w0", 32);
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(4, 4, is_busy ? 3000 : 100)};
  world.Submit("first", spec);
  world.Advance(seconds(2));
  world.Crash(id);
  world.Restart(id);
  world.workers.at(id).entry.incarnation -= 1000;
  world.Advance(seconds(2));
  const int starts = world.starts;
  world.Submit("second", spec);
  world.Advance(milliseconds(300));
  EXPECT_GT(world.starts, starts);
  world.Advance(seconds(10));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("first"), JobState::kCompleted);
  EXPECT_EQ(world.State("second"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         SetBackClockTest,
                         testing::Bool(),
                         [](const auto& it) {
                           return it.param ? "Busy" : "Idle";
                         });

}  // namespace
}  // namespace baobab
