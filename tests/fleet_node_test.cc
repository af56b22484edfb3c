#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"
#include "libfleet/loop_runner.h"
#include "libfleet/peer_calls.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

/** Shard of the only cell of the pool. */
const ShardId kCell{1};

class FleetNodeTest : public testing::Test {
 public:
  static constexpr char kJob[] =
      R"({"payload":"x","steps":[{"count":3,"cpu_milli":1000,)"
      R"("estimate_ms":80}]})";

 protected:
  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.Divide("service", {kCell});
    for (int i = 0; i < 2; ++i) {
      addresses.push_back("127.0.0.1:" + std::to_string(FreePort()));
      nodes.push_back(std::make_unique<TestNode>(platform, addresses.back()));
    }
    loop.run_for(milliseconds(700));
  }

  void TearDown() override {
    // What is captured has the messages of failed checks too.
    const auto text = testing::internal::GetCapturedStdout();
    if (HasFailure()) {
      std::cout << text;
    }
  }

  HttpResponse Call(TestNode& node,
                    const std::string& method,
                    const std::string& target,
                    const std::string& body = "") {
    return CallNode(loop, node, method, target, body);
  }

  /** Submits a job as callers do: again if a busy owner refuses it. */
  HttpResponse Submit(TestNode& node, const std::string& job) {
    const auto limit = SteadyNow() + milliseconds(3000);
    auto answer = Call(node, "POST", "/jobs/queue/" + job, kJob);
    while (answer.status == 503 && SteadyNow() < limit) {
      loop.run_for(milliseconds(100));
      answer = Call(node, "POST", "/jobs/queue/" + job, kJob);
    }
    return answer;
  }

  /** The node that owns the queue's shard, and the other one. */
  TestNode& Owner() {
    const int shard = kCell.value();
    return *nodes[platform.members[addresses[0]].shards.contains(shard) ? 0
                                                                        : 1];
  }
  TestNode& Other() { return *nodes[&Owner() == nodes[0].get() ? 1 : 0]; }

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<TestNode>> nodes;
};

// Guards against jobs that can be submitted and queried only through the node
// that owns their shard.
TEST_F(FleetNodeTest, ServesJobsThroughAnyNode) {
  EXPECT_EQ(Call(Other(), "POST", "/jobs/queue/j1", kJob).status, 200);
  loop.run_for(milliseconds(400));
  for (auto* it : {&Owner(), &Other()}) {
    EXPECT_EQ(Call(*it, "GET", "/jobs/queue/j1").body,
              R"({"state":"completed"})");
    EXPECT_EQ(Call(*it, "GET", "/jobs/queue").body, R"({"pending":0})");
    EXPECT_EQ(Call(*it, "GET", "/jobs/queue/j2").status, 404);
  }
  EXPECT_EQ(platform.starts.size(), 3u);
}

// Guards against an accepted job that is lost when its owner stops, and against
// tasks that run twice after the takeover.
TEST_F(FleetNodeTest, JobSurvivesItsOwner) {
  auto& owner = Owner();
  auto& other = Other();
  EXPECT_EQ(Call(owner, "POST", "/jobs/queue/j1", kJob).status, 200);
  owner.node.Leave();
  loop.run_for(milliseconds(900));
  EXPECT_EQ(Call(other, "GET", "/jobs/queue/j1").body,
            R"({"state":"completed"})");
  for (const auto& [task, n] : platform.starts) {
    EXPECT_EQ(n, 1) << ToString(task);
  }
}

// Guards against shards that stay without an owner until the next renewal when
// a node leaves as planned.
TEST_F(FleetNodeTest, OthersTakeOverAtOnceFromALeavingNode) {
  auto& owner = Owner();
  auto& other = Other();
  platform.lifetime = std::chrono::seconds(9);
  // The nodes read the list of owners each 2 s.
  loop.run_for(milliseconds(1700));
  owner.node.Leave();
  loop.run_for(milliseconds(400));
  EXPECT_EQ(Call(other, "POST", "/jobs/queue/j1", kJob).status, 200);
}

