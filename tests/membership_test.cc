#include "libdecision/membership.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart{seconds(100)};

NodeConfig Config(std::vector<PeerConfig> peers) {
  NodeConfig config;
  config.id = NodeId("self");
  config.incarnation = Incarnation(1);
  config.data_centre = DataCentreId("a");
  config.peers = std::move(peers);
  return config;
}

PeerConfig Peer(const char* id, const char* data_centre) {
  return {NodeId(id), DataCentreId(data_centre)};
}

Heartbeat MakeHeartbeat(const char* data_centre,
                        std::vector<NodeId> hears = {}) {
  Heartbeat beat;
  beat.data_centre = DataCentreId(data_centre);
  beat.hears = std::move(hears);
  return beat;
}

std::map<NodeId, int> Count(const Effects& effects) {
  std::map<NodeId, int> counts;
  for (const auto& it : effects) {
    ++counts[std::get<SendPeer>(it).to];
  }
  return counts;
}

// Guards against heartbeats that are too frequent, come in bursts, or are late
// after a change.
TEST(MembershipTest, SendsHeartbeatsByDistanceAndOnChange) {
  std::vector<PeerConfig> peers;
  for (int i = 0; i < 8; ++i) {
    peers.push_back(Peer(("near" + std::to_string(i)).c_str(), "a"));
    peers.push_back(Peer(("far" + std::to_string(i)).c_str(), "b"));
  }
  Membership membership(Config(peers), kStart);
  LocalStatus local;
  local.loads = {{ServiceId("s"), Units(1), Units(2)}};
  Effects first;
  Time now = kStart;
  for (; now < kStart + seconds(1); now += milliseconds(50)) {
    membership.Tick(now, local, first);
  }
  EXPECT_EQ(Count(first).size(), 16u);
  Effects all;
  std::size_t max_burst = 0;
  for (; now < kStart + seconds(41); now += milliseconds(50)) {
    const auto before = all.size();
    membership.Tick(now, local, all);
    max_burst = std::max(max_burst, all.size() - before);
  }
  for (const auto& [id, count] : Count(all)) {
    EXPECT_EQ(count, id.value().starts_with("near") ? 40 : 4) << id.value();
  }
  EXPECT_LE(max_burst, 6u);
  for (const auto& it : all) {
    const auto& send = std::get<SendPeer>(it);
    EXPECT_EQ(std::get<Heartbeat>(send.message).loads.empty(),
              send.to.value().starts_with("far"));
  }
  for (const bool stop : {false, true}) {
    local.version = TableVersion(1);
    local.stopping = stop;
    Effects changed;
    membership.Tick(now, local, changed);
    EXPECT_EQ(Count(changed).size(), 16u) << stop;
    Effects again;
    membership.Tick(now, local, again);
    EXPECT_TRUE(again.empty());
  }
}

// Guards against a heartbeat of an old incarnation that overwrites a newer one.
TEST(MembershipTest, NewerProcessWins) {
  Membership membership(Config({Peer("p", "a")}), kStart);
  auto beat = MakeHeartbeat("a");
  beat.version = TableVersion(7);
  const NodeId peer("p");
  EXPECT_EQ(membership.OnHeartbeat(peer, Incarnation(5), beat, kStart),
            HeartbeatOutcome::kNewPeer);
  beat.version = TableVersion(0);
  EXPECT_EQ(membership.OnHeartbeat(peer, Incarnation(6), beat, kStart),
            HeartbeatOutcome::kRestarted);
  beat.version = TableVersion(8);
  EXPECT_EQ(membership.OnHeartbeat(peer, Incarnation(5), beat, kStart),
            HeartbeatOutcome::kOldIncarnation);
  EXPECT_EQ(membership.peers().at(peer).last.version, TableVersion(0));
  const View view{ViewNumber(1),
                  {{peer, DataCentreId("a")},
                   {NodeId("self"), DataCentreId("a")},
                   {NodeId("unheard"), DataCentreId("a")}}};
  EXPECT_EQ(membership.NodesBehind(TableVersion(1), view),
            (std::vector<NodeId>{peer, NodeId("unheard")}));
  EXPECT_EQ(membership.NodesBehind(TableVersion(0), view),
            (std::vector<NodeId>{NodeId("unheard")}));
}

struct ConfirmCase {
  const char* name;
  /** Seconds since the last read of the log; negative if never. */
  int log_age;
  /** Other view nodes by data centre and state: "a+" hears this node, "a-" does
   * not, "a?" sent no heartbeat, "a>" hears this node but has a newer view. */
  std::vector<std::string> others;
  /** Seconds since the heartbeats of the other nodes. */
  int heartbeat_age;
  bool confirmed;
};

void PrintTo(const ConfirmCase& it, std::ostream* out) {
  *out << it.name;
}

class ConfirmTest : public testing::TestWithParam<ConfirmCase> {};

