// Real processes that stop, drain or lose the log under load.

#include <future>

#include "process_cluster.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against requests cut by a planned stop.
TEST(ProcessServiceTest, PlannedStop) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(5);
  std::this_thread::sleep_for(seconds(2));
  cluster.node(1).Signal(SIGTERM);
  EXPECT_EQ(cluster.node(1).Wait(seconds(10)), 0);
  const auto summary = load->Finish();
  ExpectClean(*load, summary, 0.99);
  EXPECT_EQ(CountOutcome(summary, "unknown"), 0) << load->Output();
  EXPECT_EQ(CountOutcome(summary, "timed-out"), 0) << load->Output();
}

// Guards against new work on a minion that says that it leaves: none after 2 s
// on any node.
TEST(ProcessServiceTest, LeavingMinion) {
  Cluster cluster;
  ASSERT_NO_FATAL_FAILURE(cluster.WaitReady());
  auto load = cluster.StartLoad(7);
  std::this_thread::sleep_for(seconds(2));
  EXPECT_GT(cluster.ExecutionsOf(3), 0);
  SetFaults(cluster.minion_port(3), {{"leaving", true}});
  std::this_thread::sleep_for(seconds(2));
  const int after_bound = cluster.ExecutionsOf(3);
  const auto summary = load->Finish();
  ExpectClean(*load, summary, 0.99);
  EXPECT_EQ(CountOutcome(summary, "unknown"), 0) << load->Output();
  EXPECT_EQ(cluster.ExecutionsOf(3), after_bound);
}

// Guards against a log outage that stops serving, also past the 10 s in which
// the log confirms a node, and against an edit that is reported wrongly or is
// applied twice when it is sent again.
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
  auto during =
      std::async(std::launch::async, [&] { return cluster.Apply(1, edit); });
  std::this_thread::sleep_for(milliseconds(11'500));
  for (int n = 0; n < Cluster::kNodes; ++n) {
    EXPECT_TRUE(cluster.IsReady(n)) << cluster.Status(n).dump();
    EXPECT_EQ(cluster.Status(n).value("version", 0), 1);
  }
  SetFaults(cluster.log_port(), {{"outage", "none"}});
  const auto told = during.get();
  EXPECT_TRUE(told.value("state", "") == "not-accepted" ||
              told.value("state", "") == "unknown" ||
              told.value("state", "") == "in-force")
      << told.dump();
  const auto again = cluster.Apply(2, edit);
  EXPECT_EQ(again.value("state", ""), "in-force") << again.dump();
  const auto summary = load->Finish(seconds(30));
  ExpectClean(*load, summary, 0.99);
  for (int n = 0; n < Cluster::kNodes; ++n) {
    EXPECT_EQ(cluster.Status(n).value("version", 0), 2)
        << cluster.Status(n).dump();
  }
}

}  // namespace
}  // namespace baobab
