#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec SmallStep(int count, int duration_ms) {
  auto step = JobWorld::Step(count, 1, duration_ms);
  step.need = {1, 1, 0};
  return step;
}

/** Returns a job with about `tasks` tasks. */
using MakeSpec = JobSpec (*)(int tasks);

JobSpec SpecOf(std::vector<StepSpec> steps) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = std::move(steps);
  return spec;
}

JobSpec IndependentSteps(int tasks) {
  return SpecOf(
      std::vector<StepSpec>(static_cast<std::size_t>(tasks), SmallStep(1, 20)));
}

/** Most of them wait for room. */
JobSpec StepsThatWait(int tasks) {
  auto spec = IndependentSteps(tasks);
  for (auto& it : spec.steps) {
    it.need.cpu_milli = 2000;
  }
  return spec;
}

JobSpec StepsOfTwoTasks(int tasks) {
  return SpecOf(std::vector<StepSpec>(static_cast<std::size_t>(tasks / 2),
                                      SmallStep(2, 20)));
}

JobSpec StepsOfDifferentLength(int tasks) {
  std::vector<StepSpec> steps;
  for (int i = 0; i < tasks; ++i) {
    steps.push_back(SmallStep(1, 20 + i / 10));
  }
  return SpecOf(std::move(steps));
}

JobSpec OneStep(int tasks) {
  return SpecOf({SmallStep(tasks, 20)});
}

/** Each step waits for the one before it. */
JobSpec Chain(int tasks) {
  std::vector<StepSpec> steps;
  for (int i = 0; i < tasks; ++i) {
    steps.push_back(SmallStep(1, 100));
    if (i > 0) {
      steps.back().after = {i - 1};
    }
  }
  return SpecOf(std::move(steps));
}

/** Each step waits for all 5 steps of the layer before it. */
JobSpec Layers(int tasks) {
  constexpr int kWidth = 5;
  std::vector<StepSpec> steps;
  for (int i = 0; i < tasks; ++i) {
    steps.push_back(SmallStep(1, 200));
    for (int it = i / kWidth * kWidth - kWidth;
         it >= 0 && it < i / kWidth * kWidth; ++it) {
      steps.back().after.push_back(it);
    }
  }
  return SpecOf(std::move(steps));
}

struct ShapeCase {
  const char* name;
  MakeSpec make;
  int few;
  int many;
};

void PrintTo(const ShapeCase& it, std::ostream* os) {
  *os << it.name;
}

/** Runs a job of the shape beside a few ordinary ones. */
class JobShapeTest : public testing::TestWithParam<ShapeCase> {
 protected:
  static JobSpec Ordinary() {
    auto spec = SpecOf({SmallStep(2, 600), SmallStep(2, 600)});
    spec.steps[1].after = {0};
    return spec;
  }

  /** Returns the engine's processor time for each task of the job. */
  static double ClocksPerTask(int tasks) {
    JobWorld world;
    world.checks_consistency = false;
    for (int i = 0; i < 9; ++i) {
      world.AddWorker("w" + std::to_string(i), 64);
    }
    world.TakeOver();
    world.Advance(milliseconds(300));
    world.Submit("before", Ordinary());
    world.Submit("large", GetParam().make(tasks));
    world.Advance(milliseconds(200));
    world.Submit("after", Ordinary());
    world.Advance(seconds(10));
    for (const char* it : {"before", "after"}) {
      EXPECT_EQ(world.State(it), JobState::kCompleted) << it;
    }
    for (int i = 0; i < 1200 && world.State("large") == JobState::kRunning;
         ++i) {
      world.Advance(milliseconds(500));
    }
    EXPECT_EQ(world.State("large"), JobState::kCompleted);
    EXPECT_EQ(world.violations, std::vector<std::string>());
    EXPECT_LE(world.most_orders,
              static_cast<std::ptrdiff_t>(world.tuning.max_orders_per_turn));
    RecordProperty("longest_turn_us_" + std::to_string(tasks),
                   std::to_string(world.longest_turn_clocks));
    return static_cast<double>(world.engine_clocks) / tasks;
  }
};

// Guards against a job with many steps or tasks that keeps its owner busy with
// a pass over all of them for each end of a task, so that no node answers.
TEST_P(JobShapeTest, CostOfATaskDoesNotGrowWithTheJob) {
  const auto few = ClocksPerTask(GetParam().few);
  const auto many = ClocksPerTask(GetParam().many);
  RecordProperty("us_per_task_few", std::to_string(few));
  RecordProperty("us_per_task_many", std::to_string(many));
  // A pass over all tasks for each of them makes it grow with their number.
  const double growth = static_cast<double>(GetParam().many) / GetParam().few;
  EXPECT_LE(many, few * growth / 2);
}

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    JobShapeTest,
    testing::Values(ShapeCase{"WaitFew", StepsThatWait, 300, 1500},
                    ShapeCase{"Wait", StepsThatWait, 1000, 10'000},
                    ShapeCase{"Independent", IndependentSteps, 1000, 10'000},
                    ShapeCase{"TwoTasks", StepsOfTwoTasks, 1000, 10'000},
                    ShapeCase{"DifferentLength", StepsOfDifferentLength, 1000,
                              10'000},
                    ShapeCase{"OneStep", OneStep, 1000, 10'000},
                    ShapeCase{"Chain", Chain, 500, 4000},
                    ShapeCase{"Layers", Layers, 500, 4000}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a job whose steps have no estimates that is refused each time
// it comes, since the forecast counts time for them and the objective none.
TEST(ManyStepsTest, ChainWithoutEstimatesIsAccepted) {
  JobWorld world;
  world.checks_consistency = false;
  world.AddWorker("w0", 64);
  world.TakeOver();
  world.Advance(milliseconds(300));
  auto spec = Chain(6000);
  for (auto& it : spec.steps) {
    it.estimate = milliseconds(0);
  }
  world.Submit("chain", spec);
  world.Advance(milliseconds(300));
  EXPECT_EQ(world.verdicts[JobId("chain")], SubmitVerdict::kAccepted);
}

// Guards against a cancel that sends the stops of all tasks of a job in one
// event, and against stops that are put off and never sent.
TEST(ManyStepsTest, CancelStopsTasksInTurns) {
  JobWorld world;
  world.checks_consistency = false;
  for (int i = 0; i < 9; ++i) {
    world.AddWorker("w" + std::to_string(i), 64);
  }
  world.TakeOver();
  world.Advance(milliseconds(300));
  auto spec = OneStep(5000);
  spec.steps[0].estimate = seconds(60);
  world.Submit("large", spec);
  world.Advance(seconds(2));
  ASSERT_EQ(world.starts, 5000);
  world.Cancel("large");
  world.Advance(seconds(3));
  EXPECT_EQ(world.State("large"), JobState::kCancelled);
  for (const auto& [id, it] : world.workers) {
    EXPECT_TRUE(it.runs.empty()) << id.value() << " " << it.runs.size();
  }
  EXPECT_LE(world.most_orders,
            static_cast<std::ptrdiff_t>(world.tuning.max_orders_per_turn));
  EXPECT_EQ(world.violations, std::vector<std::string>());
}

}  // namespace
}  // namespace baobab
