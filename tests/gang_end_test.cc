// Gangs of which one member has ended while another one is lost with its
// worker.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Work of a gang, and of a step before or behind it. */
constexpr int kGangMs = 3000;
constexpr int kOtherStepMs = 300;

enum class OtherStep { kNone, kBefore, kBehind };

struct GangEndCase {
  const char* name;
  /** 0 for a job without occurrences. */
  int repeats;
  OtherStep other_step;
  int members = 2;
};

void PrintTo(const GangEndCase& it, std::ostream* os) {
  *os << it.name;
}

JobSpec GangOf(const GangEndCase& it) {
  JobSpec spec;
  spec.payload = "gang";
  spec.steps = {JobWorld::Step(it.members, 20, kGangMs)};
  spec.steps[0].gang = true;
  if (it.other_step == OtherStep::kBefore) {
    spec.steps.insert(spec.steps.begin(), JobWorld::Step(1, 1, kOtherStepMs));
    spec.steps[1].after = {0};
  } else if (it.other_step == OtherStep::kBehind) {
    spec.steps.push_back(JobWorld::Step(1, 1, kOtherStepMs));
    spec.steps[1].after = {0};
  }
  if (it.repeats > 0) {
    spec.repeats = it.repeats;
    spec.first_due_wall_ms = 1;
    spec.interval_ms = 1;
  }
  return spec;
}

class GangEndTest : public testing::TestWithParam<GangEndCase> {};

// All members have ended; before the next owner learns of it, the worker of
// the first one crashes and starts again, and its report arrives first. Guards
// against an owner that ends with an error, as each one after it would, and
// against steps that are ready without a task to place.
TEST_P(GangEndTest, MemberIsLostAfterTheGangWasDone) {
  JobWorld world;
  for (int i = 0; i < GetParam().members; ++i) {
    world.AddWorker("w" + std::to_string(i), 30);
  }
  world.TakeOver();
  world.Advance(seconds(1));
  world.Submit("gang", GangOf(GetParam()));
  world.Advance(seconds(2));
  for (auto& [id, worker] : world.workers) {
    ASSERT_EQ(worker.runs.size(), 1u) << id.value();
    worker.reachable = false;
  }
  world.Advance(seconds(2));
  for (auto& [id, worker] : world.workers) {
    ASSERT_FALSE(worker.ended.empty()) << id.value();
    ASSERT_EQ(worker.ended.back().kind, EndKind::kDone);
    worker.reachable = true;
  }
  const WorkerId first("w0");
  world.Crash(first);
  world.Restart(first);
  world.TakeOver();
  world.Advance(seconds(30));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("gang"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Jobs,
    GangEndTest,
    testing::Values(
        GangEndCase{"Single", 0, OtherStep::kNone},
        GangEndCase{"StepBehind", 0, OtherStep::kBehind},
        GangEndCase{"StepBefore", 0, OtherStep::kBefore},
        GangEndCase{"FirstOccurrence", 3, OtherStep::kNone},
        GangEndCase{"LastOccurrence", 1, OtherStep::kNone},
        GangEndCase{"OccurrencesWithStepBehind", 3, OtherStep::kBehind},
        GangEndCase{"OccurrencesWithStepBefore", 3, OtherStep::kBefore},
        GangEndCase{"ThreeMembers", 3, OtherStep::kNone, 3}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
