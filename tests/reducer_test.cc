#include "libdecision/reducer.h"

#include <gtest/gtest.h>

#include "libbench/bench.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Nine nodes with an elected planner, a common view and a table. */
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

  /** Sends one request and returns the number of minion calls made for it. */
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
  Duration max_answer_time;
};

class EditTest : public ReducerTest,
                 public testing::WithParamInterface<EditCase> {};

// Guards against edits that are reported in force before every node has them,
// and against a slow rollout.
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
  EXPECT_LE(plane_.now() - started, GetParam().max_answer_time);
  EXPECT_EQ(reply.pending.size(), GetParam().paused >= 0 ? 1U : 0U);
}

/** Delay of the answer that names pending nodes: it is sent at the first tick
 * after 14 s, and the test polls every 10 ms. */
constexpr Duration kTickAndPoll = milliseconds(60);

// The rollout targets are 2 s if all nodes are healthy and 14 s in any case.
INSTANTIATE_TEST_SUITE_P(
    Edits,
    EditTest,
    testing::Values(EditCase{"Healthy", -1, EditState::kInForce, seconds(2)},
                    EditCase{"OneNodePaused", 4, EditState::kPartlyInForce,
                             seconds(14) + kTickAndPoll}),
    [](const auto& it) { return it.param.name; });

// Guards against nodes that send requests to a leaving minion until they read
// the host list.
TEST_F(ReducerTest, LeavingMinionGetsNoWorkAfterTwoSeconds) {
  plane_.SignalLeaving(MinionId("m0"));
  // A probe detects the leaving sign within 1 s, and peers are told at once.
  plane_.Run(seconds(2));
  for (int n = 0; n < plane_.size(); ++n) {
    EXPECT_FALSE(plane_.state(n).minions.Usable(MinionId("m0"))) << n;
  }
}

// Guards against a node that serves with outdated state after a pause, or while
// it is cut off from both the log and the peers.
TEST_F(ReducerTest, CutOffNodeStopsServingAndComesBack) {
  plane_.SetPartitioned(0, true);
  plane_.SetLogDown(true);
  plane_.Run(seconds(30));
  EXPECT_FALSE(IsReady(plane_.state(0), plane_.now()));
  EXPECT_EQ(Request(0, RequestId(500)), 0);
  // The other nodes continue to serve without the log.
  EXPECT_TRUE(IsReady(plane_.state(1), plane_.now()));
  EXPECT_EQ(Request(1, RequestId(501)), 1);
  plane_.SetPartitioned(0, false);
  plane_.SetLogDown(false);
  plane_.Run(seconds(20));
  EXPECT_TRUE(IsReady(plane_.state(0), plane_.now()));
}

// Guards against a node that restarts while the log is down and serves with an
// older table, or never gets one.
TEST_F(ReducerTest, RestartedNodeGetsTheTableFromPeersDuringALogOutage) {
  plane_.SetLogDown(true);
  plane_.Run(seconds(5));
  plane_.Restart(4);
  plane_.Run(seconds(40));
  EXPECT_EQ(plane_.state(4).fold.version(), plane_.state(0).fold.version());
  EXPECT_TRUE(IsReady(plane_.state(4), plane_.now()));
}

// Guards against a fleet that elects no new planner after losing the old one.
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

// Guards against a node that is alternately added to and removed from the view
// because the planner hears it before its data centre does. That made 190 views
// in 10 s.
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
