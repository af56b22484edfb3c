#include "libtable/table.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace baobab {
namespace {

constexpr const char* kSmallTableCsv =
    "# comment\n"
    "[pools]\npool,weight,limit,min_hosts,availability_budget\n"
    "p1,10,4,1,1\np2,5,4,1,0\n\n"
    "[teams]\nteam,quota\nt1,100\n"
    "[queues]\nqueue,service,team,pool,urgency,weight,limit,deadline_ms\n"
    "q1,s1,t1,p1,urgent,10,50,2000\n"
    "[hosts]\nhost,rack,data_centre,pool,maintenance\n"
    "h1,r1,d1,p1,\nh2,r1,d1,p2,\nh3,r2,d2,,\n";

Table SmallTable() {
  return *ParseTable(kSmallTableCsv);
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

struct FaultCase {
  const char* name;
  const char* from;
  const char* to;
  /** Cells with a fault as "sheet/row/column", in any order. */
  std::vector<std::string> cells;
  /** Part of the rule of one fault. */
  const char* rule;
};

void PrintTo(const FaultCase& it, std::ostream* out) {
  *out << it.name;
}

class FaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against faults that are missed, hide each other or name the wrong
// cell.
TEST_P(FaultTest, NamesAllFaultyCells) {
  const FaultCase& it = GetParam();
  const auto result = ParseTable(Replace(kSmallTableCsv, it.from, it.to));
  ASSERT_FALSE(result.has_value());
  std::vector<std::string> cells;
  bool rule_found = false;
  for (const auto& fault : result.error()) {
    cells.push_back(fault.cell.sheet + "/" + fault.cell.row + "/" +
                    fault.cell.column);
    rule_found = rule_found || fault.rule.find(it.rule) != std::string::npos;
  }
  auto expected = it.cells;
  std::sort(cells.begin(), cells.end());
  std::sort(expected.begin(), expected.end());
  EXPECT_EQ(cells, expected);
  EXPECT_TRUE(rule_found) << result.error().front().rule;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    FaultTest,
    testing::Values(
        FaultCase{"id",
                  "t1,100",
                  "T 1,100\nt1,100",
                  {"teams/T 1/team"},
                  "1 to 64 characters"},
        FaultCase{"several",
                  "p1,10,4,1,1",
                  "p1,0,x,-1,1e3",
                  {"pools/p1/weight", "pools/p1/limit", "pools/p1/min_hosts",
                   "pools/p1/availability_budget"},
                  "weight: 1 to 1000"},
        FaultCase{"weight",
                  "urgent,10,50",
                  "urgent,1001,0",
                  {"queues/q1/weight", "queues/q1/limit"},
                  "limit: 1 to"},
        FaultCase{"deadline",
                  ",2000",
                  ",49",
                  {"queues/q1/deadline_ms"},
                  "50 to 86400000"},
        FaultCase{"deadline high",
                  ",2000",
                  ",86400001",
                  {"queues/q1/deadline_ms"},
                  "50 to 86400000"},
        FaultCase{"leading zero",
                  "t1,100",
                  "t1,0100",
                  {"teams/t1/quota"},
                  "quota: 1 to"},
        FaultCase{"overflow",
                  "t1,100",
                  "t1,99999999999999999999",
                  {"teams/t1/quota"},
                  "quota: 1 to"},
        FaultCase{"references",
                  "s1,t1,p1,urgent",
                  "s1,t9,p9,soon",
                  {"queues/q1/team", "queues/q1/pool", "queues/q1/urgency"},
                  "row in sheet teams"},
        FaultCase{"host pool",
                  "h3,r2,d2,,",
                  "h3,r2,d2,p9,off",
                  {"hosts/h3/pool", "hosts/h3/maintenance"},
                  "row in sheet pools"},
        FaultCase{"duplicate",
                  "t1,100",
                  "t1,100\nt1,5",
                  {"teams/t1/team"},
                  "present once, again in line 10"},
        FaultCase{"limit below min_hosts",
                  "p2,5,4,1,0",
                  "p2,5,1,2,0",
                  {"pools/p2/limit"},
                  "at least min_hosts, which is 2"},
        FaultCase{"budget 0 with drain",
                  "h2,r1,d1,p2,",
                  "h2,r1,d1,p2,drain",
                  {"pools/p2/availability_budget"},
                  "now 1 of 1"},
        FaultCase{"budget 0 with wanted",
                  "h2,r1,d1,p2,",
                  "h2,r1,d1,p2,wanted",
                  {"pools/p2/availability_budget"},
                  "now 1 of 1"},
        FaultCase{"pinned above limit",
                  "h3,r2,d2,,\n",
                  "h3,r2,d2,p2,\nh4,r2,d2,p2,\nh5,r2,d2,p2,\nh6,r2,d2,p2,\n",
                  {"pools/p2/limit"},
                  "which is 5"},
        FaultCase{"sum of min_hosts",
                  "p1,10,4,1,1",
                  "p1,10,4,3,1",
                  {"pools/p1/min_hosts"},
                  "now 4 of 3"},
        FaultCase{"missing sheet",
                  "[teams]\nteam,quota\nt1,100\n",
                  "",
                  {"teams//", "queues/q1/team"},
                  "even without rows"},
        FaultCase{"unknown sheet",
                  "[teams]",
                  "[team]",
                  {"team/line 7/", "teams//", "queues/q1/team"},
                  "pools, teams, queues or hosts"},
        FaultCase{"header",
                  "team,quota\n",
                  "team,qota,team\n",
                  {"teams/line 8/qota", "teams/line 8/team",
                   "teams/line 8/quota", "queues/q1/team"},
                  "column: present once"},
        FaultCase{"cells",
                  "t1,100",
                  "t1,100,",
                  {"teams/line 9/", "queues/q1/team"},
                  "cells in a row: 2, now 3"},
        FaultCase{"open quote",
                  "t1,100",
                  "\"t1,100",
                  {"teams/line 9/", "queues/q1/team"},
                  "same line"},
        FaultCase{"text after quote",
                  "t1,100",
                  "\"t1\"x,100",
                  {"teams/line 9/", "queues/q1/team"},
                  "followed by"},
        FaultCase{"row before sheet",
                  "# comment",
                  "a,b",
                  {"/line 1/"},
                  "after a line with"}));

// Guards against a parser that rejects text as people and spreadsheet programs
// write it.
TEST(TableTest, ReadsQuotesCommentsAndLineEnds) {
  std::string text = Replace(kSmallTableCsv, "t1,100", "#t0,1\n\"t1\",\"100\"");
  text = Replace(text, "team,quota\n", "team,quota\r\n");
  EXPECT_EQ(*ParseTable("\xEF\xBB\xBF" + text), SmallTable());
  const auto swapped = Replace(
      Replace(kSmallTableCsv, "team,quota", "quota,team"), "t1,100", "100,t1");
  EXPECT_EQ(*ParseTable(swapped), SmallTable());
}

struct EditCase {
  const char* name;
  std::vector<CellChange> changes;
  /** Rule of a fault, or "" if the edit applies. */
  std::string rule;
};

void PrintTo(const EditCase& it, std::ostream* out) {
  *out << it.name;
}

class EditTest : public testing::TestWithParam<EditCase> {};

// Guards against edits that are partly applied or change unknown cells.
TEST_P(EditTest, AppliesOrFails) {
  const auto result = ApplyChanges(SmallTable(), GetParam().changes);
  ASSERT_EQ(result.has_value(), GetParam().rule.empty());
  if (result) {
    for (const auto& it : GetParam().changes) {
      EXPECT_EQ(CellText(*result, it.cell), it.new_value);
    }
    return;
  }
  const auto& faults = result.error();
  EXPECT_TRUE(std::any_of(faults.begin(), faults.end(), [](const auto& fault) {
    return fault.rule.find(GetParam().rule) != std::string::npos;
  })) << faults.front().rule;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EditTest,
    testing::Values(
        EditCase{"one cell", {{{"pools", "p1", "weight"}, "10", "20"}}, ""},
        EditCase{"new row in any order",
                 {{{"teams", "t2", "quota"}, "", "9"},
                  {{"teams", "t2", "team"}, "", "t2"}},
                 ""},
        EditCase{"row removed", {{{"hosts", "h3", "host"}, "h3", ""}}, ""},
        EditCase{"incomplete row",
                 {{{"teams", "t2", "team"}, "", "t2"}},
                 "quota: 1 to"},
        EditCase{"no such row",
                 {{{"teams", "t2", "quota"}, "", "9"}},
                 "row: present, or added"},
        EditCase{"unknown sheet",
                 {{{"racks", "r1", "rack"}, "", "r1"}},
                 "sheet: pools"},
        EditCase{"unknown column",
                 {{{"teams", "t1", "colour"}, "", "red"}},
                 "column: one of"},
        EditCase{"twice",
                 {{{"teams", "t1", "quota"}, "100", "1"},
                  {{"teams", "t1", "quota"}, "100", "2"}},
                 "changed once"},
        EditCase{"renamed key",
                 {{{"teams", "t1", "team"}, "t1", "t2"}},
                 "row key: unchanged"},
        EditCase{"removed pool in use",
                 {{{"pools", "p1", "pool"}, "p1", ""}},
                 "row in sheet pools"}));

Table ArbitraryTable() {
  Table table;
  const auto id = [](const char* prefix, int n) {
    return prefix + std::to_string(n);
  };
  for (int i = 0; i < 3; ++i) {
    table.pools[PoolId(id("p", i))] = {
        PoolId(id("p", i)), Weight(*rc::gen::inRange(1, 1001)),
        HostCount(*rc::gen::inRange(30, 99)), HostCount(0),
        HostCount(*rc::gen::inRange(1, 9))};
  }
  table.teams[TeamId("t")] = {TeamId("t"), Units(*rc::gen::inRange(1, 99))};
  for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
    table.queues[QueueId(id("q", i))] = {
        QueueId(id("q", i)),
        ServiceId("s"),
        TeamId("t"),
        PoolId(id("p", *rc::gen::inRange(0, 3))),
        *rc::gen::element(Urgency::kUrgent, Urgency::kBatch),
        Weight(*rc::gen::inRange(1, 1001)),
        Units(*rc::gen::inRange(1, 99)),
        std::chrono::milliseconds(*rc::gen::inRange(50, 86400001))};
  }
  for (int i = *rc::gen::inRange(0, 9); i > 0; --i) {
    table.hosts[HostId(id("h", i))] = {
        HostId(id("h", i)), RackId("r"), DataCentreId("d"),
        *rc::gen::element(PoolId(), PoolId("p0"), PoolId("p2")),
        *rc::gen::element(Maintenance::kNone, Maintenance::kWanted,
                          Maintenance::kDrain)};
  }
  return table;
}

// Guards against tables that change when formatted and parsed, or diffed and
// applied.
TEST(TableTest, TextAndDifferencesRoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const Table from = ArbitraryTable();
    const Table to = ArbitraryTable();
    RC_ASSERT(*ParseTable(FormatTable(from)) == from);
    const auto changes = DiffTables(from, to);
    RC_ASSERT(*ApplyChanges(from, changes) == to);
    RC_ASSERT(std::is_sorted(
        changes.begin(), changes.end(),
        [](const auto& a, const auto& b) { return a.cell < b.cell; }));
    for (const auto& it : changes) {
      RC_ASSERT(CellText(from, it.cell) == it.old_value);
      RC_ASSERT(CellText(to, it.cell) == it.new_value);
    }
  }));
}

