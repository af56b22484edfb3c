#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fleet_test_node.h"
#include "free_port.h"
#include "libfleet/peer_calls.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Shard of the only cell of the pool. */
const ShardId kCell{1};

/** How a shard leaves its owner and comes back between two renewals of the
 * owner's membership, and what is under way then. */
struct ReassignCase {
  const char* name;
  /** The job that the other node accepts meanwhile, or an empty text. */
  const char* accepted;
  /** The owner has a task at work. */
  bool at_work;
  /** The owner has a task that waits for room. */
  bool waits;
  /** The job that the other node cancels meanwhile, or an empty text. */
  const char* cancelled;
  /** Also the shard of the planner is reassigned. */
  bool planner;
  /** The store states the end of the shard in its answers. */
  bool states_end;
  /** Time until the store answers the writes of the owner that has the shard
   * back. */
  int write_ms;
};

void PrintTo(const ReassignCase& it, std::ostream* out) {
  *out << it.name;
}

/** Two nodes that renew their memberships when the test asks for it. */
class ReassignedShardTest : public testing::Test {
 protected:
  void SetUp() override {
    testing::internal::CaptureStdout();
    platform.Divide("service", {kCell});
    platform.run_time = milliseconds(1500);
    for (int i = 0; i < 2; ++i) {
      addresses.push_back("127.0.0.1:" + std::to_string(FreePort()));
      nodes.push_back(std::make_unique<TestNode>(platform, addresses.back()));
    }
    loop.run_for(milliseconds(1500));
    // The next renewals are those that the test asks for.
    platform.lifetime = seconds(30);
    loop.run_for(milliseconds(200));
  }

  void TearDown() override {
    const auto text = testing::internal::GetCapturedStdout();
    if (HasFailure()) {
      std::cout << text;
    }
  }

  std::size_t OwnerIndex() {
    return platform.members[addresses[0]].shards.contains(kCell.value()) ? 0
                                                                         : 1;
  }

  void Renew(std::size_t node) {
    PeerCalls(nodes[1 - node]->client).NotifyRebalanced(addresses[node]);
    loop.run_for(milliseconds(60));
  }

  HttpResponse Submit(std::size_t node, const std::string& job, int cores) {
    return CallNode(loop, *nodes[node], "POST", "/jobs/queue/" + job,
                    R"({"payload":"x","steps":[{"count":1,"cpu_milli":)" +
                        std::to_string(cores * 1000) +
                        R"(,"estimate_ms":1500}]})");
  }

  int StatusAt(std::size_t node, const std::string& job) {
    return CallNode(loop, *nodes[node], "GET", "/jobs/queue/" + job).status;
  }

  bool Completes(std::size_t node, const std::string& job) {
    const auto limit = SteadyNow() + seconds(8);
    while (SteadyNow() < limit) {
      if (CallNode(loop, *nodes[node], "GET", "/jobs/queue/" + job).body ==
          R"({"state":"completed"})") {
        return true;
      }
      loop.run_for(milliseconds(50));
    }
    return false;
  }

  boost::asio::io_context loop;
  FakePlatform platform{loop};
  std::vector<std::string> addresses;
  std::vector<std::unique_ptr<TestNode>> nodes;
};

class ReassignCaseTest : public ReassignedShardTest,
                         public testing::WithParamInterface<ReassignCase> {};

