// Planned stops, draining minions and log outages of real processes under load.

#include <future>

#include "process_cluster.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests that are interrupted by a planned stop.
TEST(ProcessServiceTest, PlannedStop) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(5);
  std::this_thread::sleep_for(seconds(2));
  cluster.node(1).Signal(SIGTERM);
  EXPECT_EQ(cluster.node(1).Wait(seconds(10)), 0);
  const auto summary = load->Finish();
  ExpectNoViolations(*load, summary, 0.99);
  EXPECT_EQ(CountOutcome(summary, "unknown"), 0) << load->Output();
  EXPECT_EQ(CountOutcome(summary, "timed-out"), 0) << load->Output();
}

// Guards against new requests to a minion that announces that it is leaving: 2
// s later no node sends it any.
TEST(ProcessServiceTest, LeavingMinion) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(7);
  std::this_thread::sleep_for(seconds(2));
  EXPECT_GT(cluster.ExecutionsOf(3), 0);
  SetFaults(cluster.minion_port(3), {{"leaving", true}});
  std::this_thread::sleep_for(seconds(2));
  const int executions_before = cluster.ExecutionsOf(3);
  const auto summary = load->Finish();
  ExpectNoViolations(*load, summary, 0.99);
  EXPECT_EQ(CountOutcome(summary, "unknown"), 0) << load->Output();
  EXPECT_EQ(cluster.ExecutionsOf(3), executions_before);
}

// Guards against nodes that stop serving during a log outage, even when it
// outlasts the 10 s for which the log confirms a node, and against an edit that
// is reported wrongly, or applied twice when it is submitted again.
TEST(ProcessServiceTest, LogOutage) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  TableEdit edit;
  edit.id = EditId("weight");
  edit.author = "test";
  edit.base = TableVersion(1);
  edit.changes = {{{"queues", "batch", "weight"}, "20", "30"}};

  auto load = cluster.StartLoad(14);
  std::this_thread::sleep_for(milliseconds(500));
  SetFaults(cluster.log_port(), {{"outage", "503"}});
  auto pending_reply = std::async(std::launch::async,
                                  [&] { return cluster.SubmitEdit(1, edit); });
  std::this_thread::sleep_for(milliseconds(11'500));
  for (int n = 0; n < Cluster::kNodes; ++n) {
    EXPECT_TRUE(cluster.IsReady(n)) << cluster.Status(n).dump();
    EXPECT_EQ(cluster.Status(n).value("version", 0), 1);
  }
  SetFaults(cluster.log_port(), {{"outage", "none"}});
  const auto first_reply = pending_reply.get();
  EXPECT_TRUE(first_reply.value("state", "") == "not-accepted" ||
              first_reply.value("state", "") == "unknown" ||
              first_reply.value("state", "") == "in-force")
      << first_reply.dump();
  const auto repeated_reply = cluster.SubmitEdit(2, edit);
  EXPECT_EQ(repeated_reply.value("state", ""), "in-force")
      << repeated_reply.dump();
  const auto summary = load->Finish(seconds(30));
  ExpectNoViolations(*load, summary, 0.99);
  for (int n = 0; n < Cluster::kNodes; ++n) {
    EXPECT_EQ(cluster.Status(n).value("version", 0), 2)
        << cluster.Status(n).dump();
  }
}

}  // namespace
}  // namespace baobab
