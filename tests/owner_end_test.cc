// Starts whose owner ends before it knows whether they were carried out.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Work { kFinite, kGang, kLongRunning };

JobSpec SpecOf(Work work, Duration duration) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(work == Work::kGang ? 2 : 1, 3,
                               static_cast<int>(duration / milliseconds(1)))};
  spec.steps[0].gang = work == Work::kGang;
  spec.steps[0].long_running = work == Work::kLongRunning;
  return spec;
}

const TaskId kTask{JobId("j1"), 0, 0, 0};

/** Time that the world takes until the condition holds, at most 60 s. */
template <typename F>
Duration TimeUntil(JobWorld& world, const F& holds) {
  const Time begin = world.now;
  while (!holds() && world.now - begin < seconds(60)) {
    world.Advance(milliseconds(10));
  }
  return world.now - begin;
}

enum class End {
  kKilled,
  /** Paused; it goes on giving orders as long as it may. */
  kResumes,
  /** As kKilled, and the next owner ends in turn. */
  kNextOneEndsSoon,
  kNextOneEndsLater,
  /** As kKilled, before it learns that the placement is stored and sends the
   * start, but with a start of the next owner on its way when that ends. */
  kNextOneStarts,
};

struct OwnerEndCase {
  const char* name;
  End end;
  Work work;
};

void PrintTo(const OwnerEndCase& it, std::ostream* os) {
  *os << it.name;
}

class OwnerEndTest : public testing::TestWithParam<OwnerEndCase> {};

// A start is on its way when its owner ends; the worker starts again, cut off
// from the next owner, and carries the start out. Guards against a second run,
// and against a task that never runs again.
TEST_P(OwnerEndTest, RunsNoTaskTwice) {
  for (int held_ms = 2000; held_ms <= 12'000; held_ms += 500) {
    JobWorld world;
    const auto id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(seconds(30));
    auto& worker = world.workers.at(id);
    const auto hold = [&] {
      worker.orders_held_until = world.now + milliseconds(held_ms);
    };
    const auto end = GetParam().end;
    if (end == End::kNextOneStarts) {
      world.commit_answer_delay = seconds(1);
    } else {
      hold();
    }
    world.Submit("j1", SpecOf(GetParam().work, seconds(30)));
    world.Advance(milliseconds(100));
    world.former_runs = end == End::kResumes;
    world.TakeOver();
    if (end == End::kNextOneStarts) {
      world.commit_answer_delay = Duration(0);
      TimeUntil(world, [&] { return worker.highest_token == world.token; });
      hold();
      world.Advance(milliseconds(100));
      world.TakeOver();
    }
    worker.cut_off_from = world.token;
    if (end == End::kNextOneEndsSoon || end == End::kNextOneEndsLater) {
      world.Advance(end == End::kNextOneEndsSoon ? milliseconds(5)
                                                 : milliseconds(1500));
      world.TakeOver();
      worker.cut_off_from = world.token;
    }
    world.Advance(milliseconds(1500));
    world.Crash(id);
    world.Restart(id);
    worker.cut_off_from = world.token;
    world.AddWorker("w1");
    world.AddWorker("w2");
    world.Advance(seconds(80));
    EXPECT_TRUE(world.violations.empty())
        << "held for " << held_ms << " ms: " << world.violations.front();
    EXPECT_EQ(world.State("j1"), JobState::kCompleted) << held_ms;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends,
    OwnerEndTest,
    testing::Values(
        OwnerEndCase{"Killed", End::kKilled, Work::kFinite},
        OwnerEndCase{"KilledWithGang", End::kKilled, Work::kGang},
        OwnerEndCase{"Resumes", End::kResumes, Work::kFinite},
        OwnerEndCase{"ResumesWithGang", End::kResumes, Work::kGang},
        OwnerEndCase{"NextOneEndsSoon", End::kNextOneEndsSoon, Work::kFinite},
        OwnerEndCase{"NextOneEndsSoonWithGang", End::kNextOneEndsSoon,
                     Work::kGang},
        OwnerEndCase{"NextOneEndsLater", End::kNextOneEndsLater, Work::kFinite},
        OwnerEndCase{"NextOneStarts", End::kNextOneStarts, Work::kFinite},
        OwnerEndCase{"NextOneStartsWithGang", End::kNextOneStarts,
                     Work::kGang}),
    [](const auto& it) { return it.param.name; });

struct SettledStartCase {
  const char* name;
  Work work;
  /** Time from the start until its owner ends. */
  Duration ends_after;
  /** Bound of the time from then until the task runs elsewhere. */
  Duration max_wait;
};

void PrintTo(const SettledStartCase& it, std::ostream* os) {
  *os << it.name;
}

class SettledStartTest : public testing::TestWithParam<SettledStartCase> {};

// The worker is lost for good together with the owner of its run. Guards
// against tasks whose start was answered long ago, or that last, and wait as
// long as for one that may still be on its way.
TEST_P(SettledStartTest, TaskWaitsForTheLeaseOnly) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(5));
  world.Submit("j1", SpecOf(GetParam().work, seconds(60)));
  world.Advance(GetParam().ends_after);
  ASSERT_EQ(world.RunsOf(kTask), 1);
  world.Crash(id);
  world.TakeOver();
  world.AddWorker("w1");
  const auto waited = TimeUntil(world, [&] { return world.RunsOf(kTask) > 0; });
  EXPECT_LE(waited / milliseconds(1), GetParam().max_wait / milliseconds(1));
}

