// Calls that were meant for a former process of a worker, or of which it is not
// known which process has carried them out.

#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobSpec OneTask(Duration duration, bool long_running = false) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {
      JobWorld::Step(1, 3, static_cast<int>(duration / milliseconds(1)))};
  spec.steps.front().long_running = long_running;
  return spec;
}

TaskId TaskOf(const std::string& job) {
  return {JobId(job), 0, 0, 0};
}

/** Time that the world takes until the task runs, at most 40 s. */
Duration TimeUntilRun(JobWorld& world, const TaskId& id) {
  const Time begin = world.now;
  while (world.RunsOf(id) == 0 && world.now - begin < seconds(40)) {
    world.Advance(milliseconds(10));
  }
  return world.now - begin;
}

struct DeadWorkerCase {
  const char* name;
  bool long_running;
  /** Bound of the time until the task runs elsewhere. */
  Duration max_wait;
};

void PrintTo(const DeadWorkerCase& it, std::ostream* os) {
  *os << it.name;
}

class DeadWorkerTest : public testing::TestWithParam<DeadWorkerCase> {};

// A worker crashes for good while a start is on its way. Guards against tasks
// that wait for longer than the start can take, and long-running ones for
// longer than they may be without a run.
TEST_P(DeadWorkerTest, TaskRunsElsewhere) {
  JobWorld world;
  world.drops_crashed = true;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(10));
  world.Submit("j1", OneTask(seconds(60), GetParam().long_running));
  world.Crash(id);
  world.Advance(milliseconds(100));
  world.AddWorker("w1");
  const auto waited = TimeUntilRun(world, TaskOf("j1"));
  EXPECT_LE(waited / milliseconds(1), GetParam().max_wait / milliseconds(1));
}

INSTANTIATE_TEST_SUITE_P(
    Tasks,
    DeadWorkerTest,
    testing::Values(DeadWorkerCase{"Finite", false, seconds(20)},
                    DeadWorkerCase{"LongRunning", true, seconds(9)}),
    [](const auto& it) { return it.param.name; });

// As above, for a long-running task whose start was answered by a worker that
// is new to its owner.
TEST(FormerProcessCallsTest,
     TaskOnWorkerThatDiesSoonAfterTakeoverRunsWithin9s) {
  for (int crash_ms = 50; crash_ms <= 2000; crash_ms += 150) {
    JobWorld world;
    world.drops_crashed = true;
    world.AddWorker("w0");
    world.TakeOver();
    world.Advance(milliseconds(600));
    world.Submit("j0", OneTask(seconds(60)));
    world.Advance(milliseconds(300));
    world.Submit("j1", OneTask(seconds(60), true));
    world.Advance(milliseconds(crash_ms));
    world.Crash(WorkerId("w0"));
    world.AddWorker("w1");
    const auto waited = TimeUntilRun(world, TaskOf("j1"));
    EXPECT_LE(waited / milliseconds(1), 9000) << "crash after " << crash_ms;
  }
}

// A poll to the former process, without an answer, is carried out by the next
// one after that has reported its runs, and so extends their leases to the
// maximum; then the worker is cut off.
TEST(FormerProcessCallsTest,
     LatePollAtReportedProcessDoesNotOutlastReckonedLease) {
  int applicable = 0;
  int violated = 0;
  std::string first;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    JobWorld world(seed);
    const auto id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(milliseconds(300));
    world.Submit("j1", OneTask(seconds(90)));
    world.Advance(seconds(30));
    world.faults.late_poll = 1;
    world.Advance(milliseconds(1100));
    world.faults.late_poll = 0;
    world.Crash(id);
    world.Restart(id);
    auto& worker = world.workers.at(id);
    const Time end = world.now + seconds(7);
    bool extended = false;
    while (!extended && world.now < end) {
      const auto it = worker.runs.find(TaskOf("j1"));
      const auto before =
          it == worker.runs.end() ? 0 : it->second.lease_until_ms;
      world.Advance(milliseconds(10));
      const auto after = worker.runs.find(TaskOf("j1"));
      extended =
          before != 0 && after != worker.runs.end() &&
          after->second.lease_until_ms > before &&
          after->second.lease_until_ms - worker.ClockAt(world.now) > 5500;
    }
    if (!extended) {
      continue;
    }
    ++applicable;
    worker.reachable = false;
    world.AddWorker("w1");
    world.Advance(seconds(30));
    if (!world.violations.empty()) {
      ++violated;
      first = first.empty() ? world.violations.front() : first;
    }
  }
  EXPECT_GT(applicable, 0);
  EXPECT_EQ(violated, 0) << "of " << applicable << ": " << first;
}

