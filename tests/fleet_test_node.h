#ifndef TESTS_FLEET_TEST_NODE_H_
#define TESTS_FLEET_TEST_NODE_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "fleet_fakes.h"

namespace baobab {

/** A node with its interfaces to the platform, on the event loop of the
 * test. */
struct TestNode {
  TestNode(FakePlatform& platform,
           const std::string& address,
           int milli_cores = 0)
      : ports(platform, address),
        client(platform.loop),
        log("test", metrics),
        node({platform.loop, client, ports, ports, ports, ports, log},
             Config(platform, address, milli_cores)),
        jobs(node, metrics) {
    platform.milli_cores[address] = milli_cores;
    node.Start();
  }

  static FleetNodeConfig Config(const FakePlatform& platform,
                                const std::string& address,
                                int milli_cores) {
    FleetNodeConfig config;
    config.milli_cores = milli_cores;
    config.node = NodeId(address);
    config.peer_address = address;
    config.tuning.shards = FakePlatform::kShards;
    config.tuning.max_record_bytes = platform.max_record_bytes;
    config.tuning.max_request_bytes = platform.max_request_bytes;
    return config;
  }

  FakePorts ports;
  AsyncHttpClient client;
  Metrics metrics;
  DecisionLog log;
  FleetNode node;
  JobInterface jobs;
};

/** Calls the interface to jobs of a node and runs the loop until it answers. */
inline HttpResponse CallNode(boost::asio::io_context& loop,
                             TestNode& node,
                             const std::string& method,
                             const std::string& target,
                             const std::string& body = "") {
  std::optional<HttpResponse> got;
  node.jobs.Serve({method, target, {}, body},
                  [&](HttpResponse answer) { got = std::move(answer); });
  const auto limit = SteadyNow() + std::chrono::milliseconds(4000);
  while (!got && SteadyNow() < limit) {
    loop.run_one_for(std::chrono::milliseconds(50));
  }
  return got.value_or(HttpResponse{0, {}, "no answer"});
}

}  // namespace baobab

#endif  // TESTS_FLEET_TEST_NODE_H_
