// Failures of real processes under load. The minions count executions, and the
// program `load` compares the counts with the outcomes reported to callers.

#include "process_cluster.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that run twice or are wrongly reported as not run
// when a node is killed, and against other nodes that stop serving.
TEST(ProcessFailureTest, KilledNode) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(6, {"--stopped", cluster.caller_address(2)});
  std::this_thread::sleep_for(seconds(2));
  cluster.node(2).Signal(SIGKILL);
  const auto summary = load->Finish();
  ExpectNoViolations(*load, summary, 0.95);
}

// Guards against a restarted node that is mistaken for its previous
// incarnation, stays out of service, or causes repeated view changes.
TEST(ProcessFailureTest, RestartedNode) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(7, {"--stopped", cluster.caller_address(2)});
  std::this_thread::sleep_for(seconds(1));
  const int view = cluster.Status(0).value("view", 0);
  cluster.node(2).Signal(SIGKILL);
  std::this_thread::sleep_for(seconds(1));
  cluster.StartNode(2);
  EXPECT_TRUE(WaitUntil(seconds(10), [&] { return cluster.IsReady(2); }))
      << cluster.Status(2).dump();
  const auto summary = load->Finish();
  ExpectNoViolations(*load, summary, 0.95);
  EXPECT_LE(cluster.Status(0).value("view", 0), view + 2);
}

// Guards against a node that resumes after its leases have expired and still
// acts on them. The pause of 11 s outlasts its confirmation (10 s), planner
// lease (5 s), loans and attempts, but not the 15 s after which it is removed
// from the view.
TEST(ProcessFailureTest, PausedNode) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(14);
  std::this_thread::sleep_for(seconds(1));
  cluster.node(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(11));
  cluster.node(0).Signal(SIGCONT);
  const auto summary = load->Finish(seconds(30));
  ExpectNoViolations(*load, summary, 0.9);
  EXPECT_TRUE(WaitUntil(seconds(5), [&] { return cluster.IsReady(0); }))
      << cluster.Status(0).dump();
}

// Guards against requests that hang or run twice when a middlebox between nodes
// and a minion drops its connection state, and against a minion that gets no
// more requests although new connections to it work.
TEST(ProcessFailureTest, SilentConnections) {
  Cluster cluster(true);
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(8);
  std::this_thread::sleep_for(seconds(2));
  SetFaults(cluster.relay_control_port(), {{"silent", true}});
  std::this_thread::sleep_for(milliseconds(4500));
  const int before = cluster.ExecutionsOf(0);
  const auto summary = load->Finish();
  ExpectNoViolations(*load, summary, 0.95);
  EXPECT_GT(cluster.ExecutionsOf(0), before) << "minion stays unused";
}

}  // namespace
}  // namespace baobab