// A start without an answer is stopped at the former process, the task runs
// elsewhere, and the next process carries the start out before its owner has
// noticed it.
TEST(FormerProcessCallsTest, LateStartAtUnnoticedProcessRunsNoTaskTwice) {
  int violated = 0;
  int cases = 0;
  std::string first;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    for (int restart_ms = 1500; restart_ms <= 6000; restart_ms += 50) {
      JobWorld world(seed);
      const auto id = world.AddWorker("w0");
      world.TakeOver();
      world.Advance(seconds(5));
      world.faults.late_order = 1;
      world.Submit("j1", OneTask(seconds(30)));
      world.Advance(milliseconds(30));
      world.faults.late_order = 0;
      world.AddWorker("w1");
      // The task no longer fits the first worker.
      world.SetCapacity(id, 2);
      world.Advance(milliseconds(restart_ms));
      world.Crash(id);
      world.Restart(id);
      world.Advance(seconds(20));
      ++cases;
      for (const auto& it : world.violations) {
        if (it.find("concurrent") != std::string::npos) {
          ++violated;
          first = first.empty() ? it : first;
          break;
        }
      }
    }
  }
  EXPECT_EQ(violated, 0) << "of " << cases << ": " << first;
}

class FormerOwnerStartTest : public testing::TestWithParam<Duration> {};

// A start is ordered, its owner is replaced before it knows that no answer
// comes, and the next process of the worker, which the new owner cannot reach,
// carries the start out. Guards against a second run.
TEST_P(FormerOwnerStartTest, RunsNoTaskTwice) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(30));
  world.workers.at(id).orders_held_until = world.now + GetParam();
  world.Submit("j1", OneTask(seconds(30)));
  world.Advance(milliseconds(100));
  world.TakeOver();
  world.workers.at(id).cut_off_from = world.token;
  world.Advance(seconds(5));
  world.Crash(id);
  world.Restart(id);
  world.workers.at(id).cut_off_from = world.token;
  world.AddWorker("w1");
  world.Advance(seconds(40));
  EXPECT_TRUE(world.violations.empty()) << world.violations.front();
}

INSTANTIATE_TEST_SUITE_P(
    HeldFor,
    FormerOwnerStartTest,
    testing::Values(seconds(6), seconds(8), seconds(10), seconds(12)));

// Starts that never arrive must not keep polls from extending the leases of
// other runs.
TEST(FormerProcessCallsTest, UndeliveredStartsDoNotLetOtherLeasesRunOut) {
  int lapsed = 0;
  int cases = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    for (int interval_ms = 500; interval_ms <= 2500; interval_ms += 250) {
      JobWorld world(seed);
      world.AddWorker("w0");
      world.TakeOver();
      world.Advance(seconds(1));
      world.Submit("j1", OneTask(seconds(90), true));
      world.Advance(seconds(10));
      world.faults.undelivered_start = 1;
      for (int i = 0; i < 12; ++i) {
        world.Submit("k" + std::to_string(i), OneTask(seconds(2)));
        world.Advance(milliseconds(interval_ms));
      }
      ++cases;
      lapsed +=
          world.starts_of[TaskOf("j1")] > 1 || world.RunsOf(TaskOf("j1")) == 0
              ? 1
              : 0;
    }
  }
  EXPECT_EQ(lapsed, 0) << "of " << cases;
}

// A worker that went to another cell stays known for a late start; its former
// owner must not acknowledge ends of the other cell's runs.
TEST(FormerProcessCallsTest,
     EndsOfAnotherCellsRunsAreNotAcknowledgedForALateStart) {
  for (const bool late_start : {false, true}) {
    JobWorld world;
    const auto id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(seconds(5));
    world.faults.late_order = late_start ? 1 : 0;
    world.Submit("j1", OneTask(milliseconds(300)));
    world.Advance(milliseconds(30));
    world.faults.late_order = 0;
    world.AddWorker("w1");
    world.SetCapacity(id, 2);
    world.Advance(seconds(6));
    ASSERT_TRUE(world.workers.at(id).runs.empty()) << late_start;
    world.listed = {WorkerId("w1")};
    world.Advance(seconds(2));
    auto& worker = world.workers.at(id);
    worker.ended.push_back({++worker.last_end, TaskOf("other-cells-job"),
                            RunNumber(1), EndKind::kDone, ""});
    world.Advance(seconds(2));
    EXPECT_FALSE(worker.ended.empty()) << "late_start " << late_start;
  }
}

}  // namespace
}  // namespace baobab