class ExampleTest : public testing::TestWithParam<const char*> {};

// Guards against example tables that do not parse or that do not have the sizes
// of the two deployments.
TEST_P(ExampleTest, HasTheSizeOfTheDeployment) {
  auto root = std::filesystem::current_path();
  while (!std::filesystem::exists(root / "examples") &&
         root.has_relative_path()) {
    root = root.parent_path();
  }
  std::ifstream in(root / "examples" / GetParam());
  ASSERT_TRUE(in.is_open()) << root;
  std::stringstream text;
  text << in.rdbuf();
  const auto table = ParseTable(text.str());
  ASSERT_TRUE(table.has_value()) << table.error().front().rule;
  EXPECT_EQ(table->pools.size(), 6u);
  EXPECT_EQ(table->queues.size(), 10u);
  std::set<ServiceId> services;
  for (const auto& [id, queue] : table->queues) {
    services.insert(queue.service);
  }
  EXPECT_EQ(services.size(), 5u);
  EXPECT_EQ(table->hosts.size(), 58u);
  std::map<RackId, int> racks;
  std::map<RackId, std::set<DataCentreId>> data_centres_of_rack;
  std::set<DataCentreId> data_centres;
  int spare = 0;
  for (const auto& [id, host] : table->hosts) {
    ++racks[host.rack];
    data_centres_of_rack[host.rack].insert(host.data_centre);
    data_centres.insert(host.data_centre);
    spare += host.pool == PoolId("spare") ? 1 : 0;
  }
  EXPECT_EQ(data_centres.size(), 3u);
  EXPECT_EQ(spare, 8);
  for (const auto& [rack, hosts] : racks) {
    EXPECT_LE(hosts, 4) << rack.value();
    EXPECT_EQ(data_centres_of_rack[rack].size(), 1u) << rack.value();
  }
}

INSTANTIATE_TEST_SUITE_P(Examples,
                         ExampleTest,
                         testing::Values("guild.csv", "uniforms.csv"));

}  // namespace
}  // namespace baobab
