#include "request_world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct FlowCase {
  bool idempotent;
  /** One key of kResults per attempt. */
  std::string results;
  Outcome outcome;
  Reason reason;
};

class FlowTest : public testing::TestWithParam<FlowCase> {};

// Guards against a second run of a request that may have run, against "not run"
// without proof, and against retries on the same minion.
TEST_P(FlowTest, RetriesOnlyWhatIsSafe) {
  const Time now{seconds(100)};
  Process node(Config("a", 5));
  node.SetUp(now);
  Effects effects;
  const RequestId id(1);
  node.flow.OnArrived({id, kQueue, GetParam().idempotent, "", Bytes(10)}, now,
                      effects);
  std::set<MinionId> used;
  for (const char it : GetParam().results) {
    effects.clear();
    node.flow.Advance(now, effects);
    const auto starts = All<StartAttempt>(effects);
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_TRUE(used.insert(starts[0].minion).second);
    effects.clear();
    node.flow.OnAttemptFinished(
        {starts[0].attempt, starts[0].minion, kResults.at(it), false, {}}, now,
        effects);
  }
  const auto responses = All<Respond>(effects);
  EXPECT_EQ(All<DeliverAnswer>(effects).size() + responses.size(), 1U);
  for (const Respond& it : responses) {
    EXPECT_EQ(it.outcome, GetParam().outcome);
    EXPECT_EQ(it.reason, GetParam().reason);
  }
  EXPECT_EQ(responses.empty(), GetParam().outcome == Outcome::kDone);
  EXPECT_TRUE(node.flow.Drained());
  EXPECT_TRUE(node.scheduler.running.empty());
  const QueueStatus status = node.flow.Status().at(0);
  EXPECT_EQ(status.done + status.not_run + status.unknown, 1);
  EXPECT_EQ(node.flow.invariant_violations(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Results,
    FlowTest,
    testing::Values(
        FlowCase{false, "A", Outcome::kDone, {}},
        FlowCase{false, "RA", Outcome::kDone, {}},
        FlowCase{false, "NRN", Outcome::kNotRun, Reason::kRetriesExhausted},
        FlowCase{false, "L", Outcome::kUnknown, Reason::kAnswerLost},
        FlowCase{false, "RL", Outcome::kUnknown, Reason::kAnswerLost},
        FlowCase{true, "LA", Outcome::kDone, {}},
        FlowCase{true, "LRR", Outcome::kUnknown, Reason::kAnswerLost}));

// Guards against accepting requests on a node that must not run them, and
// against a stop that aborts a running request or never ends.
TEST(RequestFlowTest, RefusesUntilReadyAndStopsGracefully) {
  const Time now{seconds(100)};
  Process node(Config("a", 5));
  std::uint64_t last = 0;
  const auto arrive = [&](const QueueId& queue, const std::string& key) {
    Effects effects;
    node.flow.OnArrived({RequestId(++last), queue, false, key, Bytes(1)}, now,
                        effects);
    const auto responses = All<Respond>(effects);
    return responses.empty() ? Reason::kNone : responses[0].reason;
  };
  EXPECT_EQ(arrive(kQueue, ""), Reason::kNoTable);
  node.SetUp(now);
  node.flow.SetConfirmed(false);
  EXPECT_EQ(arrive(kQueue, ""), Reason::kUnconfirmed);
  node.flow.SetConfirmed(true);
  EXPECT_EQ(arrive(QueueId("other"), ""), Reason::kUnknownQueue);
  EXPECT_EQ(arrive(kQueue, "deposit"), Reason::kBadKey);
  EXPECT_EQ(arrive(kQueue, "a.5.1"), Reason::kKeyUnresolved);
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(arrive(kQueue, ""), Reason::kNone);
  }
  EXPECT_EQ(arrive(kQueue, "b.5.1"), Reason::kNone);
  Effects effects;
  node.flow.SetConfirmed(false);
  node.flow.Advance(now, effects);
  EXPECT_TRUE(All<StartAttempt>(effects).empty());
  node.flow.SetConfirmed(true);
  node.flow.Advance(now, effects);
  const auto starts = All<StartAttempt>(effects);
  ASSERT_EQ(starts.size(), 2U);
  effects.clear();
  node.flow.OnStop(now, effects);
  node.flow.OnKeyReply(NodeId("b"), Incarnation(5),
                       {RequestId(last), 1, KeyState::kGranted, 0, {}}, now,
                       effects);
  EXPECT_EQ(arrive(kQueue, ""), Reason::kStopping);
  for (const StartAttempt& it : starts) {
    node.flow.Advance(now, effects);
    EXPECT_TRUE(All<StopProcess>(effects).empty());
    const auto result = it.attempt == starts[0].attempt ? kRefused : kAnswered;
    node.flow.OnAttemptFinished({it.attempt, it.minion, result, false, {}}, now,
                                effects);
  }
  node.flow.Advance(now, effects);
  node.flow.Advance(now, effects);
  // One waiting request, one with a late grant and one that its minion refused.
  EXPECT_EQ(All<Respond>(effects).size(), 3U);
  for (const Respond& it : All<Respond>(effects)) {
    EXPECT_EQ(it.outcome, Outcome::kNotRun);
    EXPECT_EQ(it.reason, Reason::kStopping);
  }
  EXPECT_EQ(All<DeliverAnswer>(effects).size(), 1U);
  EXPECT_EQ(All<StopProcess>(effects).size(), 1U);
}

// Guards against faults of other components that would start or end a request
// twice, or pass on the answer of a minion that was not called.
TEST(RequestFlowTest, InvariantsStopUnsafeSteps) {
  const Time now{seconds(100)};
  Process node(Config("a", 5));
  node.SetUp(now);
  Effects effects;
  const RequestArrived arrival{RequestId(1), kQueue, false, "", Bytes(1)};
  node.flow.OnArrived(arrival, now, effects);
  node.flow.Advance(now, effects);
  const StartAttempt start = All<StartAttempt>(effects).at(0);
  effects.clear();
  node.flow.OnArrived(arrival, now, effects);
  node.scheduler.forged = {{RequestId(1), kQueue, start.minion},
                           {RequestId(7), kQueue, start.minion}};
  node.flow.Advance(now, effects);
  EXPECT_EQ(node.flow.invariant_violations(), 3U);
  node.flow.OnAttemptFinished(
      {start.attempt, MinionId("other"), kAnswered, false, {}}, now, effects);
  EXPECT_EQ(node.flow.invariant_violations(), 4U);
  EXPECT_TRUE(All<StartAttempt>(effects).empty());
  EXPECT_TRUE(All<DeliverAnswer>(effects).empty());
  ASSERT_EQ(All<Respond>(effects).size(), 1U);
  EXPECT_EQ(All<Respond>(effects)[0].outcome, Outcome::kUnknown);
  node.flow.OnArrived(arrival, now, effects);
  EXPECT_EQ(node.flow.invariant_violations(), 5U);
  EXPECT_EQ(All<Respond>(effects).size(), 1U);
}

// Guards against retries beyond the budget of the queue.
TEST(RequestFlowTest, RetriesWithinTheBudgetOfTheQueue) {
  const Time now{seconds(100)};
  Process node(Config("a", 5));
  node.SetUp(now);
  Effects effects;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    effects.clear();
    node.flow.OnArrived({RequestId(n), kQueue, false, "", Bytes(1)}, now,
                        effects);
    node.flow.Advance(now, effects);
    const StartAttempt start = All<StartAttempt>(effects).at(0);
    node.flow.OnAttemptFinished(
        {start.attempt, start.minion, kRefused, false, {}}, now, effects);
    EXPECT_EQ(All<Respond>(effects).size(), n == 4 ? 1U : 0U);
    node.flow.OnAbandoned({RequestId(n)}, now, effects);
  }
}

