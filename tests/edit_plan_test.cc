#include "baobabfront/edit_plan.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

Table TableWithQuotas(std::int64_t a, std::int64_t b) {
  Table table;
  table.teams[TeamId("a")] = {TeamId("a"), Units(a)};
  table.teams[TeamId("b")] = {TeamId("b"), Units(b)};
  return table;
}

CellChange QuotaChange(const std::string& team,
                       const std::string& old_value,
                       const std::string& new_value) {
  return {{"teams", team, "quota"}, old_value, new_value};
}

struct PlanCase {
  std::string name;
  Table current;
  std::vector<CellChange> changes;
  std::size_t already_applied;
};

class PlanTest : public testing::TestWithParam<PlanCase> {};

// Guards against an edit that reverts a concurrent edit by another operator.
// The operator changes the quotas from (5, 5) to (6, 5).
TEST_P(PlanTest, HoldsOnlyTheOperatorsOwnChanges) {
  const EditPlan plan = PlanEdit(TableWithQuotas(5, 5), TableWithQuotas(6, 5),
                                 GetParam().current);
  EXPECT_EQ(plan.changes, GetParam().changes);
  EXPECT_EQ(plan.already_applied, GetParam().already_applied);
}

INSTANTIATE_TEST_SUITE_P(
    Plan,
    PlanTest,
    testing::Values(PlanCase{"Unchanged",
                             TableWithQuotas(5, 5),
                             {QuotaChange("a", "5", "6")},
                             0},
                    PlanCase{"OtherCellChanged",
                             TableWithQuotas(5, 9),
                             {QuotaChange("a", "5", "6")},
                             0},
                    PlanCase{"SameCellChanged",
                             TableWithQuotas(7, 5),
                             {QuotaChange("a", "5", "6")},
                             0},
                    PlanCase{"AlreadyMade", TableWithQuotas(6, 5), {}, 1}),
    [](const auto& it) { return it.param.name; });

HistoryEntry MakeHistoryEntry(std::uint64_t version,
                              std::vector<CellChange> changes) {
  HistoryEntry entry;
  entry.version = TableVersion(version);
  entry.changes = std::move(changes);
  return entry;
}

// Guards against a reconstructed base that differs from what the operator saw.
TEST(TableAtTest, UndoesLaterEdits) {
  const TableReply current{TableVersion(4), TableWithQuotas(8, 9)};
  const HistoryReply history{
      {MakeHistoryEntry(2, {QuotaChange("a", "5", "6")}),
       MakeHistoryEntry(3, {QuotaChange("a", "6", "7")}),
       MakeHistoryEntry(
           4, {QuotaChange("a", "7", "8"), QuotaChange("b", "5", "9")}),
       MakeHistoryEntry(5, {QuotaChange("b", "9", "10")})}};
  EXPECT_EQ(TableAtVersion(current, history, TableVersion(4)),
            TableWithQuotas(8, 9));
  EXPECT_EQ(TableAtVersion(current, history, TableVersion(3)),
            TableWithQuotas(7, 5));
  EXPECT_EQ(TableAtVersion(current, history, TableVersion(1)),
            TableWithQuotas(5, 5));
  EXPECT_FALSE(TableAtVersion(current, history, TableVersion(0)));
  EXPECT_FALSE(TableAtVersion(current, history, TableVersion(5)));
}

// Guards against an undo that misses added or removed rows.
TEST(TableAtTest, UndoesRowsAddedAndRemoved) {
  Table before = TableWithQuotas(5, 5);
  Table after = before;
  after.teams.erase(TeamId("b"));
  after.teams[TeamId("c")] = {TeamId("c"), Units(3)};
  EXPECT_EQ(TableAtVersion({TableVersion(2), after},
                           {{MakeHistoryEntry(2, DiffTables(before, after))}},
                           TableVersion(1)),
            before);
}

// Guards against two edits with the same id, of which only one would be
// applied.
TEST(EditIdTest, IdsDiffer) {
  EXPECT_NE(MakeEditId(), MakeEditId());
  EXPECT_EQ(MakeEditId().value().size(), 32U);
}

}  // namespace
}  // namespace baobab
