#include "libtelemetry/telemetry.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace baobab {
namespace {

double MetricValue(const std::string& text, const std::string& name) {
  const auto at = text.find("\n" + name + " ");
  return at == std::string::npos ? -1
                                 : std::stod(text.substr(at + name.size() + 2));
}

std::vector<nlohmann::json> ReadJsonLines(const std::string& path) {
  std::vector<nlohmann::json> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

// Guards against inexact quantiles, such as a p99 that is the mean of the
// samples above it.
TEST(MetricsTest, QuantilesAreCloseToTheExactOnes) {
  Metrics metrics;
  // A fixed permutation of 0 to 9999.
  for (int n = 0; n < 10000; ++n) {
    metrics.Observe("start_seconds", n * 7919 % 10000);
  }
  const std::string text = metrics.PrometheusText();
  EXPECT_NEAR(MetricValue(text, "baobab_start_seconds{quantile=\"0.5\"}"), 5000,
              100);
  EXPECT_NEAR(MetricValue(text, "baobab_start_seconds{quantile=\"0.99\"}"),
              9900, 50);
  EXPECT_EQ(MetricValue(text, "baobab_start_seconds_count"), 10000);
  EXPECT_EQ(MetricValue(text, "baobab_start_seconds_max"), 9999);
  EXPECT_NEAR(MetricValue(text, "baobab_start_seconds_mean"), 4999.5, 0.001);
}

// Guards against undefined estimates from too few samples.
TEST(MetricsTest, FewSamplesReportTheMaximum) {
  Metrics metrics;
  metrics.Observe("wait_seconds", 3);
  metrics.Observe("wait_seconds", 2);
  EXPECT_EQ(MetricValue(metrics.PrometheusText(),
                        "baobab_wait_seconds{quantile=\"0.99\"}"),
            3);
}

TEST(MetricsTest, CountersAddUp) {
  Metrics metrics;
  metrics.Count("a-b");
  metrics.Count("a-b", 4);
  EXPECT_EQ(MetricValue(metrics.PrometheusText(), "baobab_a_b"), 5);
}

// Guards against untrusted text that forges a second log line.
TEST(LogTest, MessageStaysInOneLineAndLevelFilters) {
  testing::internal::CaptureStderr();
  Log(LogLevel::kDebug, "front", "hidden");
  Log(LogLevel::kInfo, "front", "key {}", "a\nb");
  const std::string text = testing::internal::GetCapturedStderr();
  EXPECT_EQ(text.substr(text.find(' ')), " info    front: key a?b\n");
}

// Guards against time line entries without the Lamport clock and sequence that
// causal order needs.
TEST(TimelineTest, LinesCarryClockAndSequence) {
  const std::string path = testing::TempDir() + "telemetry_test_timeline.json";
  std::remove(path.c_str());
  {
    Timeline timeline(path, NodeId("n1"), Incarnation(5));
    timeline.Write({"view-changed", "view/3", "node/n2", "n2 is silent"}, 1000);
    timeline.MergeClock(40);
    timeline.MergeClock(7);
    EXPECT_EQ(timeline.clock(), 40U);
    timeline.Write({"request-refused", "request/7", "", "over-limit \xff"},
                   1001);
  }
  const auto lines = ReadJsonLines(path);
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0], nlohmann::json::parse(R"({"node":"n1","incarnation":5,
      "sequence":1,"clock":1,"wall_ms":1000,"kind":"view-changed",
      "subject":"view/3","cause":"node/n2","detail":"n2 is silent"})"));
  EXPECT_EQ(lines[1]["sequence"], 2);
  EXPECT_EQ(lines[1]["clock"], 41);
}

// Guards against a full disk that blocks the node or exhausts its memory.
TEST(TimelineTest, FullDiskDropsAndCountsEntries) {
  Timeline timeline("/dev/full", NodeId("n1"), Incarnation(5));
  const std::string detail(1000, 'x');
  for (int n = 0; n < 3000; ++n) {
    timeline.Write({"request-refused", "request/7", "", detail}, 1000);
  }
  EXPECT_EQ(timeline.clock(), 3000U);
  EXPECT_GT(timeline.dropped_entries(), 1900U);
  EXPECT_LT(timeline.dropped_entries(), 2100U);
}

}  // namespace
}  // namespace baobab