// Guards against an unexpected error in one handler that ends the process, or
// leaves a shard without an owner.
TEST_F(FleetNodeTest, SurvivesAnErrorOfAHandler) {
  platform.throwing_starts = 1;
  EXPECT_EQ(Call(Other(), "POST", "/jobs/queue/j1", kJob).status, 200);
  EXPECT_NO_THROW(loop.run_for(milliseconds(2500)));
  EXPECT_EQ(Call(Other(), "GET", "/jobs/queue/j1").body,
            R"({"state":"completed"})");
}

// Guards against an owner that lost its connection to the store, was replaced,
// and still accepts jobs or answers that a job does not exist.
TEST_F(FleetNodeTest, DisconnectedNodeGivesNoDefiniteAnswer) {
  auto& owner = Owner();
  auto& other = Other();
  platform.cut_off.insert(addresses[&owner == nodes[0].get() ? 0 : 1]);
  loop.run_for(milliseconds(900));
  EXPECT_EQ(Call(other, "POST", "/jobs/queue/j1", kJob).status, 200);
  EXPECT_NE(Call(owner, "GET", "/jobs/queue/j1").status, 404);
  EXPECT_NE(Call(owner, "DELETE", "/jobs/queue/j1").status, 404);
}

struct OwnerCase {
  const char* name;
  /** The owner is cut off from the store and has been replaced. */
  bool replaced;
};

class FormerOwnerTest : public FleetNodeTest,
                        public testing::WithParamInterface<OwnerCase> {
 protected:
  /** Returns the address of the owner, after it was replaced if it is to be. */
  std::string OwnerOrFormerOwner() {
    auto owner = addresses[&Owner() == nodes[0].get() ? 0 : 1];
    if (GetParam().replaced) {
      platform.cut_off.insert(owner);
      loop.run_for(milliseconds(900));
    }
    return owner;
  }

  AsyncHttpClient client{loop};
  PeerCalls peers{client};
};

// Guards against orders that end the runs of a new owner, as the former one
// still reports the host as free and reserved.
TEST_P(FormerOwnerTest, ReportsNoHosts) {
  const auto owner = OwnerOrFormerOwner();
  HostPlan plan;
  plan.planner = FenceToken(platform.generation + 1);
  std::optional<bool> reported;
  peers.ApplyPlan(owner, kCell, plan, milliseconds(500),
                  [&](const tl::expected<PoolUsage, PeerFault>& usage) {
                    reported = usage.has_value();
                  });
  loop.run_for(milliseconds(300));
  EXPECT_EQ(reported, !GetParam().replaced);
}

// Guards against a job that its cell drops after a hand-over, as a former owner
// of the other cell still knows the job from an earlier stay.
TEST_P(FormerOwnerTest, TakesNoJob) {
  EXPECT_EQ(Submit(Owner(), "j1").status, 200);
  const auto owner = OwnerOrFormerOwner();
  std::optional<bool> taken;
  peers.OfferJob(owner, kCell, {JobId("j1"), 2, {}}, milliseconds(500),
                 [&](const tl::expected<bool, PeerFault>& answer) {
                   taken = answer.value_or(false);
                 });
  loop.run_for(milliseconds(300));
  EXPECT_EQ(taken, !GetParam().replaced);
}

INSTANTIATE_TEST_SUITE_P(Owners,
                         FormerOwnerTest,
                         testing::Values(OwnerCase{"Current", false},
                                         OwnerCase{"Former", true}),
                         [](const auto& it) { return it.param.name; });

// Guards against a node without the store that cannot tell who owns the shards
// now: in a recorded day its callers were refused for 9 s, "store-away" and
// "owner-unreachable", while another node served the pool.
TEST_F(FleetNodeTest, DisconnectedNodeFindsTheNewOwnerThroughOthers) {
  auto& owner = Owner();
  auto& other = Other();
  loop.run_for(milliseconds(1700));
  platform.cut_off.insert(addresses[&owner == nodes[0].get() ? 0 : 1]);
  loop.run_for(milliseconds(2500));
  EXPECT_EQ(Call(owner, "POST", "/jobs/queue/j2", kJob).status, 200);
  loop.run_for(milliseconds(500));
  for (auto* it : {&owner, &other}) {
    EXPECT_EQ(Call(*it, "GET", "/jobs/queue/j2").body,
              R"({"state":"completed"})");
  }
  EXPECT_EQ(Call(owner, "DELETE", "/jobs/queue/j3").status, 404);
  for (const auto& [task, n] : platform.starts) {
    EXPECT_EQ(n, 1) << ToString(task);
  }
}