// Guards against taking a minion out of service because callers disconnect.
TEST(RequestFlowTest, AbandonedAttemptsDoNotBlameTheMinion) {
  const Time now{seconds(100)};
  Process node(Config("a", 5));
  node.SetUp(now);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    Effects effects;
    node.flow.OnArrived({RequestId(n), kQueue, false, "", Bytes(1)}, now,
                        effects);
    node.flow.Advance(now, effects);
    const StartAttempt start = All<StartAttempt>(effects).at(0);
    node.flow.OnAbandoned({RequestId(n)}, now, effects);
    EXPECT_TRUE(All<Respond>(effects).empty());
    node.flow.OnAttemptFinished(
        {start.attempt, start.minion, kNotSent, false, {}}, now, effects);
    ASSERT_EQ(All<Respond>(effects).size(), 1U);
    EXPECT_EQ(All<Respond>(effects)[0].outcome, Outcome::kNotRun);
    EXPECT_EQ(All<Respond>(effects)[0].reason, Reason::kAbandoned);
    EXPECT_TRUE(node.health.Usable(start.minion));
  }
}

// Guards against retries that multiply the load on failing minions.
TEST(RetryBudgetTest, AllowsATenthButThreePerSecond) {
  RetryBudget budget;
  const auto taken = [&](Time now) {
    int count = 0;
    while (count < 1000 && budget.TakeRetry(now)) {
      ++count;
    }
    return count;
  };
  const Time now{seconds(100)};
  EXPECT_EQ(taken(now), 3);
  EXPECT_EQ(taken(now + seconds(1)), 3);
  for (int n = 0; n < 500; ++n) {
    budget.RecordSuccess(now + seconds(1));
  }
  EXPECT_EQ(taken(now + seconds(10)), 50 - 3);
  EXPECT_EQ(taken(now + seconds(11)), 3);
}

// Guards against quantiles over all time, which would hide a current overload.
TEST(QueueCountersTest, QuantilesOfTheLastThousandStarts) {
  QueueCounters counters;
  counters.AddStart(seconds(1000));
  for (int n = 1; n <= 1000; ++n) {
    counters.AddStart(milliseconds(n));
  }
  QueueStatus status;
  counters.FillIn(status);
  EXPECT_EQ(status.start_p50, milliseconds(500));
  EXPECT_EQ(status.start_p99, milliseconds(990));
  EXPECT_EQ(status.start_worst, milliseconds(1000));
}

// Guards against a second run, "not run" for a request that ran, a missing or
// second answer, and the answer of another request, under any faults.
RC_GTEST_PROP(RequestFlowProperty, RunsAtMostOnceAndTellsTheTruth, ()) {
  using Steps =
      std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>;
  const auto steps = *rc::gen::resize(2000, rc::gen::arbitrary<Steps>());
  World world;
  for (const auto& [kind, a, b] : steps) {
    world.Step(kind, a, b);
  }
  world.Finish();
}

}  // namespace
}  // namespace baobab
