#include "libdecision/minion_health.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MinionId kMinion("m1");
const NodeId kPeer("b");

NodeConfig Config() {
  NodeConfig config;
  config.id = NodeId("a");
  config.data_centre = DataCentreId("d1");
  config.peers = {{kPeer, DataCentreId("d1")},
                  {NodeId("c"), DataCentreId("d2")}};
  return config;
}

/** Health state of minion m1 on host h1 at one node, with a simulated clock. */
struct Fixture {
  MinionHealth health{Config()};
  Time now{std::chrono::hours(1)};
  Effects effects;
  bool prober = true;

  void List(bool leaving) {
    health.OnHostList({{{kMinion, ServiceId("s"), HostId("h1"),
                         "127.0.0.1:9000", DataCentreId("d1"), leaving}},
                       {}},
                      now, effects);
  }

  void Relist(bool leaving) {
    List(leaving);
    health.OnHostList({}, now, effects);
    EXPECT_EQ(health.Find(kMinion), nullptr);
    List(false);
    EXPECT_FALSE(health.Usable(kMinion));
    Probe(leaving);
  }

  void Answer(bool leaving) {
    health.OnAttempt(kMinion, AttemptResult::kAnswered, leaving, now, effects);
  }

  void Probe(bool leaving) {
    health.OnProbe({kMinion, true, leaving}, now, effects);
  }

  void Notice(bool leaving) {
    health.OnNotice(kPeer, {kMinion, leaving, true}, now, effects);
  }

  void Heartbeat(bool leaving) {
    health.OnHeartbeat(kPeer, std::vector<MinionId>(leaving ? 1 : 0, kMinion),
                       now, effects);
  }

  void HeartbeatOnce(bool leaving) {
    if (leaving) {
      Heartbeat(true);
    } else {
      Run(seconds(11), std::nullopt);
    }
  }

  void Drain(bool drain) {
    Table table;
    table.hosts[HostId("h1")] = {
        HostId("h1"), RackId("r"), DataCentreId("d1"), PoolId("p"),
        drain ? Maintenance::kDrain : Maintenance::kNone};
    health.OnTable(table, now, effects);
  }

  /** Advances in steps of 50 ms; a probe is answered at once, or never. */
  int Run(Duration time, std::optional<ProbeFinished> answer) {
    int probes = 0;
    for (const Time end = now + time; now < end;) {
      now += milliseconds(50);
      Effects step;
      health.Advance(
          now, [this](const MinionId&) { return prober; }, step);
      for (const Effect& it : step) {
        if (std::holds_alternative<ProbeMinion>(it)) {
          ++probes;
          if (answer) {
            health.OnProbe(*answer, now, effects);
          }
        }
      }
      effects.insert(effects.end(), step.begin(), step.end());
    }
    return probes;
  }

  std::size_t Notices(bool leaving, bool healthy) const {
    std::size_t count = 0;
    for (const Effect& it : effects) {
      const auto* send = std::get_if<SendPeer>(&it);
      count += send != nullptr && std::get<MinionNotice>(send->message) ==
                                      MinionNotice{kMinion, leaving, healthy};
    }
    return count;
  }
};

const ProbeFinished kOk{kMinion, true, false};
const ProbeFinished kFailed{kMinion, false, false};
const ProbeFinished kLeavingProbe{kMinion, true, true};

struct LeavingCase {
  std::string name;
  /** Reports the minion as leaving (true) or withdraws the report (false). */
  void (Fixture::*report_leaving)(bool leaving);
  /** The node itself has the evidence, so it notifies its peers. */
  bool own_evidence;
  /** The report is withdrawn only by successful probes. */
  bool by_probes_only;
};

class LeavingTest : public testing::TestWithParam<LeavingCase> {};