/** The grace of a former owner and the longest lease, and one pass. */
constexpr Duration kMaxLeaseWait = milliseconds(11'200);

INSTANTIATE_TEST_SUITE_P(
    Work,
    SettledStartTest,
    testing::Values(SettledStartCase{"Finite", Work::kFinite, seconds(3),
                                     kMaxLeaseWait},
                    SettledStartCase{"LongRunning", Work::kLongRunning,
                                     seconds(3), kMaxLeaseWait},
                    SettledStartCase{"LongRunningInDoubt", Work::kLongRunning,
                                     milliseconds(30), kMaxLeaseWait}),
    [](const auto& it) { return it.param.name; });

// The owner ends between the commit of a placement and the start. Guards
// against a task that waits for a start that was never sent, although its
// worker answers.
TEST(UnsentStartTest, TaskRunsOnceItsWorkerHasAnswered) {
  JobWorld world;
  world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(5));
  world.commit_answer_delay = seconds(1);
  world.Submit("j1", SpecOf(Work::kFinite, seconds(60)));
  world.Advance(milliseconds(100));
  world.commit_answer_delay = Duration(0);
  world.TakeOver();
  const auto waited = TimeUntil(world, [&] { return world.RunsOf(kTask) > 0; });
  EXPECT_LE(waited / milliseconds(1), 500);
  world.Advance(seconds(1));
  world.TakeOver();
  world.Advance(seconds(1));
  EXPECT_EQ(world.RunsOf(kTask), 1);
  EXPECT_EQ(world.starts_of[kTask], 1);
}

// As OwnerEndTest, but the worker answers the next owner, without the run,
// before it starts again and is cut off. Guards against a second run.
TEST(AnsweredWithoutRunTest, RunsNoTaskTwice) {
  int violated = 0;
  std::string first;
  for (int held_ms = 3000; held_ms <= 12'000; held_ms += 1000) {
    JobWorld world;
    const auto id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(seconds(30));
    auto& worker = world.workers.at(id);
    worker.orders_held_until = world.now + milliseconds(held_ms);
    world.Submit("j1", SpecOf(Work::kFinite, seconds(30)));
    world.Advance(milliseconds(100));
    worker.orders_held_until = Time::min();
    // The next run is to be on another worker.
    worker.entry.draining = true;
    world.AddWorker("w1");
    world.TakeOver();
    world.Advance(milliseconds(1500));
    world.Crash(id);
    world.Restart(id);
    worker.reachable = false;
    world.Advance(seconds(60));
    if (!world.violations.empty()) {
      ++violated;
      first = first.empty() ? world.violations.front() : first;
    }
  }
  EXPECT_EQ(violated, 0) << first;
}

}  // namespace
}  // namespace baobab
