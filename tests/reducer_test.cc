#include "libdecision/reducer.h"

#include <gtest/gtest.h>

#include "libbench/bench.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Nine nodes that have elected a planner, hold one view and a table. */
class ReducerTest : public testing::Test {
 protected:
  void SetUp() override {
    plane_.Run(seconds(20));
    plane_.SubmitTable(0, CommandId(1), MakeBenchTable(5, 10, 5, 5, 50));
    plane_.Run(seconds(3));
    ASSERT_TRUE(plane_.replies().contains(CommandId(1)));
    const auto& reply = std::get<EditReply>(plane_.replies().at(CommandId(1)));
    ASSERT_EQ(reply.state, EditState::kInForce) << reply.message;
  }

  void TearDown() override {
    for (const TimelineEntry& it : plane_.violations()) {
      ADD_FAILURE() << it.subject << ": " << it.cause << ": " << it.detail;
    }
  }

  /** Sends one request and returns the number of its minion calls. */
  int Request(int node, RequestId id) {
    plane_.Post(node, RequestArrived{id, QueueId("q0"), false, "", Bytes(100)});
    const std::size_t seen = plane_.effects().size();
    plane_.Run(milliseconds(500));
    int starts = 0;
    for (std::size_t n = seen; n < plane_.effects().size(); ++n) {
      const auto& [from, effect] = plane_.effects()[n];
      const auto* start = std::get_if<StartAttempt>(&effect);
      starts += start != nullptr && start->attempt.request == id ? 1 : 0;
      if (const auto* answer = std::get_if<DeliverAnswer>(&effect)) {
        delivered_ += answer->attempt.request == id ? 1 : 0;
      }
    }
    return starts;
  }

  ControlPlane plane_{ControlPlaneOptions{}};
  int delivered_ = 0;
};

// Guards against nodes that never become ready on an empty log.
TEST_F(ReducerTest, EveryNodeBecomesReadyAndServes) {
  for (int n = 0; n < plane_.size(); ++n) {
    EXPECT_TRUE(IsReady(plane_.state(n), plane_.now())) << n;
    EXPECT_EQ(plane_.state(n).fold.view().nodes.size(), 9U);
    EXPECT_EQ(Request(n, RequestId(100 + n)), 1) << n;
  }
  EXPECT_EQ(delivered_, plane_.size());
}

struct EditCase {
  std::string name;
  /** Node that is paused during the edit; -1 for none. */
  int paused;
  EditState state;
  Duration most;
};

class EditTest : public ReducerTest,
                 public testing::WithParamInterface<EditCase> {};

// Guards against edits that are called in force while a node lacks them, and
// against a slow roll-out.
TEST_P(EditTest, AnswersWhenEveryNodeHasTheVersion) {
  if (GetParam().paused >= 0) {
    plane_.SetPaused(GetParam().paused, true);
  }
  Table table = plane_.state(0).fold.table();
  table.queues.at(QueueId("q3")).weight = Weight(9);
  const Time started = plane_.now();
  plane_.SubmitTable(0, CommandId(2), table);
  while (!plane_.replies().contains(CommandId(2)) &&
         plane_.now() < started + seconds(20)) {
    plane_.Run(milliseconds(10));
  }
  ASSERT_TRUE(plane_.replies().contains(CommandId(2)));
  const auto& reply = std::get<EditReply>(plane_.replies().at(CommandId(2)));
  EXPECT_EQ(reply.state, GetParam().state);
  EXPECT_LE(plane_.now() - started, GetParam().most);
  EXPECT_EQ(reply.pending.size(), GetParam().paused >= 0 ? 1U : 0U);
}

/** The answer that names lacking nodes is given at the first tick after 14 s,
 * and the test looks each 10 ms. */
constexpr Duration kTickAndPoll = milliseconds(60);

