// Workers that start again under their ids: what was ordered, granted or
// answered before holds for the former process only.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns a job of one task. */
JobSpec LongJob(Duration duration) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {
      JobWorld::Step(1, 3, static_cast<int>(duration / milliseconds(1)))};
  return spec;
}

struct UnnoticedRestartCase {
  const char* name;
  /** Time from the last start of an earlier task to the restart, which decides
   * where in its interval a waiting poll is interrupted. */
  Duration offset;
};

void PrintTo(const UnnoticedRestartCase& it, std::ostream* os) {
  *os << it.name;
}

class UnnoticedRestartTest
    : public testing::TestWithParam<UnnoticedRestartCase> {};

// A worker restarts, gets a start, and is cut off before it answers a poll: its
// lease ends later than one on the clock of the former process. Guards against
// a second run while that lease holds.
TEST_P(UnnoticedRestartTest, RunsNoTaskTwice) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(milliseconds(300));
  world.Submit("j1", LongJob(seconds(90)));
  world.Advance(seconds(30) + GetParam().offset);
  world.Crash(id);
  world.Restart(id);
  world.Submit("j2", LongJob(seconds(20)));
  world.Advance(milliseconds(200));
  ASSERT_EQ(world.RunsOf({JobId("j2"), 0, 0, 0}), 1);
  world.workers.at(id).reachable = false;
  world.AddWorker("w1");
  world.Advance(seconds(120));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  EXPECT_EQ(world.State("j2"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Offsets,
    UnnoticedRestartTest,
    testing::Values(UnnoticedRestartCase{"Ms0", milliseconds(0)},
                    UnnoticedRestartCase{"Ms200", milliseconds(200)},
                    UnnoticedRestartCase{"Ms400", milliseconds(400)},
                    UnnoticedRestartCase{"Ms600", milliseconds(600)},
                    UnnoticedRestartCase{"Ms800", milliseconds(800)}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