// Guards against a cut-off owner without other nodes that accepts what it
// cannot store, or says for certain that a job does not exist.
TEST_F(FleetNodeTest, CutOffNodeAloneAcceptsAndDeniesNothing) {
  auto& owner = Owner();
  const bool first = &owner == nodes[0].get();
  platform.cut_off.insert(addresses[first ? 0 : 1]);
  nodes[first ? 1 : 0].reset();
  loop.run_for(milliseconds(900));
  EXPECT_NE(Call(owner, "GET", "/jobs/queue/j1").status, 404);
  EXPECT_NE(Call(owner, "DELETE", "/jobs/queue/j1").status, 404);
  EXPECT_NE(Call(owner, "POST", "/jobs/queue/j2", kJob).status, 200);
}

struct RestartCase {
  const char* name;
  /** Jobs that are done before the outage; each takes several records. */
  int jobs;
};

class RestartInOutageTest : public FleetNodeTest,
                            public testing::WithParamInterface<RestartCase> {};

// Guards against a process that starts while the store is away, takes its
// former process's membership for its own, and writes with the token of that
// process: the store then refuses its records, or takes them for repeated ones
// and drops them, so that accepted jobs are lost.
TEST_P(RestartInOutageTest, KeepsWhatIsAcceptedAfterwards) {
  for (int i = 0; i < GetParam().jobs; ++i) {
    ASSERT_EQ(Submit(Owner(), "early" + std::to_string(i)).status, 200);
    loop.run_for(milliseconds(250));
  }
  const int first = &Owner() == nodes[0].get() ? 0 : 1;
  platform.cut_off.insert(addresses.begin(), addresses.end());
  platform.run_time = std::chrono::seconds(60);
  platform.lifetime = std::chrono::seconds(9);
  nodes[first].reset();
  nodes[first] = std::make_unique<TestNode>(platform, addresses[first]);
  loop.run_for(milliseconds(600));
  platform.EndOutage();
  loop.run_for(milliseconds(3000));

  ASSERT_EQ(Submit(*nodes[0], "late").status, 200);
  loop.run_for(milliseconds(200));
  nodes[&Owner() == nodes[0].get() ? 0 : 1]->node.Leave();
  loop.run_for(milliseconds(1500));
  for (const auto& it : nodes) {
    EXPECT_EQ(Call(*it, "GET", "/jobs/queue/late").status, 200);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Records,
    RestartInOutageTest,
    testing::Values(RestartCase{"FewerThanTheStoreRecognizes", 1},
                    RestartCase{"Many", 4}),
    [](const auto& it) { return it.param.name; });

// Guards against an owner that starts again with the token of which the store
// has refused the records, and then is refused for ever.
TEST_F(FleetNodeTest, OwnerWhoseRecordsAreRefusedGetsANewToken) {
  platform.lifetime = std::chrono::seconds(9);
  const auto token = platform.generation;
  platform.producers[{kCell, ShardWriter::kJobs}] = {token, 100};
  Call(Other(), "POST", "/jobs/queue/j1", kJob);
  loop.run_for(milliseconds(3000));
  EXPECT_EQ(Submit(Other(), "j2").status, 200);
  const auto& producer = platform.producers[{kCell, ShardWriter::kJobs}];
  EXPECT_GT(producer.token, token);
}

// Guards against a node that owns the planner's shard and plans nothing, as the
// store has refused the planner's records.
TEST_F(FleetNodeTest, PlannerWhoseRecordsAreRefusedIsReplaced) {
  const int planner = kPlannerShard.value();
  const int first =
      platform.members[addresses[0]].shards.contains(planner) ? 0 : 1;
  const auto refused_up_to = platform.generation + 2;
  platform.producers[{kPlannerShard, ShardWriter::kPlanner}] = {refused_up_to,
                                                                std::nullopt};
  nodes[first]->node.Leave();
  loop.run_for(milliseconds(5000));
  const auto& producer =
      platform.producers[{kPlannerShard, ShardWriter::kPlanner}];
  EXPECT_GT(producer.token, refused_up_to);
}

// Guards against an owner that goes on with what it knows of a shard although
// another node has owned the shard meanwhile, and says that a job which that
// node accepted does not exist.
TEST_F(FleetNodeTest, OwnerWhoseMembershipExpiredLoadsItsShardsAgain) {
  const int first = &Owner() == nodes[0].get() ? 0 : 1;
  platform.cut_off.insert(addresses[first]);
  loop.run_for(milliseconds(900));
  ASSERT_EQ(Submit(*nodes[1 - first], "j1").status, 200);
  nodes[1 - first].reset();
  loop.run_for(milliseconds(500));
  platform.cut_off.clear();
  loop.run_for(milliseconds(1500));
  EXPECT_EQ(Call(*nodes[first], "GET", "/jobs/queue/j1").status, 200);
}

// Guards against callers that wait although their job reached no owner; in a
// recorded day they waited 2.2 s and then got 504.
TEST_F(FleetNodeTest, RefusesQuicklyIfNoOwnerIsReached) {
  auto& owner = Owner();
  auto& other = Other();
  platform.cut_off.insert(addresses.begin(), addresses.end());
  owner.node.Leave();
  loop.run_for(milliseconds(50));
  const Time begin = SteadyNow();
  const auto answer = Call(other, "POST", "/jobs/queue/j1", kJob);
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  EXPECT_LT(SteadyNow() - begin, milliseconds(1000));
}

// Guards against an exception that ends the process, or the handlers after it.
TEST(RunLoopTest, ExceptionEndsOnlyItsHandler) {
  boost::asio::io_context loop;
  bool handled = false;
  boost::asio::post(loop, [] { throw std::runtime_error("malformed"); });
  boost::asio::post(loop, [&] { handled = true; });
  std::vector<std::string> faults;
  RunLoop(loop, [&](const char* what) { faults.emplace_back(what); });
  EXPECT_TRUE(handled);
  EXPECT_EQ(faults, std::vector<std::string>{"malformed"});
}

struct BadCall {
  const char* name;
  const char* method;
  const char* target;
  const char* body;
  int status;
};

class BadCallTest : public FleetNodeTest,
                    public testing::WithParamInterface<BadCall> {};

// Guards against invalid requests that get no error message.
TEST_P(BadCallTest, GetsAnErrorMessage) {
  const auto& call = GetParam();
  const auto answer = Call(*nodes[0], call.method, call.target, call.body);
  EXPECT_EQ(answer.status, call.status);
  EXPECT_NE(answer.body.find("error"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Calls,
    BadCallTest,
    testing::Values(BadCall{"NoQueue", "GET", "/jobs/none/j1", "", 404},
                    BadCall{"NoJson", "POST", "/jobs/queue/j1", "{", 400},
                    BadCall{"NoSteps", "POST", "/jobs/queue/j1",
                            R"({"steps":[]})", 400},
                    BadCall{"ManyTasks", "POST", "/jobs/queue/j1",
                            R"({"steps":[{"count":99999999}]})", 400},
                    BadCall{"BadId", "POST", "/jobs/queue/j.1", "{}", 400},
                    BadCall{"Method", "PATCH", "/jobs/queue/j1", "", 405},
                    BadCall{"Path", "GET", "/", "", 404}),
    [](const auto& it) { return it.param.name; });

TEST_F(FleetNodeTest, ShowsStatusAndMetrics) {
  Call(*nodes[0], "POST", "/jobs/queue/j1", kJob);
  EXPECT_NE(Call(*nodes[0], "GET", "/status").body.find("ready yes"),
            std::string::npos);
  EXPECT_NE(Call(*nodes[0], "GET", "/metrics").body.find("submit_seconds"),
            std::string::npos);
}

// Guards against an owner that is behind with its shards and still accepts
// callers: it answers them late and by an old configuration.
TEST_F(FleetNodeTest, BusyOwnerIsNotReady) {
  ASSERT_TRUE(Owner().node.IsReady());
  boost::asio::post(loop,
                    [] { std::this_thread::sleep_for(milliseconds(300)); });
  loop.run_for(milliseconds(500));
  EXPECT_FALSE(Owner().node.IsReady());
  loop.run_for(milliseconds(3000));
  EXPECT_TRUE(Owner().node.IsReady());
}

// Guards against small nodes that own pools while large ones are available:
// owners with 0.12 of a core served 0.40 of a test day, owners with 0.5 of a
// core 0.95. Also guards against shards without an owner once the large nodes
// have left.
TEST(UnevenNodesTest, SmallNodesOwnOnlyWithoutLargeOnes) {
  testing::internal::CaptureStdout();
  boost::asio::io_context loop;
  FakePlatform platform(loop);
  std::vector<std::string> addresses;
  for (int i = 0; i < 3; ++i) {
    addresses.push_back("127.0.0.1:" + std::to_string(FreePort()));
  }
  TestNode small(platform, addresses[0], 120);
  TestNode other(platform, addresses[1], 130);
  auto large = std::make_unique<TestNode>(platform, addresses[2], 500);
  loop.run_for(milliseconds(2500));
  EXPECT_EQ(platform.members[addresses[2]].shards.size(),
            static_cast<std::size_t>(FakePlatform::kShards));
  large->node.Leave();
  loop.run_for(milliseconds(3500));
  EXPECT_EQ(platform.members[addresses[0]].shards.size(), 2u);
  EXPECT_EQ(platform.members[addresses[1]].shards.size(), 2u);
  testing::internal::GetCapturedStdout();
}

// A pool in two cells with an owner each. Guards against jobs that only the
// node of their cell knows, a count of pending jobs that leaves out a cell, and
// workers that two owners or none use.
TEST(DividedPoolTest, ServesJobsOfAllCellsThroughAnyNode) {
  testing::internal::CaptureStdout();
  boost::asio::io_context loop;
  FakePlatform platform(loop);
  platform.AddWorkers(16);
  platform.Divide("service", {ShardId(1), ShardId(2)});
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (int i = 0; i < 2; ++i) {
    nodes.push_back(std::make_unique<TestNode>(
        platform, "127.0.0.1:" + std::to_string(FreePort())));
  }
  loop.run_for(milliseconds(900));
  std::set<ShardId> cells;
  const auto division = DecodeDivision(platform.division);
  for (int i = 0; i < 8; ++i) {
    const auto id = "j" + std::to_string(i);
    cells.insert(*division.CellOfJob(ServiceId("service"), JobId(id)));
    EXPECT_EQ(CallNode(loop, *nodes[i % 2], "POST", "/jobs/queue/" + id,
                       FleetNodeTest::kJob)
                  .status,
              200);
  }
  EXPECT_EQ(cells.size(), 2u);
  loop.run_for(milliseconds(600));
  for (const auto& node : nodes) {
    for (int i = 0; i < 8; ++i) {
      EXPECT_EQ(
          CallNode(loop, *node, "GET", "/jobs/queue/j" + std::to_string(i))
              .body,
          R"({"state":"completed"})");
    }
    EXPECT_EQ(CallNode(loop, *node, "GET", "/jobs/queue").body,
              R"({"pending":0})");
  }
  for (const auto& [task, n] : platform.starts) {
    EXPECT_EQ(n, 1) << ToString(task);
  }
  for (const auto& [worker, sim] : platform.sim_workers) {
    EXPECT_EQ(sim.tokens.size(), 1u) << worker.value();
  }
  EXPECT_EQ(platform.sim_workers.size(), 19u);
  testing::internal::GetCapturedStdout();
}

/** The record of the cells of the pool, and that of the home of the queue. */
constexpr std::size_t kDivisionRecords = 2;

// Guards against a fleet whose pools nobody divides, against two nodes that
// divide a pool differently, and against jobs that are lost when all nodes
// restart.
TEST(DividedPoolTest, PlannerDividesNewPoolsOnce) {
  testing::internal::CaptureStdout();
  boost::asio::io_context loop;
  FakePlatform platform(loop);
  platform.AddWorkers(61);
  std::vector<std::unique_ptr<TestNode>> nodes;
  const auto start = [&] {
    nodes.clear();
    for (int i = 0; i < 2; ++i) {
      nodes.push_back(std::make_unique<TestNode>(
          platform, "127.0.0.1:" + std::to_string(FreePort()), 500));
    }
  };
  start();
  EXPECT_EQ(CallNode(loop, *nodes[0], "POST", "/jobs/queue/early",
                     FleetNodeTest::kJob)
                .status,
            503);
  loop.run_for(milliseconds(2500));
  ASSERT_EQ(platform.division.size(), kDivisionRecords);
  EXPECT_EQ(
      DecodeDivision(platform.division).CellsOf(ServiceId("service")).size(),
      2u);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(CallNode(loop, *nodes[0], "POST",
                       "/jobs/queue/j" + std::to_string(i), FleetNodeTest::kJob)
                  .status,
              200);
  }
  start();
  loop.run_for(milliseconds(2500));
  EXPECT_EQ(platform.division.size(), kDivisionRecords);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(
        CallNode(loop, *nodes[1], "GET", "/jobs/queue/j" + std::to_string(i))
            .status,
        200);
  }
  testing::internal::GetCapturedStdout();
}

// Guards against log lines on single runs that crowd out lines on jobs, and
// against a log volume that grows with the load.
TEST(DecisionLogTest, RunLinesHaveTheirOwnLimit) {
  testing::internal::CaptureStdout();
  {
    Metrics metrics;
    DecisionLog log("test", metrics);
    for (int i = 0; i < 5000; ++i) {
      log.Write("start-run", "job", "", LineKind::kRun);
    }
    for (int i = 0; i < 100; ++i) {
      log.Write("accept-job", "job", "");
    }
    log.Flush();
  }
  const auto text = testing::internal::GetCapturedStdout();
  const auto count = [&](const std::string& word) {
    int n = 0;
    for (auto at = text.find(word); at != std::string::npos;
         at = text.find(word, at + 1)) {
      ++n;
    }
    return n;
  };
  // The loop may span two seconds, each with its own limit.
  EXPECT_GE(count("event=start-run"), 300);
  EXPECT_LE(count("event=start-run"), 600);
  EXPECT_EQ(count("event=accept-job"), 100);
}

struct EligibilityCase {
  const char* name;
  int node_milli_cores;
  /** CPU shares of the current owners in thousandths of a core. */
  std::vector<int> owners;
  bool eligible;
};

class OwnershipEligibilityTest
    : public testing::TestWithParam<EligibilityCase> {};

TEST_P(OwnershipEligibilityTest, YieldsToMuchLargerNodes) {
  const auto& it = GetParam();
  OwnershipEligibility eligibility(it.node_milli_cores);
  std::map<ShardId, OwnerNode> owners;
  for (std::size_t i = 0; i < it.owners.size(); ++i) {
    owners[ShardId(static_cast<int>(i))] = {"peer", it.owners[i]};
  }
  eligibility.Observe(owners);
  EXPECT_EQ(eligibility.IsEligible(), it.eligible);
}

INSTANTIATE_TEST_SUITE_P(
    Nodes,
    OwnershipEligibilityTest,
    testing::Values(EligibilityCase{"NoOwners", 120, {}, true},
                    EligibilityCase{"Alike", 250, {250, 250, 250}, true},
                    EligibilityCase{"SmallBesideLarge", 120, {120, 500}, false},
                    EligibilityCase{"LargeBesideSmall", 500, {120, 120}, true},
                    EligibilityCase{"SizeUnknown", 0, {500}, true},
                    EligibilityCase{"SizeOfOthersUnknown", 120, {0, 0}, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace baobab
