#include "baobabfront/timeline_merge.h"

#include <algorithm>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace baobab {
namespace {

TimelineLine MakeLine(std::uint64_t clock,
                      const std::string& node,
                      std::uint64_t sequence,
                      TimelineEntry entry = {}) {
  return {clock,    NodeId(node), Incarnation(1),
          sequence, 1000,         std::move(entry)};
}

std::vector<std::string> NodesAndKinds(const std::vector<TimelineLine>& lines) {
  std::vector<std::string> kinds;
  for (const auto& it : lines) {
    kinds.push_back(it.node.value() + ":" + it.entry.kind);
  }
  return kinds;
}

/** Time lines of n1 and n2: a minion on host h1 leaves, and n1 refuses a
 * request for that reason. */
std::vector<TimelineLine> SampleTimeline() {
  return MergeTimelines({
      MakeLine(9, "n2", 4, {"request-refused", "request/7", "queue/q", ""}),
      MakeLine(8, "n1", 3, {"request-refused", "request/7", "minion/m1", ""}),
      MakeLine(6, "n1", 2, {"minion-leaving", "minion/m1", "host/h1", ""}),
      MakeLine(7, "n2", 3, {"minion-leaving", "minion/m1", "node/n1", ""}),
      MakeLine(1, "n1", 1, {"request-accepted", "request/7", "", ""}),
      MakeLine(2, "n2", 1, {"request-accepted", "request/7", "", ""}),
      MakeLine(5, "n2", 2, {"table-in-force", "table/4", "offset/12", ""}),
  });
}

struct FilterCase {
  std::string name;
  TimelineFilter filter;
  std::vector<std::string> kinds;
};

class FilterTest : public testing::TestWithParam<FilterCase> {};

// Guards against a filter that omits the event that caused a match, or that
// includes a request of another node with the same number.
TEST_P(FilterTest, KeepsMatchesAndTheirCauses) {
  EXPECT_EQ(NodesAndKinds(FilterTimeline(SampleTimeline(), GetParam().filter)),
            GetParam().kinds);
}

INSTANTIATE_TEST_SUITE_P(
    Timeline,
    FilterTest,
    testing::Values(
        FilterCase{
            "RequestOfOneNode",
            {"request/7", "", "", "", "n1"},
            {"n1:request-accepted", "n2:minion-leaving", "n1:request-refused"}},
        FilterCase{"RequestPrefix",
                   {"request/", "", "", "request-accepted", ""},
                   {"n1:request-accepted", "n2:request-accepted"}},
        FilterCase{"Host", {"", "h1", "", "", ""}, {"n1:minion-leaving"}},
        FilterCase{"TableVersion",
                   {"", "", "4", "", ""},
                   {"n2:table-in-force"}},
        FilterCase{"OtherTableVersion", {"", "", "40", "", ""}, {}},
        FilterCase{"SubjectIsWhole", {"request", "", "", "", ""}, {}},
        FilterCase{"Kind",
                   {"", "", "", "minion-leaving", "n1"},
                   {"n1:minion-leaving"}}),
    [](const auto& it) { return it.param.name; });

// Guards against a merge that depends on the order of the files, or that puts
// an effect on one node before its cause on another node.
TEST(TimelineTest, MergeKeepsCausalOrderForAnyFileOrder) {
  const bool ok = rc::check([] {
    // Random events: a process (the sender itself) ticks, or receives a message
    // from another process.
    std::uint64_t lamport_clocks[3] = {0, 0, 0};
    std::uint64_t sequences[3] = {0, 0, 0};
    std::vector<TimelineLine> lines;
    std::vector<std::pair<TimelineLine, TimelineLine>> edges;
    std::vector<std::optional<TimelineLine>> last(3);
    const int events = *rc::gen::inRange(0, 40);
    for (int n = 0; n < events; ++n) {
      const int process = *rc::gen::inRange(0, 3);
      const int sender = *rc::gen::inRange(0, 3);
      lamport_clocks[process] =
          std::max(lamport_clocks[process], lamport_clocks[sender]) + 1;
      const auto line =
          MakeLine(lamport_clocks[process], "n" + std::to_string(process),
                   ++sequences[process]);
      for (const auto& it : {last[process], last[sender]}) {
        if (it) {
          edges.emplace_back(*it, line);
        }
      }
      last[process] = line;
      lines.push_back(line);
    }
    const auto merged = MergeTimelines(lines);
    std::reverse(lines.begin(), lines.end());
    RC_ASSERT(MergeTimelines(lines) == merged);
    RC_ASSERT(merged.size() == lines.size());
    for (const auto& [before, after] : edges) {
      RC_ASSERT(std::find(merged.begin(), merged.end(), before) <
                std::find(merged.begin(), merged.end(), after));
    }
  });
  EXPECT_TRUE(ok);
}

// Guards against a reader that rejects a file because the process was killed
// while it wrote the last line.
TEST(TimelineTest, MalformedLinesAreCountedAndTheRestIsKept) {
  std::istringstream stream(
      "{\"node\":\"n1\",\"incarnation\":5,\"sequence\":1,\"clock\":3,"
      "\"wall_ms\":9,\"kind\":\"k\",\"subject\":\"s/1\",\"cause\":\"\","
      "\"detail\":\"d\"}\n[1]\n{\"node\":\"n1\",\"incar");
  const TimelineFile file = ReadTimeline(stream);
  EXPECT_EQ(file.malformed, 2U);
  EXPECT_EQ(
      file.lines,
      (std::vector<TimelineLine>{
          {3, NodeId("n1"), Incarnation(5), 1, 9, {"k", "s/1", "", "d"}}}));
}

// Guards against duplicate events when a file is named twice.
TEST(TimelineTest, RepeatedEntriesAreDropped) {
  auto lines = SampleTimeline();
  const auto once = lines;
  lines.insert(lines.end(), once.begin(), once.end());
  EXPECT_EQ(MergeTimelines(lines), once);
}

}  // namespace
}  // namespace baobab
