// Workers that start again under their ids: what was ordered, granted or
// answered before holds for the former process only.

#include <gtest/gtest.h>

#include <algorithm>
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

/** When the held start of HeldStartTest arrives, from when it was sent. */
constexpr Duration kHeldStartDelay = seconds(8);

/** When the worker restarts, from then. */
constexpr Duration kRestartDelay = seconds(6);

struct HeldStartCase {
  const char* name;
  /** The owner changes between the restart and the arrival. */
  bool new_owner = false;
  /** The worker answers nothing until the start arrives. */
  bool is_silent = false;
  /** The first run is done on the other worker before the start arrives. */
  bool ends_before = false;
};

void PrintTo(const HeldStartCase& it, std::ostream* os) {
  *os << it.name;
}

class HeldStartTest : public testing::TestWithParam<HeldStartCase> {};

// A start gets no answer, and its worker restarts before the start arrives.
// Guards against a second run of a task that was placed on another worker
// meanwhile.
TEST_P(HeldStartTest, RunsNoTaskTwice) {
  const auto& param = GetParam();
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(5));
  auto& worker = world.workers.at(id);
  worker.orders_held_until = world.now + kHeldStartDelay;
  world.Submit("j1", LongJob(param.ends_before ? seconds(1) : seconds(20)));
  world.Advance(milliseconds(30));
  world.AddWorker("w1");
  if (!param.is_silent) {
    worker.orders_held_until = Time::min();
    // The task is placed on the other worker.
    worker.entry.draining = true;
  }
  world.Advance(kRestartDelay);
  ASSERT_TRUE(worker.runs.empty());
  const auto held_until = worker.orders_held_until;
  world.Crash(id);
  world.Restart(id);
  worker.orders_held_until = held_until;
  if (param.new_owner) {
    world.TakeOver();
  }
  world.Advance(kHeldStartDelay - kRestartDelay);
  worker.reachable = false;
  world.Advance(seconds(60));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Starts,
    HeldStartTest,
    testing::Values(HeldStartCase{"RunsElsewhere"},
                    HeldStartCase{"RunsElsewhereForNewOwner", true},
                    HeldStartCase{"IsDoneElsewhere", false, false, true},
                    HeldStartCase{"IsDoneElsewhereForNewOwner", true, false,
                                  true},
                    HeldStartCase{"WorkerIsSilent", false, true}),
    [](const auto& it) { return it.param.name; });

// A start gets no answer and its process answers a stop of the run; then it
// crashes, and the next one, which is cut off from its owner, carries the start
// out. Guards against a second run while that one holds its lease.
TEST(LateStartTest, RunsNoTaskTwiceIfTheNextProcessIsCutOff) {
  int violated = 0;
  std::string first;
  for (int held_ms = 6000; held_ms <= 12'000; held_ms += 1000) {
    JobWorld world;
    const auto id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(seconds(5));
    auto& worker = world.workers.at(id);
    worker.orders_held_until = world.now + milliseconds(held_ms);
    world.Submit("j1", LongJob(seconds(20)));
    world.Advance(milliseconds(30));
    worker.orders_held_until = Time::min();
    world.AddWorker("w1");
    // The next run is to be on the other worker.
    worker.entry.draining = true;
    world.Advance(seconds(5));
    ASSERT_EQ(world.RunsOf({JobId("j1"), 0, 0, 0}), 0);
    world.Crash(id);
    world.Restart(id);
    worker.reachable = false;
    world.Advance(seconds(60));
    if (!world.violations.empty()) {
      ++violated;
      first = first.empty() ? world.violations.front() : first;
    }
    EXPECT_EQ(world.State("j1"), JobState::kCompleted) << held_ms;
  }
  EXPECT_EQ(violated, 0) << first;
}

// A start gets no answer and its process answers a stop of the run. Guards
// against a host that is returned as idle although only its worker can show
// that the task may be placed again, which then waits for the longest lease.
TEST(LateStartTest, HostIsAwaitedWhileItHoldsATaskBack) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(5));
  auto& worker = world.workers.at(id);
  worker.orders_held_until = world.now + seconds(9);
  world.Submit("j1", LongJob(seconds(1)));
  world.Advance(milliseconds(30));
  worker.orders_held_until = Time::min();
  world.AddWorker("w1");
  // The next run is to be on the other worker.
  worker.entry.draining = true;
  world.Advance(seconds(5));
  ASSERT_TRUE(worker.runs.empty());
  ASSERT_EQ(world.State("j1"), JobState::kQueued);
  const auto host = [&] {
    const auto usage = world.engine->Usage(world.now);
    const auto it =
        std::find_if(usage.hosts.begin(), usage.hosts.end(),
                     [&](const auto& host) { return host.worker == id; });
    return it == usage.hosts.end() ? HostUsage() : *it;
  };
  EXPECT_TRUE(host().awaited);
  world.Advance(seconds(12));
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
  EXPECT_TRUE(host().empty);
  EXPECT_FALSE(host().awaited);
}

struct LateStartCase {
  const char* name;
  /** Duration of the task: the next run is still present, or done. */
  Duration duration;
  /** Time from the restart until the late start arrives. */
  Duration restart_before;
};

void PrintTo(const LateStartCase& it, std::ostream* os) {
  *os << it.name;
}

class LateStartAfterRestartTest : public testing::TestWithParam<LateStartCase> {
};

// A start gets no answer, the process answers a stop of the run, and the task
// runs on another worker. The start then reaches the next process, which knows
// nothing of the stop. Guards against a second run, or one after the end.
TEST_P(LateStartAfterRestartTest, RunsNoTaskTwice) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(milliseconds(300));
  const Time arrives_at = world.now + seconds(8);
  world.workers.at(id).orders_held_until = arrives_at;
  world.Submit("j1", LongJob(GetParam().duration));
  world.Advance(milliseconds(30));
  world.workers.at(id).orders_held_until = Time::min();
  // The entry of the first worker has lapsed, so the next run is elsewhere.
  world.listed = {world.AddWorker("w1")};
  world.Advance(arrives_at - GetParam().restart_before - world.now);
  ASSERT_TRUE(world.workers.at(id).runs.empty());
  world.Crash(id);
  world.Restart(id);
  world.listed.clear();
  world.Advance(seconds(60));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
  EXPECT_EQ(world.State("j1"), JobState::kCompleted);
}

INSTANTIATE_TEST_SUITE_P(
    Restarts,
    LateStartAfterRestartTest,
    testing::Values(
        LateStartCase{"Running", seconds(20), milliseconds(100)},
        LateStartCase{"RunningWhenListed", seconds(20), milliseconds(400)},
        LateStartCase{"RunningWhenPolled", seconds(20), milliseconds(1500)},
        LateStartCase{"Done", milliseconds(500), milliseconds(100)},
        LateStartCase{"DoneWhenListed", milliseconds(500), milliseconds(400)},
        LateStartCase{"DoneWhenPolled", milliseconds(500), milliseconds(1500)}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
