#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Age of the last renewal at which an owner stops giving orders. */
constexpr Duration kOrderLimit = milliseconds(4000);

struct StoreFault {
  const char* name;
  /** Time until a call to the store fails. */
  Duration fails_after;
  /** The other node reaches the store, and takes over. */
  bool other_reaches_store;
};

void PrintTo(const StoreFault& it, std::ostream* os) {
  *os << it.name;
}

/** Two nodes, one of which owns the shard of a job whose tasks run on. */
class HangingStoreTest : public testing::TestWithParam<StoreFault> {
 protected:
  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.Divide("service", {kCell});
    platform.run_time = seconds(7);
    for (int i = 0; i < 2; ++i) {
      addresses.push_back("127.0.0.1:" + std::to_string(FreePort()));
      nodes.push_back(std::make_unique<TestNode>(platform, addresses.back()));
    }
    loop.run_for(milliseconds(700));
  }

  void TearDown() override {
    const auto text = testing::internal::GetCapturedStdout();
    if (HasFailure()) {
      std::cout << text;
    }
  }

  static constexpr char kJob[] =
      R"({"payload":"x","steps":[{"count":3,"cpu_milli":1000,)"
      R"("estimate_ms":7000}]})";
  const ShardId kCell{1};

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<TestNode>> nodes;
};

// Guards against an owner that extends leases, or gives other orders, after
// another node may own its shards, because a call to a store that hangs has not
// ended; and against tasks that are started twice after it.
TEST_P(HangingStoreTest, OwnerStopsItsOrdersInTime) {
  const std::size_t first =
      platform.members[addresses[0]].shards.contains(kCell.value()) ? 0 : 1;
  const auto& owner = addresses[first];
  ASSERT_EQ(
      CallNode(loop, *nodes[first], "POST", "/jobs/queue/j1", kJob).status,
      200);
  loop.run_for(milliseconds(300));
  ASSERT_EQ(platform.starts.size(), 3u);
  platform.failure_delay = GetParam().fails_after;
  platform.cut_off.insert(owner);
  if (!GetParam().other_reaches_store) {
    platform.cut_off.insert(addresses[1 - first]);
  }
  loop.run_for(kOrderLimit + milliseconds(1000));
  EXPECT_LT(platform.ordered_at[owner] - platform.joined_at[owner],
            kOrderLimit + milliseconds(50));

  platform.failure_delay = milliseconds(200);
  platform.cut_off.clear();
  loop.run_for(milliseconds(7000));
  EXPECT_EQ(CallNode(loop, *nodes[0], "GET", "/jobs/queue/j1").body,
            R"({"state":"completed"})");
  for (const auto& [task, n] : platform.starts) {
    EXPECT_EQ(n, 1) << ToString(task);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Stores,
    HangingStoreTest,
    testing::Values(StoreFault{"HangsForAll", milliseconds(700), false},
                    StoreFault{"HangsForTheOwner", milliseconds(700), true},
                    StoreFault{"LongTimeoutForTheOwner", seconds(6), true}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
