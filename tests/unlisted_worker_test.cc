#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 3;

struct NewOwnerCase {
  const char* name;
  /** The new owner reaches the worker. */
  bool answers;
  /** Time from the removal of the worker's entry to the change of owners. */
  Duration unlisted_before;
  /** Time from the change of owners until the entry is back, if it comes back.
   */
  std::optional<Duration> back_after = std::nullopt;
  /** Rate of the worker's clock. */
  double clock_rate = 1.0;
  /** Time from the change of owners for which the former one gives orders. */
  Duration former_owner_runs_for{0};
};

void PrintTo(const NewOwnerCase& it, std::ostream* os) {
  *os << it.name;
}

class NewOwnerOfUnlistedWorkerTest
    : public testing::TestWithParam<NewOwnerCase> {};

// A worker that is cut off from the store only runs tasks under leases of a
// former owner. Guards against a new owner that starts them elsewhere before
// these leases have ended, or although the worker answers it.
TEST_P(NewOwnerOfUnlistedWorkerTest, RunsNoTaskTwice) {
  const auto& param = GetParam();
  JobWorld world;
  const auto cut_off = world.AddWorker("w1");
  world.workers.at(cut_off).clock_rate = param.clock_rate;
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(kTasks, 3, 25'000)};
  world.Submit("j1", spec);
  world.Advance(milliseconds(700));
  ASSERT_EQ(world.workers.at(cut_off).runs.size(), kTasks);
  const auto other = world.AddWorker("w2");
  world.listed = {other};
  world.Advance(param.unlisted_before);
  ASSERT_EQ(world.workers.at(cut_off).runs.size(), kTasks);
  world.former_runs = param.former_owner_runs_for > Duration(0);
  world.TakeOver();
  if (!param.answers) {
    world.workers.at(cut_off).cut_off_from = world.token;
  }
  world.Advance(param.former_owner_runs_for);
  world.former_runs = false;
  if (param.back_after) {
    world.Advance(*param.back_after);
    world.listed.clear();
  }
  world.Advance(seconds(70));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.starts, param.answers ? kTasks : 2 * kTasks);
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Workers,
    NewOwnerOfUnlistedWorkerTest,
    testing::Values(NewOwnerCase{"Answers", true, seconds(4)},
                    NewOwnerCase{"AnswersAndComesBack", true, seconds(4),
                                 milliseconds(3300)},
                    NewOwnerCase{"AnswersBothOwners", true, seconds(4),
                                 std::nullopt, 1.0, seconds(4)},
                    NewOwnerCase{"Silent", false, seconds(4)},
                    NewOwnerCase{"SilentAndComesBack", false, seconds(4),
                                 milliseconds(3300)},
                    NewOwnerCase{"SilentWithSlowClock", false, seconds(4),
                                 std::nullopt, 0.98},
                    NewOwnerCase{"AnswersFormerOwnerOnly", false, seconds(4),
                                 std::nullopt, 0.98, seconds(4)},
                    NewOwnerCase{"GoesAtTheTakeover", false, milliseconds(50)}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace baobab
