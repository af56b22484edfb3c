#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

constexpr char kJob[] =
    R"({"payload":"x","steps":[{"count":3,"cpu_milli":1000,)"
    R"("estimate_ms":80}]})";

/** Starts calls without waiting for their answers. */
void Begin(TestNode& node) {
  for (int i = 0; i < 4; ++i) {
    const auto target = "/jobs/queue/j" + std::to_string(i);
    node.jobs.Serve({"POST", target, {}, kJob}, [](const auto&) {});
    node.jobs.Serve({"GET", target, {}, ""}, [](const auto&) {});
    node.jobs.Serve({"DELETE", target, {}, ""}, [](const auto&) {});
  }
  node.jobs.Serve({"GET", "/jobs/queue", {}, ""}, [](const auto&) {});
}

struct TeardownCase {
  const char* name;
  /** What happens before the first of two nodes is destroyed. */
  void (*prepare)(FakePlatform& platform, TestNode& node, TestNode& other);
  /** The pool has a cell on each node from the beginning. */
  bool divided = true;
};

void PrintTo(const TeardownCase& it, std::ostream* out) {
  *out << it.name;
}

class NodeTeardownTest
    : public testing::TestWithParam<std::tuple<TeardownCase, int>> {};

// Guards against callbacks of a destroyed node that run while the loop goes on.
// Needs a build with AddressSanitizer to fail each time.
TEST_P(NodeTeardownTest, DestroyedNodeGetsNoCallback) {
  const auto& [teardown, delay_ms] = GetParam();
  testing::internal::CaptureStdout();
  boost::asio::io_context loop;
  FakePlatform platform(loop);
  if (teardown.divided) {
    platform.Divide("service", {ShardId(0), ShardId(1)});
  }
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (int i = 0; i < 2; ++i) {
    nodes.push_back(std::make_unique<TestNode>(
        platform, "127.0.0.1:" + std::to_string(FreePort())));
  }
  loop.run_for(milliseconds(700));
  teardown.prepare(platform, *nodes[0], *nodes[1]);
  loop.run_for(milliseconds(delay_ms));
  nodes[0].reset();
  loop.run_for(milliseconds(900));
  nodes.clear();
  loop.run_for(milliseconds(300));
  testing::internal::GetCapturedStdout();
}

INSTANTIATE_TEST_SUITE_P(
    Nodes,
    NodeTeardownTest,
    testing::Combine(
        testing::Values(
            TeardownCase{"Idle", [](auto&, auto&, auto&) {}},
            TeardownCase{"Undivided", [](auto&, auto&, auto&) {}, false},
            TeardownCase{"Calls",
                         [](auto&, auto& node, auto&) { Begin(node); }},
            TeardownCase{"CallsOfOther",
                         [](auto&, auto&, auto& other) { Begin(other); }},
            TeardownCase{"CutOff",
                         [](auto& platform, auto& node, auto& other) {
                           for (const auto& [name, member] : platform.members) {
                             platform.cut_off.insert(name);
                           }
                           Begin(node);
                           Begin(other);
                         }},
            TeardownCase{"Leaves",
                         [](auto&, auto& node, auto&) {
                           Begin(node);
                           node.node.Leave();
                         }},
            TeardownCase{"OtherLeaves",
                         [](auto&, auto& node, auto& other) {
                           Begin(node);
                           other.node.Leave();
                         }},
            TeardownCase{"ShardFails",
                         [](auto& platform, auto& node, auto&) {
                           platform.throwing_starts = 2;
                           Begin(node);
                         }}),
        testing::Values(0, 3)),
    [](const auto& it) {
      return std::get<0>(it.param).name +
             std::to_string(std::get<1>(it.param)) + "ms";
    });

}  // namespace
}  // namespace baobab
