#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

struct MoveCase {
  const char* name;
  /** Services to which the queue is sent in turn; none while it is away. */
  std::vector<std::optional<std::string>> services;
  /** All nodes start again after the moves. */
  bool restart = false;
};

void PrintTo(const MoveCase& it, std::ostream* os) {
  *os << it.name;
}

/** Two nodes, and a pool for each of three services. */
class ThreeServicesTest : public testing::Test {
 protected:
  static constexpr int kNodes = 2;
  static constexpr char kJob[] =
      R"({"payload":"x","steps":[{"count":3,"cpu_milli":1000,)"
      R"("estimate_ms":5000}]})";

  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.run_time = std::chrono::seconds(20);
    int shard = 1;
    for (const char* it : {"service", "other", "third"}) {
      platform.Divide(it, {ShardId(shard++)});
    }
    platform.AddWorkers(3, "other");
    platform.AddWorkers(3, "third");
    StartNodes();
  }

  void TearDown() override {
    // What is captured has the messages of failed checks too.
    const auto text = testing::internal::GetCapturedStdout();
    if (HasFailure()) {
      std::cout << text;
    }
  }

  void StartNodes() {
    nodes.clear();
    platform.members.clear();
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<TestNode>(
          platform, "127.0.0.1:" + std::to_string(FreePort())));
    }
    loop.run_for(milliseconds(900));
  }

  int Call(int node, const std::string& method, const std::string& job) {
    const auto limit = SteadyNow() + milliseconds(3000);
    int status = 503;
    while (status == 503 && SteadyNow() < limit) {
      status = CallNode(loop, *nodes[static_cast<std::size_t>(node)], method,
                        "/jobs/queue/" + job, method == "POST" ? kJob : "")
                   .status;
      loop.run_for(milliseconds(50));
    }
    return status;
  }

  int Starts(const std::string& job) {
    int n = 0;
    for (const auto& [task, starts] : platform.starts) {
      n += task.job == JobId(job) ? starts : 0;
    }
    return n;
  }

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  std::vector<std::unique_ptr<TestNode>> nodes;
};

class MovedQueueTest : public ThreeServicesTest,
                       public testing::WithParamInterface<MoveCase> {};

// Jobs are at work while the operators send their queue to other services.
// Guards against a repeated request that starts its job a second time, and
// against an accepted job that is said not to exist.
TEST_P(MovedQueueTest, JobIsFoundWhereItWasAccepted) {
  ASSERT_EQ(Call(0, "POST", "job0"), 200);
  ASSERT_EQ(Call(1, "POST", "job1"), 200);
  std::vector<std::string> jobs = {"job0", "job1"};
  for (const auto& it : GetParam().services) {
    platform.SendQueueTo(it);
    loop.run_for(milliseconds(300));
    if (it) {
      jobs.push_back("job" + std::to_string(jobs.size()));
      ASSERT_EQ(Call(0, "POST", jobs.back()), 200) << *it;
    }
  }
  loop.run_for(milliseconds(300));
  for (const auto& it : jobs) {
    ASSERT_EQ(Starts(it), 3) << it;
  }
  if (GetParam().restart) {
    StartNodes();
  }
  for (const auto& it : jobs) {
    EXPECT_EQ(Call(1, "GET", it), 200) << it;
    EXPECT_EQ(Call(0, "POST", it), 200) << it;
  }
  loop.run_for(milliseconds(300));
  for (const auto& it : jobs) {
    EXPECT_EQ(Starts(it), 3) << it;
    EXPECT_EQ(Call(0, "DELETE", it), 200) << it;
  }
  loop.run_for(milliseconds(300));
  int running = 0;
  for (const auto& [id, worker] : platform.sim_workers) {
    running += static_cast<int>(worker.running.size());
  }
  EXPECT_EQ(running, 0);
}

// Guards against a count that leaves out the jobs which were accepted before
// the queue was sent to another service.
TEST_F(ThreeServicesTest, PendingCountsJobsOfAllServices) {
  ASSERT_EQ(CallNode(loop, *nodes[0], "POST", "/jobs/queue/job0",
                     R"({"steps":[{"count":1,"cpu_milli":1}],"repeats":1,)"
                     R"("first_due_ms":9999999999999,"interval_ms":1000})")
                .status,
            200);
  platform.SendQueueTo("other");
  loop.run_for(milliseconds(300));
  EXPECT_NE(CallNode(loop, *nodes[1], "GET", "/jobs/queue")
                .body.find("\"pending\":1"),
            std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Moves,
    MovedQueueTest,
    testing::Values(
        MoveCase{"Elsewhere", {"other"}},
        MoveCase{"AwayThenElsewhere", {std::nullopt, "other"}},
        MoveCase{"ElsewhereAndBack", {"other", "service"}},
        MoveCase{"ElsewhereTwice", {"other", "third"}},
        MoveCase{"BeforeARestart", {"other", std::nullopt, "third"}, true}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace baobab
