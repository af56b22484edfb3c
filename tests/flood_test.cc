#include "libbench/flood.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

struct FloodTestCase {
  bool flood_urgent_queue;
  bool even_spread;
};

class FloodTest : public testing::TestWithParam<FloodTestCase> {};

// Guards against a flooded queue that takes the guaranteed shares of others,
// delays urgent starts or overloads minions.
TEST_P(FloodTest, OthersKeepTheirShareAtHundredTimesTheMean) {
  FloodCase flood;
  flood.flood_urgent_queue = GetParam().flood_urgent_queue;
  flood.even_spread = GetParam().even_spread;
  flood.flood_factor = 100;
  flood.length = std::chrono::seconds(5);
  const FloodResult result = RunFlood(flood);
  EXPECT_GE(result.WorstUnfloodedGoodput(), 0.95);
  EXPECT_LE(result.WorstUrgentStart(), std::chrono::milliseconds(7300));
  EXPECT_EQ(result.overruns, 0);
  EXPECT_EQ(result.violations, 0);
  EXPECT_LE(result.backlog_peak, NodeConfig().backlog_bytes);
  EXPECT_GT(result.starts, 1000);
}

INSTANTIATE_TEST_SUITE_P(Floods,
                         FloodTest,
                         testing::Values(FloodTestCase{false, true},
                                         FloodTestCase{false, false},
                                         FloodTestCase{true, true},
                                         FloodTestCase{true, false}));

// Guards against a measurement that cannot fail: FIFO must miss the targets.
TEST(FloodTest, FifoMissesTheTargets) {
  FloodCase flood;
  flood.policy = FloodPolicy::kFifo;
  flood.flood_factor = 20;
  flood.length = std::chrono::seconds(5);
  const FloodResult result = RunFlood(flood);
  EXPECT_LT(result.WorstUnfloodedGoodput(), 0.5);
  EXPECT_GT(result.overruns, 0);
}

}  // namespace
}  // namespace baobab
