#include "libdecision/planner.h"

#include <gtest/gtest.h>

#include "libdecision/fold_codec.h"
#include "libdecision/state_fetch.h"
#include "libdecision/table_commands.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One node with a log in memory, to which other writers append directly. */
class PlannerHarness {
 public:
  explicit PlannerHarness(std::vector<PeerConfig> peers = {},
                          std::size_t nodes = 1)
      : config(Make(std::move(peers))),
        now(seconds(100)),
        writer({config.id, config.incarnation}, nodes),
        membership(config, now),
        planner(config, now) {}

  static NodeConfig Make(std::vector<PeerConfig> peers) {
    NodeConfig made;
    made.id = NodeId("m");
    made.incarnation = Incarnation(1);
    made.data_centre = DataCentreId("a");
    made.peers = std::move(peers);
    return made;
  }

  /** Appends a record of another node. */
  void AppendForeign(const char* node, RecordBody body) {
    Record record;
    record.writer = {NodeId(node), Incarnation(1)};
    record.sequence = RecordSequence(++foreign_sequence);
    record.body = std::move(body);
    log.push_back(record);
  }

  /** Delivers a heartbeat of a peer that hears the given nodes. */
  void ReceiveHeartbeat(const char* node,
                        std::vector<NodeId> hears,
                        bool stopping = false,
                        const char* data_centre = "a") {
    Heartbeat beat;
    beat.data_centre = DataCentreId(data_centre);
    beat.hears = std::move(hears);
    beat.stopping = stopping;
    beat.version = fold.version();
    membership.OnHeartbeat(NodeId(node), Incarnation(1), beat, now);
  }

  void Run(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      now += milliseconds(50);
      Tick();
    }
  }

  void Tick() {
    if (readable) {
      membership.OnLogRead(now);
      fold.NoteLogRange(Offset(0), Offset(log.size()));
      while (fold.next_offset().value() < log.size()) {
        const auto at = fold.next_offset().value();
        const LogEntry entry{Offset(at), log[at]};
        planner.OnFolded(entry, fold.Apply(entry), now);
      }
    } else {
      planner.OnLogReadFailed(now);
    }
    Effects effects;
    planner.Tick(now, 1, fold, membership, writer, effects);
    commands.Tick(now, fold, membership, writer, effects);
    writer.Tick(now, fold, effects);
    Execute(effects);
  }

  void Execute(const Effects& effects) {
    for (const auto& it : effects) {
      if (const auto* append = std::get_if<AppendRecord>(&it)) {
        appends.push_back({now, append->record});
        if (append_result == AppendResult::kAppended) {
          log.push_back(append->record);
        }
        Effects more;
        writer.OnFinished({append->record.sequence, append_result}, now, more);
        Execute(more);
      } else if (const auto* explain = std::get_if<WriteTimelineEntry>(&it)) {
        ++kinds[explain->entry.kind];
      } else if (const auto* answer = std::get_if<AnswerCommand>(&it)) {
        replies.push_back(std::get<EditReply>(answer->reply));
      }
    }
  }

  std::vector<std::string> ViewNames() const {
    std::vector<std::string> names;
    for (const auto& it : fold.view().nodes) {
      names.push_back(it.id.value());
    }
    return names;
  }

  NodeConfig config;
  Time now;
  LogFold fold;
  LogWriter writer;
  Membership membership;
  Planner planner;
  TableCommands commands;
  std::vector<Record> log;
  std::uint64_t foreign_sequence = 0;
  bool readable = true;
  AppendResult append_result = AppendResult::kAppended;
  std::vector<std::pair<Time, Record>> appends;
  std::map<std::string, int> kinds;
  std::vector<EditReply> replies;
};

const std::vector<PeerConfig> kPeers = {{NodeId("a"), DataCentreId("a")},
                                        {NodeId("b"), DataCentreId("a")},
                                        {NodeId("z"), DataCentreId("a")}};

using Names = std::vector<std::string>;

// Guards against claims that come too early, or from all nodes at once.
TEST(PlannerTest, ClaimsAfterSilenceByRankAndRenews) {
  PlannerHarness harness(kPeers);  // rank 2, since it is not in the view
  harness.Run(milliseconds(6500));
  EXPECT_TRUE(harness.appends.empty());
  harness.Run(milliseconds(500));
  EXPECT_TRUE(harness.planner.IsActing(harness.now, harness.fold));
  EXPECT_EQ(harness.kinds["planner-elected"], 1);
  EXPECT_EQ(harness.ViewNames(), Names{"m"});
  const auto before = harness.appends.size();
  harness.Run(seconds(20));
  EXPECT_EQ(harness.appends.size() - before, 10u);
}