// Guards against an owner that gets its shard back without having seen that
// another node had it, and then answers, and orders, from what it knew before:
// an accepted job is unknown and never runs, a cancelled one goes on.
TEST_P(ReassignCaseTest, OwnerKnowsWhatTheOtherNodeStored) {
  const auto& it = GetParam();
  platform.states_end = it.states_end;
  const auto owner = OwnerIndex();
  const auto other = 1 - owner;
  if (it.at_work) {
    ASSERT_EQ(Submit(owner, "at-work", 60).status, 200);
    loop.run_for(milliseconds(100));
  }
  if (it.waits) {
    for (const char* job : {"fills-1", "fills-2", "fills-3", "waits"}) {
      ASSERT_EQ(Submit(owner, job, 60).status, 200);
    }
    loop.run_for(milliseconds(100));
  }
  Renew(owner);

  platform.Reassign(kCell.value(), addresses[other]);
  if (it.planner) {
    platform.Reassign(kPlannerShard.value(), addresses[other]);
  }
  Renew(other);
  if (*it.accepted) {
    ASSERT_EQ(Submit(other, it.accepted, 2).status, 200);
  }
  if (*it.cancelled) {
    ASSERT_EQ(CallNode(loop, *nodes[other], "DELETE",
                       std::string("/jobs/queue/") + it.cancelled)
                  .status,
              200);
  }
  platform.Reassign(kCell.value(), addresses[owner]);
  if (it.planner) {
    platform.Reassign(kPlannerShard.value(), addresses[owner]);
  }
  platform.write_delay = milliseconds(it.write_ms);
  Renew(owner);

  std::vector<std::string> finished;
  for (const char* job :
       {it.accepted, it.at_work ? "at-work" : "", it.waits ? "waits" : ""}) {
    if (*job && std::string(job) != it.cancelled) {
      finished.emplace_back(job);
    }
  }
  for (const auto& job : finished) {
    EXPECT_EQ(StatusAt(owner, job), 200) << job;
  }
  if (*it.cancelled) {
    EXPECT_EQ(CallNode(loop, *nodes[owner], "GET",
                       std::string("/jobs/queue/") + it.cancelled)
                  .body,
              R"({"state":"cancelled"})");
  }
  EXPECT_EQ(StatusAt(owner, "unknown"), 404);
  for (const auto& job : finished) {
    EXPECT_TRUE(Completes(owner, job)) << job;
  }
  loop.run_for(milliseconds(300));
  for (const auto& [task, n] : platform.starts) {
    EXPECT_EQ(n, 1) << ToString(task);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Reassigned,
    ReassignCaseTest,
    testing::Values(
        ReassignCase{"idle pool", "new", false, false, "", false, true, 2},
        ReassignCase{"task at work", "new", true, false, "", false, true, 2},
        ReassignCase{"task waits", "new", false, true, "", false, true, 2},
        ReassignCase{"cancelled", "", true, false, "at-work", false, true, 2},
        ReassignCase{"planner's shard", "new", true, false, "", true, true, 2},
        ReassignCase{"no end stated", "new", true, false, "", false, false, 2},
        ReassignCase{"slow store", "new", true, false, "", false, true, 300}));

// Guards against owners that load their shards again, and so know neither
// workers nor runs for a while, whenever the members of the group change.
TEST_F(ReassignedShardTest, KeepsItsStateIfNothingWasStoredMeanwhile) {
  const auto owner = OwnerIndex();
  ASSERT_EQ(Submit(owner, "at-work", 60).status, 200);
  loop.run_for(milliseconds(100));
  Renew(owner);
  const int loads = platform.loads;
  platform.Reassign(kCell.value(), addresses[1 - owner]);
  platform.Reassign(kCell.value(), addresses[owner]);
  Renew(owner);
  // The owner of the planner's shard loads that.
  EXPECT_LE(platform.loads - loads, 2);
  for (auto& [id, it] : platform.sim_workers) {
    it.tokens.clear();
  }
  EXPECT_TRUE(Completes(owner, "at-work"));
  ASSERT_EQ(Submit(owner, "next", 60).status, 200);
  for (const auto& [id, it] : platform.sim_workers) {
    for (const auto token : it.tokens) {
      EXPECT_EQ(token, platform.generation) << id.value();
    }
  }
}

// Guards against a write for each shard at each change of the group.
TEST_F(ReassignedShardTest, OneChangeNeedsNoWrite) {
  const auto owner = OwnerIndex();
  Renew(owner);
  const int fences = platform.fences;
  ++platform.generation;
  Renew(owner);
  EXPECT_EQ(platform.fences, fences);
}

}  // namespace
}  // namespace baobab
