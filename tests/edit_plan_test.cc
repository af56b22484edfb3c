#include "baobabfront/edit_plan.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

Table WithQuotas(std::int64_t a, std::int64_t b) {
  Table table;
  table.teams[TeamId("a")] = {TeamId("a"), Units(a)};
  table.teams[TeamId("b")] = {TeamId("b"), Units(b)};
  return table;
}

CellChange Quota(const std::string& team,
                 const std::string& old_value,
                 const std::string& new_value) {
  return {{"teams", team, "quota"}, old_value, new_value};
}

struct PlanCase {
  std::string name;
  Table present;
  std::vector<CellChange> changes;
  std::size_t already;
};

class PlanTest : public testing::TestWithParam<PlanCase> {};

// Guards against an edit that takes back what another operator did meanwhile:
// the operator started from (5, 5) and wants (6, 5).
TEST_P(PlanTest, HoldsOnlyTheOperatorsOwnChanges) {
  const EditPlan plan =
      PlanEdit(WithQuotas(5, 5), WithQuotas(6, 5), GetParam().present);
  EXPECT_EQ(plan.changes, GetParam().changes);
  EXPECT_EQ(plan.already, GetParam().already);
}

INSTANTIATE_TEST_SUITE_P(
    Plan,
    PlanTest,
    testing::Values(
        PlanCase{"Unchanged", WithQuotas(5, 5), {Quota("a", "5", "6")}, 0},
        PlanCase{"OtherCellChanged",
                 WithQuotas(5, 9),
                 {Quota("a", "5", "6")},
                 0},
        PlanCase{"SameCellChanged",
                 WithQuotas(7, 5),
                 {Quota("a", "5", "6")},
                 0},
        PlanCase{"AlreadyMade", WithQuotas(6, 5), {}, 1}),
    [](const auto& it) { return it.param.name; });

HistoryEntry Edit(std::uint64_t version, std::vector<CellChange> changes) {
  HistoryEntry entry;
  entry.version = TableVersion(version);
  entry.changes = std::move(changes);
  return entry;
}

// Guards against a base that the operator never saw.
TEST(TableAtTest, UndoesLaterEdits) {
  const TableReply present{TableVersion(4), WithQuotas(8, 9)};
  const HistoryReply history{
      {Edit(2, {Quota("a", "5", "6")}), Edit(3, {Quota("a", "6", "7")}),
       Edit(4, {Quota("a", "7", "8"), Quota("b", "5", "9")}),
       Edit(5, {Quota("b", "9", "10")})}};
  EXPECT_EQ(TableAt(present, history, TableVersion(4)), WithQuotas(8, 9));
  EXPECT_EQ(TableAt(present, history, TableVersion(3)), WithQuotas(7, 5));
  EXPECT_EQ(TableAt(present, history, TableVersion(1)), WithQuotas(5, 5));
  EXPECT_FALSE(TableAt(present, history, TableVersion(0)));
  EXPECT_FALSE(TableAt(present, history, TableVersion(5)));
}

// Guards against an undo that misses added and removed rows.
TEST(TableAtTest, UndoesRowsAddedAndRemoved) {
  Table before = WithQuotas(5, 5);
  Table after = before;
  after.teams.erase(TeamId("b"));
  after.teams[TeamId("c")] = {TeamId("c"), Units(3)};
  EXPECT_EQ(TableAt({TableVersion(2), after},
                    {{Edit(2, DiffTables(before, after))}}, TableVersion(1)),
            before);
}

// Guards against two operators whose edits count as one.
TEST(EditIdTest, IdsDiffer) {
  EXPECT_NE(MakeEditId(), MakeEditId());
  EXPECT_EQ(MakeEditId().value().size(), 32U);
}

}  // namespace
}  // namespace baobab