// Guards against an isolated node that uses units which others own by now.
TEST_P(ConfirmTest, NeedsLogOrHalfOfThePeers) {
  const ConfirmCase& it = GetParam();
  std::vector<PeerConfig> peers;
  View view{ViewNumber(3), {{NodeId("self"), DataCentreId("a")}}};
  for (std::size_t i = 0; i < it.others.size(); ++i) {
    const DataCentreId centre(it.others[i].substr(0, 1));
    const NodeId id("p" + std::to_string(i));
    peers.push_back({id, centre});
    view.nodes.push_back({id, centre});
  }
  Membership membership(Config(peers), kStart);
  const Time now = kStart + seconds(60);
  if (it.log_age >= 0) {
    membership.OnLogRead(now - seconds(it.log_age));
  }
  for (std::size_t i = 0; i < it.others.size(); ++i) {
    const char state = it.others[i][1];
    auto beat = MakeHeartbeat(peers[i].data_centre.value().c_str());
    if (state != '-') {
      beat.hears.push_back(NodeId("self"));
    }
    beat.view = ViewNumber(state == '>' ? 4 : 3);
    // A peer reports the release of a view up to 45 s after it uses the view,
    // so only the view in use may count.
    beat.released_view = ViewNumber(3);
    if (state != '?') {
      membership.OnHeartbeat(peers[i].id, Incarnation(1), beat,
                             now - seconds(it.heartbeat_age));
    }
  }
  EXPECT_EQ(membership.Confirmed(now, view), it.confirmed);
}

INSTANTIATE_TEST_SUITE_P(
    Membership,
    ConfirmTest,
    testing::Values(
        ConfirmCase{"log fresh", 9, {"a-", "a-"}, 1, true},
        ConfirmCase{"log old", 10, {"a-", "a-"}, 1, false},
        ConfirmCase{"half of two", -1, {"a+", "a-"}, 1, true},
        ConfirmCase{"one of three", -1, {"a+", "a-", "a?"}, 1, false},
        ConfirmCase{"two of three", -1, {"a+", "a+", "a?"}, 1, true},
        ConfirmCase{"reports too old", -1, {"a+", "a+"}, 3, false},
        ConfirmCase{"others do not count", -1, {"a-", "b+", "b+"}, 1, false},
        ConfirmCase{"alone in the data centre", -1, {"b+", "b-"}, 11, true},
        ConfirmCase{"far reports too old", -1, {"b+", "b-"}, 12, false},
        ConfirmCase{"newer view elsewhere", -1, {"a>", "a>"}, 1, false},
        ConfirmCase{"only node", -1, {}, 1, true}));

// Guards against a node that confirms itself because it is the only node of an
// old view, while a newer view without it exists.
TEST(MembershipTest, AloneInViewWithPeersNeedsTheLog) {
  Membership membership(Config({Peer("p", "a")}), kStart);
  const View view{ViewNumber(1), {{NodeId("self"), DataCentreId("a")}}};
  EXPECT_FALSE(membership.Confirmed(kStart, view));
  membership.OnLogRead(kStart);
  EXPECT_TRUE(membership.Confirmed(kStart, view));
}

struct SilenceCase {
  const char* data_centre;
  int silent;
  /** Seconds for which this node was paused after the heartbeat. */
  int paused;
  bool heard;
};

class SilenceTest : public testing::TestWithParam<SilenceCase> {};

// Guards against a node that considers its peers dead after its own pause.
TEST_P(SilenceTest, CountsOnlyOwnRunningTime) {
  const SilenceCase& it = GetParam();
  Membership membership(Config({Peer("p", it.data_centre)}), kStart);
  auto beat = MakeHeartbeat(it.data_centre);
  beat.leaving = {MinionId("m")};
  Effects effects;
  membership.Tick(kStart, {}, effects);
  membership.OnHeartbeat(NodeId("p"), Incarnation(1), beat, kStart);
  Time now = kStart + seconds(it.paused);
  membership.Tick(now, {}, effects);
  for (; now < kStart + seconds(it.silent); now += milliseconds(50)) {
    membership.Tick(now, {}, effects);
  }
  EXPECT_EQ(membership.IsAlive(NodeId("p"), now), it.heard);
  EXPECT_EQ(membership.LeavingMinions(now).contains(MinionId("m")), it.heard);
}

INSTANTIATE_TEST_SUITE_P(Membership,
                         SilenceTest,
                         testing::Values(SilenceCase{"a", 14, 0, true},
                                         SilenceCase{"a", 15, 0, false},
                                         SilenceCase{"b", 24, 0, true},
                                         SilenceCase{"b", 25, 0, false},
                                         SilenceCase{"a", 40, 30, true},
                                         SilenceCase{"a", 46, 30, false}));

}  // namespace
}  // namespace baobab