// Guards against a planner that acts after another node may have taken the
// lease.
TEST(PlannerTest, StopsWithoutOwnRecordsOrWhenPaused) {
  PlannerHarness harness;
  harness.Run(seconds(8));
  ASSERT_TRUE(harness.planner.IsActing(harness.now, harness.fold));
  harness.readable = false;
  harness.append_result = AppendResult::kUnknown;
  harness.Run(seconds(5));
  EXPECT_FALSE(harness.planner.IsActing(harness.now, harness.fold));
  EXPECT_EQ(harness.kinds["planner-lost"], 1);
  harness.readable = true;
  harness.append_result = AppendResult::kAppended;
  harness.Run(seconds(6));
  EXPECT_TRUE(harness.planner.IsActing(harness.now, harness.fold));
  // Paused for a minute; meanwhile another node took the lease.
  harness.AppendForeign("z", PlannerClaim{Term(2)});
  harness.now += seconds(60);
  harness.Tick();
  EXPECT_FALSE(harness.planner.IsActing(harness.now, harness.fold));
  const auto before = harness.appends.size();
  harness.Run(seconds(5));
  EXPECT_EQ(harness.appends.size(), before);
  EXPECT_EQ(harness.fold.planner().holder.node, NodeId("z"));
}

// Guards against claims of all nodes at once when the log is readable again.
TEST(PlannerTest, UnreadableLogIsNoSilence) {
  PlannerHarness harness;
  harness.AppendForeign("z", PlannerClaim{Term(1)});
  harness.Run(seconds(1));
  harness.readable = false;
  harness.Run(seconds(60));
  harness.readable = true;
  harness.Run(seconds(5));
  EXPECT_TRUE(harness.appends.empty());
}

struct ViewCase {
  const char* name;
  /** Nodes that "a" and "b" report as alive; nullopt: no heartbeat. */
  std::optional<std::vector<NodeId>> a;
  std::optional<std::vector<NodeId>> b;
  /** Whether "z" sends heartbeats to this node, and has announced its stop. */
  bool z_heard;
  bool z_stopping;
  std::vector<const char*> listed;
  Names view;
};

void PrintTo(const ViewCase& it, std::ostream* out) {
  *out << it.name;
}

class ViewTest : public testing::TestWithParam<ViewCase> {};

// Guards against removing a node that others hear, or a whole data centre.
TEST_P(ViewTest, FollowsHeartbeatsAndHostList) {
  PlannerHarness harness(kPeers);
  const std::vector<NodeId> all = {NodeId("a"), NodeId("b"), NodeId("m"),
                                   NodeId("z")};
  for (int i = 0; i < 100; ++i) {
    for (const char* id : {"a", "b", "z"}) {
      harness.ReceiveHeartbeat(id, all);
    }
    harness.Run(milliseconds(200));
  }
  ASSERT_EQ(harness.ViewNames(), (Names{"a", "b", "m", "z"}));
  const ViewCase& it = GetParam();
  HostList list;
  for (const char* id : it.listed) {
    list.entry_hosts.push_back({NodeId(id), false});
  }
  harness.planner.OnHostList(list);
  if (it.z_stopping) {
    harness.ReceiveHeartbeat("z", all, true);
  }
  for (int i = 0; i < 20; ++i) {
    if (it.a) {
      harness.ReceiveHeartbeat("a", *it.a);
    }
    if (it.b) {
      harness.ReceiveHeartbeat("b", *it.b);
    }
    if (it.z_heard) {
      harness.ReceiveHeartbeat("z", all, it.z_stopping);
    }
    harness.Run(seconds(1));
    if (it.z_stopping && i == 5) {
      break;
    }
  }
  EXPECT_EQ(harness.ViewNames(), it.view);
}

const std::vector<NodeId> kAll = {NodeId("a"), NodeId("b"), NodeId("m"),
                                  NodeId("z")};
const std::vector<NodeId> kNotZ = {NodeId("a"), NodeId("b"), NodeId("m")};

