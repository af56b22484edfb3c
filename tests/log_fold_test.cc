#include "libdecision/log_fold.h"

#include <gtest/gtest.h>

#include "libdecision/fold_codec.h"

namespace baobab {
namespace {

constexpr auto kApplied = FoldOutcome::kApplied;
constexpr auto kRejected = FoldOutcome::kRejected;
constexpr auto kDuplicate = FoldOutcome::kDuplicate;

Record Make(const char* node, std::uint64_t sequence, RecordBody body) {
  Record record;
  record.writer = {NodeId(node), Incarnation(1)};
  record.sequence = RecordSequence(sequence);
  record.body = std::move(body);
  return record;
}

TableEdit Quota(const char* id, const char* from, const char* to) {
  return {EditId(id),
          "ada",
          TableVersion(0),
          {{{"teams", "t", "quota"}, from, to}}};
}

TableEdit NewTeam(const char* id) {
  return {
      EditId(id),
      "ben",
      TableVersion(0),
      {{{"teams", "t", "team"}, "", "t"}, {{"teams", "t", "quota"}, "", "5"}}};
}

PlannerClaim Claim(std::uint64_t term) {
  return {Term(term)};
}

ViewChange ViewOf(std::uint64_t term,
                  std::uint64_t number,
                  std::vector<const char*> names) {
  ViewChange change{Term(term), ViewNumber(number), {}};
  for (const char* it : names) {
    change.nodes.push_back({NodeId(it), DataCentreId("d")});
  }
  return change;
}

SnapshotPart Part(std::uint64_t term,
                  const char* id,
                  std::uint64_t covers,
                  std::uint32_t part,
                  std::uint32_t parts,
                  std::string text = "") {
  return {Term(term), id, Offset(covers), part, parts, std::move(text)};
}

struct FoldCase {
  const char* name;
  std::vector<Record> records;
  std::vector<FoldOutcome> outcomes;
  /** Expected part of the reason for the last record. */
  std::string reason;
  std::uint64_t version;
  std::string quota;
};

void PrintTo(const FoldCase& it, std::ostream* out) {
  *out << it.name;
}

class FoldTest : public testing::TestWithParam<FoldCase> {};

// Guards against records that are applied twice, although they break a rule, or
// although their writer does not hold the planner lease.
TEST_P(FoldTest, JudgesEachRecord) {
  LogFold fold;
  FoldResult last;
  std::uint64_t offset = 0;
  for (const auto& it : GetParam().records) {
    last = fold.Apply({Offset(offset), it});
    EXPECT_EQ(last.outcome, GetParam().outcomes[offset]) << offset;
    ++offset;
    EXPECT_EQ(fold.next_offset(), Offset(offset));
  }
  EXPECT_NE(last.reason.find(GetParam().reason), std::string::npos)
      << last.reason;
  EXPECT_EQ(fold.version(), TableVersion(GetParam().version));
  EXPECT_EQ(CellText(fold.table(), {"teams", "t", "quota"}), GetParam().quota);
  const auto copy = DecodeFold(EncodeFold(fold.state()));
  ASSERT_TRUE(copy.has_value()) << ToString(copy.error());
  EXPECT_EQ(EncodeFold(*copy), EncodeFold(fold.state()));
}

Record NewerFormat() {
  Record record = Make("a", 2, Quota("e2", "5", "6"));
  record.format = kRecordFormat + 1;
  return record;
}

Record OlderProcess() {
  Record record = Make("a", 9, Quota("e2", "5", "6"));
  record.writer.incarnation = Incarnation(0);
  return record;
}

INSTANTIATE_TEST_SUITE_P(
    Log,
    FoldTest,
    testing::Values(
        FoldCase{
            "edits of one cell",
            {Make("a", 1, NewTeam("e1")), Make("a", 2, Quota("e2", "5", "6"))},
            {kApplied, kApplied},
            "",
            2,
            "6"},
        FoldCase{
            "conflict",
            {Make("a", 1, NewTeam("e1")), Make("b", 1, Quota("e2", "4", "6"))},
            {kApplied, kRejected},
            "holds \"5\", not \"4\"",
            1,
            "5"},
        FoldCase{
            "faults",
            {Make("a", 1, NewTeam("e1")), Make("b", 1, Quota("e2", "5", "0"))},
            {kApplied, kRejected},
            "quota: 1 to",
            1,
            "5"},
        // The second copy could be applied again, since the cell is back at 5.
        FoldCase{
            "same edit through two nodes",
            {Make("a", 1, NewTeam("e1")), Make("a", 2, Quota("e2", "5", "6")),
             Make("a", 3, Quota("e3", "6", "5")),
             Make("b", 1, Quota("e2", "5", "6"))},
            {kApplied, kApplied, kApplied, kDuplicate},
            "decided before",
            3,
            "5"},
        FoldCase{
            "edit without effect is final",
            {Make("a", 1, Quota("e2", "5", "6")), Make("a", 2, NewTeam("e1")),
             Make("b", 1, Quota("e2", "5", "6"))},
            {kRejected, kApplied, kDuplicate},
            "decided before",
            1,
            "5"},
        // Reading sequence 3 ruled out sequence 2.
        FoldCase{"late copy",
                 {Make("a", 1, NewTeam("e1")), Make("a", 3, Claim(1)),
                  Make("a", 2, Quota("e2", "5", "6"))},
                 {kApplied, kApplied, kDuplicate},
                 "sequence 2",
                 1,
                 "5"},
        FoldCase{"older process",
                 {Make("a", 1, NewTeam("e1")), OlderProcess()},
                 {kApplied, kDuplicate},
                 "sequence 9",
                 1,
                 "5"},
        FoldCase{"newer format",
                 {Make("a", 1, NewTeam("e1")), NewerFormat()},
                 {kApplied, FoldOutcome::kUnknownFormat},
                 "format 2",
                 1,
                 "5"},
        FoldCase{"no changes",
                 {Make("a", 1, TableEdit{EditId("e"), "ada", {}, {}})},
                 {kRejected},
                 "1 to 16384 cells, now 0",
                 0,
                 ""},
        FoldCase{"no id",
                 {Make("a", 1, NewTeam(""))},
                 {kRejected},
                 "id of 1 to 128 bytes",
                 0,
                 ""},
        FoldCase{"unknown record",
                 {Make("a", 1, UnknownRecord{"odd body"})},
                 {FoldOutcome::kUnknownFormat},
                 "odd body",
                 0,
                 ""},
        FoldCase{"two claimants",
                 {Make("a", 1, Claim(1)), Make("b", 1, Claim(1))},
                 {kApplied, kRejected},
                 "does not hold term 1",
                 0,
                 ""},
        FoldCase{"claim skips a term",
                 {Make("a", 1, Claim(2))},
                 {kRejected},
                 "term 2, current is 0",
                 0,
                 ""},
        FoldCase{"paused holder",
                 {Make("a", 1, Claim(1)), Make("b", 1, Claim(2)),
                  Make("a", 2, ViewOf(1, 1, {"a"}))},
                 {kApplied, kApplied, kRejected},
                 "term 1, current is 2",
                 0,
                 ""},
        FoldCase{"other writer in the current term",
                 {Make("a", 1, Claim(1)), Make("b", 1, ViewOf(1, 1, {"b"}))},
                 {kApplied, kRejected},
                 "does not hold term 1",
                 0,
                 ""},
        FoldCase{"view number",
                 {Make("a", 1, Claim(1)), Make("a", 2, ViewOf(1, 1, {"a"})),
                  Make("a", 3, ViewOf(1, 3, {"a"}))},
                 {kApplied, kApplied, kRejected},
                 "view 3 after view 1",
                 0,
                 ""},
        FoldCase{
            "view order",
            {Make("a", 1, Claim(1)), Make("a", 2, ViewOf(1, 1, {"b", "a"}))},
            {kApplied, kRejected},
            "not sorted",
            0,
            ""},
        FoldCase{"version in force",
                 {Make("a", 1, Claim(1)), Make("a", 2, NewTeam("e1")),
                  Make("a", 3, VersionInForce{Term(1), TableVersion(1), 7}),
                  Make("a", 4, VersionInForce{Term(1), TableVersion(2), 8})},
                 {kApplied, kApplied, kApplied, kRejected},
                 "version 2 not in",
                 1,
                 "5"},
        FoldCase{"snapshot part out of order",
                 {Make("a", 1, Claim(1)), Make("a", 2, Part(1, "s", 1, 0, 3)),
                  Make("a", 3, Part(1, "s", 1, 2, 3))},
                 {kApplied, kApplied, kRejected},
                 "does not continue",
                 0,
                 ""}));

/** Returns the fold of a new team and of `count` later claims by "a". */
LogFold Folded(std::uint64_t count) {
  LogFold fold;
  fold.Apply({Offset(0), Make("a", 1, NewTeam("e1"))});
  for (std::uint64_t i = 1; i <= count; ++i) {
    fold.Apply({Offset(i), Make("a", i + 1, Claim(i))});
  }
  return fold;
}

// Guards against adopting an incomplete snapshot, or one that is followed by
// dropped records.
TEST(LogFoldTest, OnlyWholeSnapshotsBridgeMissingRecords) {
  const LogFold full = Folded(4);
  const std::string text = EncodeFold(Folded(3).state());  // covers 4
  const auto feed = [&](LogFold& fold, std::uint64_t first, bool all_parts) {
    auto result = fold.Apply(
        {Offset(first),
         Make("b", first + 1, Part(9, "s", 4, 0, 2, text.substr(0, 9)))});
    if (all_parts) {
      result = fold.Apply(
          {Offset(first + 1),
           Make("b", first + 2, Part(9, "s", 4, 1, 2, text.substr(9)))});
    }
    return result.outcome;
  };
  LogFold half;
  EXPECT_EQ(feed(half, 4, false), FoldOutcome::kWaitsForSnapshot);
  EXPECT_TRUE(half.waits_for_snapshot());
  EXPECT_EQ(half.next_offset(), Offset(0));
  LogFold dropped;
  EXPECT_EQ(feed(dropped, 5, true), FoldOutcome::kWaitsForSnapshot);
  EXPECT_EQ(dropped.next_offset(), Offset(0));
  LogFold whole;
  whole.NoteLogRange(Offset(4), Offset(6));
  EXPECT_EQ(feed(whole, 4, true), FoldOutcome::kAdopted);
  EXPECT_EQ(whole.next_offset(), Offset(6));
  EXPECT_TRUE(whole.caught_up());
  // A node that read all records has the same state.
  LogFold reader = Folded(3);
  feed(reader, 4, true);
  EXPECT_EQ(reader.Digest(), whole.Digest());
  EXPECT_EQ(full.version(), whole.version());
}

/** Adoption of a peer's state. */
struct AdoptCase {
  /** Claims folded before. */
  std::uint64_t present;
  std::uint64_t heard;
  std::uint64_t covers;
  std::string text;
  /** Expected part of the error; empty if adopted. */
  std::string error;
};

class AdoptTest : public testing::TestWithParam<AdoptCase> {};

// Guards against a restarted node that adopts an older table.
TEST_P(AdoptTest, NeverGoesBack) {
  const AdoptCase& it = GetParam();
  LogFold fold = Folded(it.present);
  fold.NotePeerOffset(Offset(it.heard));
  const auto before = fold.Digest();
  const auto result = fold.Adopt(Offset(it.covers), it.text);
  EXPECT_EQ(result.has_value(), it.error.empty());
  EXPECT_EQ(fold.caught_up(), it.error.empty());
  if (!result) {
    EXPECT_NE(result.error().message.find(it.error), std::string::npos)
        << result.error().message;
    EXPECT_EQ(fold.Digest(), before);
  } else {
    EXPECT_EQ(fold.next_offset(), Offset(it.covers));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Log,
    AdoptTest,
    testing::Values(
        AdoptCase{1, 4, 4, EncodeFold(Folded(3).state()), ""},
        AdoptCase{3, 4, 4, EncodeFold(Folded(3).state()), "not above"},
        AdoptCase{1, 5, 4, EncodeFold(Folded(3).state()), "heard from a peer"},
        AdoptCase{1, 0, 5, EncodeFold(Folded(3).state()), "covers 4, not 5"},
        AdoptCase{1, 0, 4, "{\"format\":1", "parse error"},
        AdoptCase{1, 0, 4, "{\"format\":9}", "unknown format 9"}));

struct CatchUpCase {
  std::uint64_t heard;
  std::uint64_t log_end;
  bool caught_up;
};

class CatchUpTest : public testing::TestWithParam<CatchUpCase> {};

// Guards against serving a table that is older than one already in force.
TEST_P(CatchUpTest, ReachesLogEndAndPeers) {
  LogFold fold = Folded(3);
  fold.NotePeerOffset(Offset(GetParam().heard));
  EXPECT_FALSE(fold.caught_up());
  fold.NoteLogRange(Offset(0), Offset(GetParam().log_end));
  EXPECT_EQ(fold.caught_up(), GetParam().caught_up);
}

INSTANTIATE_TEST_SUITE_P(Log,
                         CatchUpTest,
                         testing::Values(CatchUpCase{0, 4, true},
                                         CatchUpCase{4, 4, true},
                                         CatchUpCase{5, 4, false},
                                         CatchUpCase{0, 5, false}));

// Guards against memory that grows with the number of edits and writers.
TEST(LogFoldTest, MemoryIsBounded) {
  LogFold fold;
  fold.Apply({Offset(0), Make("a", 1, NewTeam("e0"))});
  for (std::uint64_t i = 1; i < 3000; ++i) {
    const auto quota = std::to_string(i + 4);
    const auto next = std::to_string(i + 5);
    fold.Apply({Offset(i), Make(("n" + quota).c_str(), 1,
                                Quota(("e" + quota).c_str(), quota.c_str(),
                                      next.c_str()))});
  }
  EXPECT_EQ(fold.version(), TableVersion(3000));
  EXPECT_EQ(fold.state().edits.size(), 1024u);
  EXPECT_EQ(fold.state().writers.size(), 1024u);
  EXPECT_EQ(fold.state().history.size(), 256u);
  EXPECT_EQ(fold.state().history.back().version, TableVersion(3000));
  EXPECT_TRUE(fold.FindEdit(EditId("e3003")).has_value());
}

}  // namespace
}  // namespace baobab
