// Real processes that fail under load. The minions count executions, and the
// program load compares them with what every caller was told.

#include "process_cluster.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that run twice or are wrongly reported as not run
// when a node vanishes, and against other nodes that stop serving.
TEST(ProcessFailureTest, KilledNode) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(6, {"--stopped", cluster.caller_address(2)});
  std::this_thread::sleep_for(seconds(2));
  cluster.node(2).Signal(SIGKILL);
  const auto summary = load->Finish();
  ExpectClean(*load, summary, 0.95);
}

// Guards against a restarted node that is taken for its former process, stays
// out of service, or makes the others change the view again and again.
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
  ExpectClean(*load, summary, 0.95);
  EXPECT_LE(cluster.Status(0).value("view", 0), view + 2);
}

// Guards against a node that resumes after all its leases have expired and
// still acts on them: its confirmation (10 s), planner lease (5 s), loans and
// attempts have passed. Its removal from the view takes 15 s and is not
// reached.
TEST(ProcessFailureTest, PausedNode) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(14);
  std::this_thread::sleep_for(seconds(1));
  cluster.node(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(seconds(11));
  cluster.node(0).Signal(SIGCONT);
  const auto summary = load->Finish(seconds(30));
  ExpectClean(*load, summary, 0.9);
  EXPECT_TRUE(WaitUntil(seconds(5), [&] { return cluster.IsReady(0); }))
      << cluster.Status(0).dump();
}

// Guards against requests that hang or run twice when a middlebox between
// nodes and a minion loses its state, and against a minion that stays unused
// although new connections to it work.
TEST(ProcessFailureTest, SilentConnections) {
  Cluster cluster(true);
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(8);
  std::this_thread::sleep_for(seconds(2));
  SetFaults(cluster.relay_control(), {{"silent", true}});
  std::this_thread::sleep_for(milliseconds(4500));
  const int before = cluster.ExecutionsOf(0);
  const auto summary = load->Finish();
  ExpectClean(*load, summary, 0.95);
  EXPECT_GT(cluster.ExecutionsOf(0), before) << "minion stays unused";
}

}  // namespace
}  // namespace baobab