INSTANTIATE_TEST_SUITE_P(
    Planner,
    ViewTest,
    testing::Values(
        ViewCase{"all well", kAll, kAll, true, false, {}, {"a", "b", "m", "z"}},
        ViewCase{"heard by two of three",
                 kAll,
                 kAll,
                 false,
                 false,
                 {},
                 {"a", "b", "m", "z"}},
        ViewCase{"heard by one of three",
                 kAll,
                 kNotZ,
                 false,
                 false,
                 {},
                 {"a", "b", "m"}},
        ViewCase{"only the planner is cut off",
                 std::nullopt,
                 std::nullopt,
                 false,
                 false,
                 {},
                 {"a", "b", "m", "z"}},
        ViewCase{"not on the host list",
                 kAll,
                 kAll,
                 true,
                 false,
                 {"a", "b", "m"},
                 {"a", "b", "m"}},
        ViewCase{"stopped and silent",
                 kAll,
                 kAll,
                 false,
                 true,
                 {},
                 {"a", "b", "m"}},
        ViewCase{"stopping but heard",
                 kAll,
                 kAll,
                 true,
                 true,
                 {},
                 {"a", "b", "m", "z"}}));

// Guards against a planner that alternately adds and removes a restarted node,
// because the last reports of the node's data centre date from its absence.
// That made 187 views in 10 s.
TEST(PlannerTest, AddsReturnedNodeOnce) {
  PlannerHarness harness(
      {{NodeId("b"), DataCentreId("z")}, {NodeId("w"), DataCentreId("z")}});
  for (int n = 0; n < 20; ++n) {
    harness.ReceiveHeartbeat("b", {NodeId("w")}, false, "z");
    harness.ReceiveHeartbeat("w", {NodeId("b")}, false, "z");
    harness.Run(seconds(1));
  }
  ASSERT_EQ(harness.ViewNames(), (Names{"b", "m", "w"}));
  for (int n = 0; n < 3; ++n) {
    harness.ReceiveHeartbeat("w", {}, false, "z");
    harness.Run(seconds(1));
  }
  ASSERT_EQ(harness.ViewNames(), (Names{"m", "w"}));
  const int changes = harness.kinds["view-changing"];
  for (int n = 0; n < 5; ++n) {
    harness.ReceiveHeartbeat("b", {NodeId("w")}, false, "z");
    harness.Run(seconds(1));
  }
  harness.ReceiveHeartbeat("w", {NodeId("b")}, false, "z");
  harness.Run(seconds(2));
  EXPECT_EQ(harness.ViewNames(), (Names{"b", "m", "w"}));
  EXPECT_EQ(harness.kinds["view-changing"], changes + 1);
}

// Guards against snapshots that are missing, split wrongly, or delay the
// renewal of the lease.
TEST(PlannerTest, WritesSnapshotInParts) {
  PlannerHarness harness;
  harness.Run(seconds(8));
  Table table;
  for (int i = 0; i < 3000; ++i) {
    const HostId id("h" + std::string(50, 'x') + std::to_string(i));
    table.hosts[id] = {id, RackId("r"), DataCentreId("d"), PoolId(),
                       Maintenance::kNone};
  }
  harness.AppendForeign("z", TableEdit{EditId("big"), "ada", TableVersion(0),
                                       DiffTables(Table(), table)});
  for (int i = 0; i < 1000; ++i) {
    harness.AppendForeign("z", UnknownRecord{"filler"});
  }
  harness.Run(seconds(5));
  EXPECT_EQ(harness.kinds["snapshot-started"], 1);
  std::string text;
  std::uint32_t parts = 0;
  for (const auto& [at, record] : harness.appends) {
    if (const auto* part = std::get_if<SnapshotPart>(&record.body)) {
      EXPECT_LE(part->text.size(), kSnapshotPartBytes);
      EXPECT_EQ(part->part, parts++);
      text += part->text;
    }
  }
  EXPECT_GT(parts, 1u);
  const auto state = DecodeFold(text);
  ASSERT_TRUE(state.has_value());
  EXPECT_EQ(state->table, table);
  EXPECT_EQ(harness.fold.state().snapshot.covers, state->next_offset);
}

