#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Outcome of a turn in which a queue asks for more than its pool holds. */
struct TurnResult {
  int asked = 0;
  int accepted = 0;
  /** Of the accepted ones, those that will be late. */
  int deferred = 0;
  int in_time = 0;
  /** Deferred jobs that were done while they still had a worth. */
  int late = 0;
  /** Objective-keeping work that a pool could do at most, as a share of what
   * was asked. */
  double most = 0;
};

/** Plays 4.5 s of jobs at `load` times what three workers of 64 cores can do,
 * each of two steps. */
TurnResult PlayTurn(double load, unsigned seed) {
  JobWorld world(seed);
  for (const char* it : {"w1", "w2", "w3"}) {
    world.AddWorker(it);
  }
  world.TakeOver();
  world.Advance(milliseconds(300));
  constexpr double kCores = 3 * 64;
  constexpr int kJobCores = 24;
  constexpr int kStepMs = 500;
  const double per_second = load * kCores / (kJobCores * 2 * kStepMs / 1000.0);
  TurnResult result;
  std::vector<std::pair<std::string, Time>> asked;
  std::map<std::string, Time> done;
  double due = 0;
  const auto watch = [&] {
    for (const auto& [id, at] : asked) {
      if (!done.contains(id) && world.State(id) == JobState::kCompleted) {
        done[id] = world.now;
      }
    }
  };
  for (int ms = 0; ms < 4500; ms += 20) {
    due += per_second * 0.02;
    while (due >= 1) {
      due -= 1;
      JobSpec spec;
      spec.payload = "work";
      spec.steps = {JobWorld::Step(6, 4, kStepMs),
                    JobWorld::Step(6, 4, kStepMs)};
      spec.steps[1].after = {0};
      asked.emplace_back("j" + std::to_string(asked.size()), world.now);
      world.Submit(asked.back().first, spec);
    }
    world.Advance(milliseconds(20));
    watch();
  }
  for (int i = 0; i < 400; ++i) {
    world.Advance(milliseconds(20));
    watch();
  }
  // Of the queue of JobWorld: 1.6 times the chain and 600 ms.
  const Duration objective = milliseconds(1600 + 600);
  std::set<std::string> deferred;
  for (const auto& it : world.decisions) {
    if (it.decision == "accept-job" &&
        it.fields.find("deferred=true") != std::string::npos) {
      deferred.insert(it.job.value());
    }
  }
  result.deferred = static_cast<int>(deferred.size());
  for (const auto& [id, at] : asked) {
    ++result.asked;
    result.accepted +=
        world.verdicts.at(JobId(id)) == SubmitVerdict::kAccepted ? 1 : 0;
    result.in_time += done.contains(id) && done[id] - at <= objective ? 1 : 0;
    result.late += deferred.contains(id) && done.contains(id) &&
                           done[id] - at <= kMaxLateFactor * objective
                       ? 1
                       : 0;
  }
  result.most = std::min(1.0, (4.5 + 2.2 - 1.0) / (4.5 * load));
  for (const auto& it : world.violations) {
    ADD_FAILURE() << it;
  }
  return result;
}

class TurnTest : public testing::TestWithParam<double> {};

// Replays turns of up to five times what a pool holds. Guards against accepting
// so much that each job is late: at least seven tenths of what a pool with
// perfect knowledge could do in time is done in time. Of the jobs accepted to
// be in time at least seven tenths are, and of those accepted to be late at
// least seven tenths are done while that is still of use.
TEST_P(TurnTest, MostAcceptedJobsKeepWhatTheyWereAcceptedFor) {
  const auto result = PlayTurn(GetParam(), 7);
  RecordProperty("asked", result.asked);
  RecordProperty("accepted", result.accepted);
  RecordProperty("in_time", result.in_time);
  EXPECT_GE(result.in_time, 0.7 * result.most * result.asked);
  EXPECT_GE(result.in_time, 0.7 * (result.accepted - result.deferred));
  EXPECT_GE(result.late, 0.7 * result.deferred);
}

INSTANTIATE_TEST_SUITE_P(Loads, TurnTest, testing::Values(0.5, 1.0, 2.0, 5.0));

// Guards against hopeless jobs that are accepted because the forecast packs the
// others differently with them. (Found in the recorded day of garza-sched:
// accepted with an expected end of 3.7 s for an objective of 1.6 s.)
TEST(AdmissionTest, RefusesWhatCannotBeInTime) {
  JobWorld world;
  world.AddWorker("w1");
  world.TakeOver();
  world.Advance(milliseconds(300));
  for (int i = 0; i < 200; ++i) {
    JobSpec spec;
    spec.payload = "work";
    spec.steps = {JobWorld::Step(1 + i % 4, 5 + i % 23, 300 + 97 * (i % 7))};
    world.Submit("j" + std::to_string(i), spec);
    world.Advance(milliseconds(30));
  }
  for (const auto& it : world.decisions) {
    if (it.decision != "accept-job") {
      continue;
    }
    const auto number = [&](const std::string& name) {
      return std::stod(it.fields.substr(it.fields.find(name) + name.size()));
    };
    const bool deferred = it.fields.find("deferred=true") != std::string::npos;
    EXPECT_LE(number("expected_ms=") + number("asked_ago_ms="),
              (deferred ? kMaxLateFactor : 1.5) * number("objective_ms="))
        << it.fields;
  }
}

// Replays a turn of refused callers who come back. Guards against measuring
// their time anew with each request: the caller's objective counts from the
// first one, so a job that comes back after it can't be in time any more.
TEST(AdmissionTest, ObjectiveCountsFromTheFirstRequest) {
  JobWorld world;
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 4, 500)};
  world.Submit("early", spec);
  ASSERT_EQ(world.verdicts.at(JobId("early")), SubmitVerdict::kRefused);
  world.AddWorker("w1");
  world.List();
  // Past its objective of 1.6 times 500 ms and 600 ms.
  world.Advance(milliseconds(2500));
  world.Submit("early", spec);
  world.Submit("new", spec);
  world.Advance(milliseconds(100));
  std::map<std::string, std::string> accepted;
  for (const auto& it : world.decisions) {
    if (it.decision == "accept-job") {
      accepted[it.job.value()] = it.fields;
    }
  }
  ASSERT_TRUE(accepted.contains("early"));
  EXPECT_NE(accepted["early"].find("deferred=true"), std::string::npos);
  EXPECT_NE(accepted["new"].find("deferred=false"), std::string::npos);
}

// Guards against a pool that has lost all its workers and gets none back, since
// nobody reports what it refuses. (Found in trouble-2 of guild-grid-grown:
// RECOVER, all jobs of one queue refused for 5 s.)
TEST(AdmissionTest, PoolWithoutWorkersReportsWhatItRefuses) {
  JobWorld world;
  world.TakeOver();
  world.Advance(milliseconds(300));
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(3, 4, 500)};
  world.Submit("j0", spec);
  const auto outlook = world.engine->Usage(world.now);
  ASSERT_EQ(outlook.services.size(), 1u);
  EXPECT_EQ(outlook.services[0].refused, 12);
}

}  // namespace
}  // namespace baobab