// Guards against new requests on a leaving minion, against peers that are not
// notified, and against a minion that returns without successful probes or
// never.
TEST_P(LeavingTest, IsBelievedAtOnceAndRecoversByProof) {
  const LeavingCase& test = GetParam();
  Fixture f;
  f.List(false);
  ASSERT_TRUE(f.health.Usable(kMinion));
  (f.*test.report_leaving)(true);
  EXPECT_FALSE(f.health.Usable(kMinion));
  EXPECT_EQ(f.health.StateName(kMinion), "leaving");
  const std::size_t expected_notices = test.own_evidence ? 2 : 0;
  EXPECT_EQ(f.Notices(true, true), expected_notices);
  EXPECT_EQ(f.health.LeavingMinions().size(), expected_notices / 2);
  if (!test.by_probes_only) {
    f.Run(seconds(5), kOk);
    EXPECT_FALSE(f.health.Usable(kMinion));
    (f.*test.report_leaving)(false);
    EXPECT_FALSE(f.health.Usable(kMinion));
  }
  // A new sign of leaving restarts the count of successful probes.
  f.Run(seconds(3), kLeavingProbe);
  f.Run(milliseconds(900), kOk);
  f.Run(seconds(3), kLeavingProbe);
  EXPECT_FALSE(f.health.Usable(kMinion));
  f.Run(seconds(3), kOk);
  EXPECT_TRUE(f.health.Usable(kMinion));
  EXPECT_TRUE(f.health.LeavingMinions().empty());
  EXPECT_EQ(f.Notices(false, true), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    Signs,
    LeavingTest,
    testing::Values(
        LeavingCase{"OnAnswer", &Fixture::Answer, true, true},
        LeavingCase{"OnProbe", &Fixture::Probe, true, true},
        LeavingCase{"HostList", &Fixture::List, true, false},
        LeavingCase{"DroppedAndListedAgain", &Fixture::Relist, true, true},
        LeavingCase{"Drain", &Fixture::Drain, true, false},
        LeavingCase{"Notice", &Fixture::Notice, false, false},
        LeavingCase{"Heartbeat", &Fixture::Heartbeat, false, false},
        LeavingCase{"PeerDied", &Fixture::HeartbeatOnce, false, false}),
    [](const auto& it) { return it.param.name; });

struct FailureCase {
  std::vector<AttemptResult> attempts;
  std::string state;
  std::uint64_t overruns;
};

class FailureTest : public testing::TestWithParam<FailureCase> {};

// Guards against minions taken out of service by refusals or by failures that
// are not consecutive, and against notices by nodes that do not probe.
TEST_P(FailureTest, CountsConsecutiveFailures) {
  Fixture f;
  f.prober = false;
  f.List(false);
  for (const AttemptResult it : GetParam().attempts) {
    f.health.OnAttempt(kMinion, it, false, f.now, f.effects);
  }
  EXPECT_EQ(f.health.StateName(kMinion), GetParam().state);
  EXPECT_EQ(f.health.overruns(), GetParam().overruns);
  EXPECT_EQ(f.Notices(false, false), 0U);
  // A node that does not probe in normal operation probes for the recovery.
  EXPECT_EQ(f.Run(seconds(3), kOk) > 0, GetParam().state == "out");
  EXPECT_TRUE(f.health.Usable(kMinion));
}

constexpr auto kLost = AttemptResult::kUnknown;
constexpr auto kNotSent = AttemptResult::kNotSent;
constexpr auto kAnswered = AttemptResult::kAnswered;
constexpr auto kRefused = AttemptResult::kRefused;

INSTANTIATE_TEST_SUITE_P(
    Attempts,
    FailureTest,
    testing::Values(
        FailureCase{{kLost, kNotSent}, "usable", 0},
        FailureCase{{kLost, kNotSent, kLost}, "out", 0},
        FailureCase{{kLost, kLost, kAnswered, kLost, kLost}, "usable", 0},
        FailureCase{{kRefused, kRefused, kRefused}, "usable", 3}));

// Guards against a frozen minion that stays in service, and against recovery
// after a single probe.
TEST(MinionHealthTest, ProberTakesFrozenMinionOutAndBack) {
  Fixture f;
  f.List(false);
  f.Run(seconds(8), std::nullopt);
  EXPECT_EQ(f.health.StateName(kMinion), "out");
  EXPECT_EQ(f.Notices(false, false), 1U);
  f.Run(seconds(2), kFailed);
  f.Run(milliseconds(1000), kOk);
  EXPECT_FALSE(f.health.Usable(kMinion));
  f.Run(milliseconds(1000), kOk);
  EXPECT_TRUE(f.health.Usable(kMinion));
  EXPECT_EQ(f.Notices(false, true), 1U);
}

// Guards against counting probes as failed because this process was paused.
TEST(MinionHealthTest, PauseOfThisProcessIsNoFailure) {
  Fixture f;
  f.List(false);
  for (int n = 0; n < 5; ++n) {
    f.Run(milliseconds(1050), std::nullopt);
    f.now += seconds(20);
  }
  EXPECT_TRUE(f.health.Usable(kMinion));
}

// Guards against probing all minions in one burst each second, and against
// looking up the owner of each minion on each tick.
TEST(MinionHealthTest, ProbesAreSpread) {
  MinionHealth health(Config());
  HostList list;
  for (int n = 0; n < 200; ++n) {
    list.minions.push_back({MinionId("m" + std::to_string(n)), ServiceId("s"),
                            HostId("h"), "", DataCentreId("d1"), false});
  }
  Effects effects;
  const Time start{seconds(100)};
  health.OnHostList(list, start, effects);
  std::size_t all = 0;
  int asked = 0;
  for (int n = 1; n <= 20; ++n) {
    effects.clear();
    health.Advance(
        start + n * milliseconds(50),
        [&asked](const MinionId&) { return ++asked > 0; }, effects);
    EXPECT_LT(effects.size(), 30U);
    all += effects.size();
  }
  EXPECT_EQ(all, 200U);
  EXPECT_EQ(asked, 200);
}

// Guards against nodes that keep each other's reports of a leaving minion alive
// forever: after any history, all nodes recover once the minion is live and no
// longer announces that it is leaving.
RC_GTEST_PROP(MinionHealthProperty, AllNodesRecover, ()) {
  using Step = std::tuple<std::uint8_t, std::uint8_t>;
  const auto steps = *rc::gen::arbitrary<std::vector<Step>>();
  std::vector<Fixture> nodes(2);
  const std::vector<NodeId> ids{NodeId("a"), kPeer};
  nodes[0].List(false);
  nodes[1].List(false);
  const auto beat = [&](std::size_t from) {
    Fixture& to = nodes[1 - from];
    to.health.OnHeartbeat(ids[from], nodes[from].health.LeavingMinions(),
                          to.now, to.effects);
  };
  for (const auto& [kind, a] : steps) {
    Fixture& f = nodes[a % 2];
    switch (kind % 5) {
      case 0:
        f.health.OnAttempt(kMinion, a % 4 < 2 ? kLost : kAnswered, a % 8 < 4,
                           f.now, f.effects);
        RC_ASSERT(a % 8 >= 4 || !f.health.Usable(kMinion));
        break;
      case 1:
        f.health.OnNotice(ids[1 - a % 2], {kMinion, a % 4 < 2, a % 8 < 4},
                          f.now, f.effects);
        break;
      case 2:
        f.List(a % 4 < 2);
        break;
      case 3:
        f.Run(milliseconds(600), a % 4 < 2 ? kOk : kLeavingProbe);
        break;
      default:
        beat(a % 2);
    }
  }
  for (int n = 0; n < 20; ++n) {
    for (std::size_t node : {0U, 1U}) {
      nodes[node].List(false);
      nodes[node].Run(seconds(1), kOk);
      beat(node);
    }
  }
  RC_ASSERT(nodes[0].health.Usable(kMinion));
  RC_ASSERT(nodes[1].health.Usable(kMinion));
}

}  // namespace
}  // namespace baobab