// Guards against more appends than the log sustains after an outage, and
// against a new sequence for a record that the log may already hold.
TEST(LogWriterTest, SharesTheRateAndKeepsTheSequence) {
  constexpr std::size_t kNodes = 81;
  PlannerHarness harness({}, kNodes);
  harness.planner.Stop();
  harness.append_result = AppendResult::kUnknown;
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(harness.writer.Submit(PlannerClaim{Term(9)}, 1).has_value());
  }
  harness.Run(seconds(60));
  EXPECT_LE(harness.appends.size(), 25u);
  for (const auto& [at, record] : harness.appends) {
    EXPECT_EQ(record.sequence, RecordSequence(1));
  }
  EXPECT_EQ(harness.kinds["log-unreachable"], 1);
  harness.append_result = AppendResult::kAppended;
  const auto before = harness.appends.size();
  harness.Run(seconds(20));
  const auto per_second =
      static_cast<double>(harness.appends.size() - before) / 20 * kNodes;
  EXPECT_LT(per_second, 250);
  EXPECT_GT(per_second, 100);
}

// Guards against refusing an edit of which an earlier copy may reach the log.
TEST(CommandTest, ResentEditStaysUnknownWhileACopyMayArrive) {
  PlannerHarness harness(kPeers);
  harness.planner.Stop();
  harness.Run(seconds(1));
  const TableEdit edit{
      EditId("e"),
      "ada",
      TableVersion(0),
      {{{"teams", "t", "team"}, "", "t"}, {{"teams", "t", "quota"}, "", "5"}}};
  const auto submit = [&](AppendResult result) {
    harness.append_result = result;
    Effects effects;
    harness.commands.OnEdit({CommandId(harness.replies.size()), edit},
                            harness.now, 1, harness.fold, harness.writer,
                            effects);
    harness.Execute(effects);
    harness.Run(seconds(15));
    return harness.replies.back().state;
  };
  EXPECT_EQ(submit(AppendResult::kUnknown), EditState::kUnknown);
  const Record copy = harness.appends.back().second;
  EXPECT_EQ(submit(AppendResult::kRejected), EditState::kUnknown);
  // The cell has another value now, but the copy may still be accepted if that
  // change is undone first.
  harness.AppendForeign(
      "a", TableEdit{EditId("f"), "ben", TableVersion(0), edit.changes});
  harness.Run(seconds(1));
  EXPECT_EQ(submit(AppendResult::kRejected), EditState::kUnknown);
  harness.log.push_back(copy);
  EXPECT_EQ(submit(AppendResult::kAppended), EditState::kConflict);
}

struct EditCase {
  const char* name;
  AppendResult append;
  /** Whether the peer reports the new version. */
  bool peer_follows;
  const char* old_quota;
  const char* new_quota;
  EditState state;
  int seconds_taken;
};

void PrintTo(const EditCase& it, std::ostream* out) {
  *out << it.name;
}

class EditAnswerTest : public testing::TestWithParam<EditCase> {};