// Bounds: 2 s when healthy and 14 s always, from the stated roll-out target.
INSTANTIATE_TEST_SUITE_P(
    Edits,
    EditTest,
    testing::Values(EditCase{"Healthy", -1, EditState::kInForce, seconds(2)},
                    EditCase{"OneNodePaused", 4, EditState::kPartlyInForce,
                             seconds(14) + kTickAndPoll}),
    [](const auto& it) { return it.param.name; });

// Guards against work for a leaving minion from a node that has not read the
// host list yet.
TEST_F(ReducerTest, LeavingMinionGetsNoWorkAfterTwoSeconds) {
  plane_.SignalLeaving(MinionId("m0"));
  // Its probe sees the sign within a second, and peers learn it at once.
  plane_.Run(seconds(2));
  for (int n = 0; n < plane_.size(); ++n) {
    EXPECT_FALSE(plane_.state(n).minions.Usable(MinionId("m0"))) << n;
  }
}

// Guards against a node that uses old state after it woke, or was cut off from
// log and peers alike.
TEST_F(ReducerTest, CutOffNodeStopsServingAndComesBack) {
  plane_.SetPartitioned(0, true);
  plane_.SetLogDown(true);
  plane_.Run(seconds(30));
  EXPECT_FALSE(IsReady(plane_.state(0), plane_.now()));
  EXPECT_EQ(Request(0, RequestId(500)), 0);
  // The others serve on without the log.
  EXPECT_TRUE(IsReady(plane_.state(1), plane_.now()));
  EXPECT_EQ(Request(1, RequestId(501)), 1);
  plane_.SetPartitioned(0, false);
  plane_.SetLogDown(false);
  plane_.Run(seconds(20));
  EXPECT_TRUE(IsReady(plane_.state(0), plane_.now()));
}

// Guards against a restarted node that serves from an older table, or never
// gets one, while the log is down.
TEST_F(ReducerTest, RestartedNodeGetsTheTableFromPeersDuringALogOutage) {
  plane_.SetLogDown(true);
  plane_.Run(seconds(5));
  plane_.Restart(4);
  plane_.Run(seconds(40));
  EXPECT_EQ(plane_.state(4).fold.version(), plane_.state(0).fold.version());
  EXPECT_TRUE(IsReady(plane_.state(4), plane_.now()));
}

// Guards against a fleet whose planner is gone for good.
TEST_F(ReducerTest, AnotherNodePlansAfterThePlannerIsCutOff) {
  const NodeId planner = plane_.state(0).fold.planner().holder.node;
  int index = 0;
  while (plane_.state(index).config.id != planner) {
    ++index;
  }
  plane_.SetPaused(index, true);
  const Term before = plane_.state((index + 1) % 9).fold.planner().term;
  plane_.Run(seconds(15));
  EXPECT_GT(plane_.state((index + 1) % 9).fold.planner().term, before);
  plane_.SetPaused(index, false);
  plane_.Run(seconds(5));
  EXPECT_EQ(plane_.state(index).fold.planner().term,
            plane_.state((index + 1) % 9).fold.planner().term);
}

// Guards against a node that is added to and removed from the view in turns
// because the planner hears it before its data centre does: a demo run wrote
// 190 views in ten seconds.
TEST_F(ReducerTest, RestartedNodeChangesTheViewTwice) {
  int index = 0;
  while (plane_.state(index).config.id ==
         plane_.state(0).fold.planner().holder.node) {
    ++index;
  }
  const std::uint64_t before = plane_.state(0).fold.view().number.value();
  plane_.SetPartitioned(index, true);
  plane_.SetPaused(index, true);
  plane_.Run(seconds(40));
  plane_.SetPaused(index, false);
  plane_.Restart(index);
  plane_.SetPartitioned(index, false);
  plane_.Run(seconds(40));
  EXPECT_EQ(plane_.state(index).fold.view().number.value(), before + 2);
  EXPECT_EQ(plane_.state(index).fold.view().nodes.size(), 9U);
}

}  // namespace
}  // namespace baobab
