#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "fleet_fakes.h"
#include "free_port.h"

namespace {

/** Time for which the machine of the test counts as suspended. The boot clock
 * counts it, the monotonic clock doesn't. */
time_t suspended_seconds = 0;

}  // namespace

// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  if (result == 0 && clock == CLOCK_BOOTTIME) {
    now->tv_sec += suspended_seconds;
  }
  return result;
}

namespace baobab {
namespace {

using std::chrono::milliseconds;

/** A node that owns a shard with a long-running job, is cut off from the store,
 * and is then suspended for longer than its membership lasts. */
class SuspendedNodeTest : public testing::Test {
 protected:
  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.Divide("service", {ShardId(1)});
    platform.run_time = std::chrono::seconds(60);
    FleetNodeConfig config;
    config.node = NodeId("n1");
    config.peer_address = address;
    config.tuning.shards = FakePlatform::kShards;
    node.emplace(
        FleetNode::Ports{loop, client, ports, ports, ports, ports, log},
        config);
    jobs.emplace(*node, metrics);
    node->Start();
    loop.run_for(milliseconds(700));
    ASSERT_EQ(Call("POST", "/jobs/queue/j1",
                   R"({"payload":"x","steps":[{"count":1,"cpu_milli":1000,)"
                   R"("estimate_ms":80,"lasting":true}]})")
                  .status,
              200);
    loop.run_for(milliseconds(100));
    ASSERT_FALSE(platform.starts.empty());
    platform.cut_off.insert(address);
    suspended_seconds += 5;
  }

  void TearDown() override { testing::internal::GetCapturedStdout(); }

  HttpResponse Call(const std::string& method,
                    const std::string& target,
                    const std::string& body = "") {
    std::optional<HttpResponse> got;
    jobs->Serve({method, target, {}, body},
                [&](HttpResponse answer) { got = std::move(answer); });
    const auto limit = std::chrono::steady_clock::now() + milliseconds(4000);
    while (!got && std::chrono::steady_clock::now() < limit) {
      loop.run_one_for(milliseconds(50));
    }
    return got.value_or(HttpResponse{0, {}, "no answer"});
  }

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  const std::string address = "127.0.0.1:" + std::to_string(FreePort());
  FakePorts ports{platform, address};
  AsyncHttpClient client{loop};
  Metrics metrics;
  DecisionLog log{"test", metrics};
  std::optional<FleetNode> node;
  std::optional<JobInterface> jobs;
};

// Guards against a definite negative answer of a node that another may have
// replaced while it was suspended.
TEST_F(SuspendedNodeTest, GivesNoDefiniteAnswer) {
  EXPECT_EQ(Call("GET", "/jobs/queue/unknown").status, 503);
}

// Guards against orders of any kind that a node sends after its membership
// expired while it was suspended.
TEST_F(SuspendedNodeTest, SendsNoOrders) {
  const auto starts = platform.starts;
  platform.DrainWorkers();
  loop.run_for(milliseconds(700));
  EXPECT_EQ(platform.starts, starts);
  EXPECT_EQ(platform.stops, 0);
}

}  // namespace
}  // namespace baobab