// Guards against answers to operators that are late or claim too much.
TEST_P(EditAnswerTest, AnswersWhatIsKnown) {
  const EditCase& it = GetParam();
  PlannerHarness harness(kPeers);
  harness.planner.Stop();
  harness.AppendForeign("a", PlannerClaim{Term(1)});
  harness.AppendForeign("a", ViewChange{Term(1),
                                        ViewNumber(1),
                                        {{NodeId("a"), DataCentreId("a")},
                                         {NodeId("m"), DataCentreId("a")}}});
  harness.AppendForeign("a", TableEdit{EditId("e0"),
                                       "ben",
                                       TableVersion(0),
                                       {{{"teams", "t", "team"}, "", "t"},
                                        {{"teams", "t", "quota"}, "", "5"}}});
  harness.Run(seconds(1));
  harness.append_result = it.append;
  Effects effects;
  harness.commands.OnEdit(
      {CommandId(1),
       {EditId("e1"),
        "ada",
        TableVersion(1),
        {{{"teams", "t", "quota"}, it.old_quota, it.new_quota}}}},
      harness.now, 1, harness.fold, harness.writer, effects);
  harness.Execute(effects);
  const Time start = harness.now;
  while (harness.replies.empty() && harness.now < start + seconds(20)) {
    if (it.peer_follows) {
      harness.ReceiveHeartbeat("a", {});
    }
    harness.Run(milliseconds(50));
  }
  ASSERT_EQ(harness.replies.size(), 1u);
  const EditReply& reply = harness.replies.front();
  EXPECT_EQ(reply.state, it.state) << reply.message;
  EXPECT_EQ((harness.now - start) / seconds(1), it.seconds_taken);
  EXPECT_EQ(reply.conflicts.empty(), it.state != EditState::kConflict);
  EXPECT_EQ(reply.faults.empty(), it.state != EditState::kFaulty);
  EXPECT_EQ(reply.pending.empty(), it.state != EditState::kPartlyInForce);
  if (!reply.conflicts.empty()) {
    EXPECT_EQ(reply.conflicts.front().changed_by, "ben");
    EXPECT_EQ(reply.conflicts.front().changed_in, TableVersion(1));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Commands,
    EditAnswerTest,
    testing::Values(EditCase{"in force", AppendResult::kAppended, true, "5",
                             "6", EditState::kInForce, 0},
                    EditCase{"peer is behind", AppendResult::kAppended, false,
                             "5", "6", EditState::kPartlyInForce, 14},
                    EditCase{"conflict", AppendResult::kAppended, true, "4",
                             "6", EditState::kConflict, 0},
                    EditCase{"faulty", AppendResult::kAppended, true, "5", "0",
                             EditState::kFaulty, 0},
                    EditCase{"log refuses", AppendResult::kRejected, true, "5",
                             "6", EditState::kNotAccepted, 14},
                    EditCase{"no answer", AppendResult::kUnknown, true, "5",
                             "6", EditState::kUnknown, 14}));

struct FetchCase {
  const char* name;
  /** Offsets that the three peers report; 0: the peer has no state either. */
  std::vector<std::uint64_t> offsets;
  bool log_failed;
  int age_seconds;
  /** Node that gets the request; empty if none. */
  std::string asked;
};

void PrintTo(const FetchCase& it, std::ostream* out) {
  *out << it.name;
}

class FetchTest : public testing::TestWithParam<FetchCase> {};

// Guards against a node that adopts the table of a peer while the peers heard
// from may all have missed an edit in force.
TEST_P(FetchTest, AsksTheMostAdvancedPeer) {
  const FetchCase& it = GetParam();
  const Time start(seconds(100));
  const Time now = start + seconds(it.age_seconds);
  Membership membership(PlannerHarness::Make(kPeers), start);
  StateFetch fetch(start);
  LogFold fold;
  for (std::size_t i = 0; i < it.offsets.size(); ++i) {
    Heartbeat beat;
    beat.data_centre = DataCentreId("a");
    beat.next_offset = Offset(it.offsets[i]);
    fold.NotePeerOffset(beat.next_offset);
    membership.OnHeartbeat(kPeers[i].id, Incarnation(1), beat, now);
  }
  if (it.log_failed) {
    fetch.OnLogReadFailed();
  }
  Effects effects;
  fetch.Tick(now, fold, membership, effects);
  ASSERT_EQ(effects.empty(), it.asked.empty());
  LogFold peer;
  for (std::uint64_t i = 0; i < 7; ++i) {
    Record record;
    record.body = UnknownRecord{"filler"};
    peer.Apply({Offset(i), record});
  }
  peer.NoteLogRange(Offset(0), Offset(7));
  Effects served;
  StateFetch::OnRequest(NodeId("m"), peer, served);
  const auto reply =
      std::get<StateReply>(std::get<SendPeer>(served.front()).message);
  fetch.OnReply(NodeId("b"), reply, now, membership, fold, served);
  if (it.asked.empty()) {
    EXPECT_FALSE(fold.caught_up());
    return;
  }
  EXPECT_EQ(std::get<SendPeer>(effects.front()).to.value(), it.asked);
  EXPECT_EQ(fold.Digest(), peer.Digest());
  EXPECT_TRUE(fold.caught_up());
}

INSTANTIATE_TEST_SUITE_P(
    StateFetch,
    FetchTest,
    testing::Values(FetchCase{"best of all", {5, 7, 6}, true, 4, "b"},
                    FetchCase{"one peer started too", {5, 7, 0}, true, 4, "b"},
                    FetchCase{"too few", {7, 0, 0}, true, 4, ""},
                    FetchCase{"too early", {5, 7, 6}, true, 2, ""}));

}  // namespace
}  // namespace baobab
