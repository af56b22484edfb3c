#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <ostream>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 1200;

struct HiddenEndsCase {
  const char* name;
  /** Happens while the store is down and most ends are not listed. */
  std::function<void(JobWorld&)> event;
  /** Whether all tasks run to their ends. */
  bool completes = true;
};

void PrintTo(const HiddenEndsCase& it, std::ostream* os) {
  *os << it.name;
}

class HiddenEndsTest : public testing::TestWithParam<HiddenEndsCase> {};

// More runs end at a worker during an outage of the store than one
// report lists. Guards against taking those behind the listed ones for lost and
// starting their tasks again.
TEST_P(HiddenEndsTest, RunsNeverTwice) {
  JobWorld world;
  world.AddWorker("w1", 200);
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(kTasks, 1, 2000)};
  spec.steps[0].need = {100, 10, 0};
  world.Submit("j1", spec);
  world.Advance(milliseconds(500));
  ASSERT_EQ(world.starts, kTasks);
  world.store_up = false;
  world.Advance(milliseconds(2500));
  ASSERT_EQ(world.workers.at(WorkerId("w1")).ended.size(), kTasks);
  GetParam().event(world);
  world.Advance(seconds(2));
  world.store_up = true;
  world.Advance(seconds(10));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.starts, kTasks);
  if (GetParam().completes) {
    EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    HiddenEndsTest,
    testing::Values(
        HiddenEndsCase{"Outage", [](JobWorld&) {}},
        HiddenEndsCase{"NewOwner", [](JobWorld& it) { it.TakeOver(); }},
        HiddenEndsCase{"OwnerPaused",
                       [](JobWorld& it) { it.now += milliseconds(700); }},
        HiddenEndsCase{"Cancelled", [](JobWorld& it) { it.Cancel("j1"); },
                       false}),
    [](const auto& it) { return std::string(it.param.name); });

// The list of workers cannot be read for 3 s after a takeover, and an entry
// that expired meanwhile is back 0.5 s later. Guards against counting the time
// without lists as absence, and starting the worker's runs a second time.
TEST(UnlistedWorkerTest, TimeWithoutListsIsNoAbsence) {
  JobWorld world;
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 4, 9000)};
  world.Submit("j1", spec);
  world.Advance(milliseconds(300));
  ASSERT_EQ(world.workers.at(WorkerId("w1")).runs.size(), 1u);
  world.AddWorker("w2");
  world.listed = {WorkerId("w2")};
  world.TakeOver();
  world.listing = false;
  world.Advance(seconds(3));
  world.List();
  world.Advance(milliseconds(500));
  world.listed.clear();
  world.listing = true;
  world.Advance(seconds(9));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

}  // namespace
}  // namespace baobab
