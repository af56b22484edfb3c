#include "libdecision/fair_scheduler.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kService("fitting");
const QueueId kUrgent("quote");
const QueueId kBatch("season");
const TeamId kTeam("shop");

struct Setup {
  int minions = 2;
  std::int64_t urgent_weight = 1;
  std::int64_t batch_weight = 1;
  std::int64_t urgent_limit = 1000;
  std::int64_t quota = 1000;
  Duration urgent_deadline = seconds(7);
  Bytes backlog_bytes{16 << 20};
  std::int64_t backlog_requests = 2000;
};

Table MakeTable(const Setup& setup) {
  Table table;
  table.teams[kTeam] = {kTeam, Units(setup.quota)};
  table.queues[kUrgent] = {kUrgent,
                           kService,
                           kTeam,
                           PoolId("p"),
                           Urgency::kUrgent,
                           Weight(setup.urgent_weight),
                           Units(setup.urgent_limit),
                           setup.urgent_deadline};
  table.queues[kBatch] = {kBatch,          kService,
                          kTeam,           PoolId("p"),
                          Urgency::kBatch, Weight(setup.batch_weight),
                          Units(1000),     seconds(60)};
  return table;
}

std::vector<MinionEntry> MakeMinions(int count) {
  std::vector<MinionEntry> minions;
  for (int n = 0; n < count; ++n) {
    const std::string name = std::to_string(n);
    minions.push_back({MinionId("m" + name), kService, HostId("h" + name),
                       "127.0.0.1:9000", DataCentreId("dc"), false});
  }
  return minions;
}

bool AnyMinion(const MinionId& /*id*/) {
  return true;
}

/** Test fixture: a scheduler in a view of `nodes`, with a simulated clock and
 * requests that end after the slot time of their queue. */
class OneNode {
 public:
  explicit OneNode(const Setup& setup,
                   const std::vector<ViewNode>& nodes = {{NodeId("n0"),
                                                          DataCentreId("dc")}},
                   const char* self = "n0")
      : scheduler(Config(setup, self), Time()) {
    scheduler.SetTable(MakeTable(setup), Time());
    scheduler.SetMinions(MakeMinions(setup.minions), Time());
    scheduler.SetView(ViewNumber(0), {}, {}, Time());
    std::set<NodeId> adopted;
    for (const ViewNode& it : nodes) {
      adopted.insert(it.id);
    }
    scheduler.SetView(ViewNumber(1), nodes, adopted, Time());
  }

  static NodeConfig Config(const Setup& setup, const char* self) {
    NodeConfig config;
    config.id = NodeId(self);
    config.incarnation = Incarnation(1'000'000);
    config.backlog_bytes = setup.backlog_bytes;
    config.backlog_requests = setup.backlog_requests;
    return config;
  }

  tl::expected<void, Refusal> Admit(const QueueId& queue,
                                    Duration start_in = seconds(60),
                                    Bytes size = Bytes(100),
                                    std::vector<MinionId> avoid = {}) {
    last_id = RequestId(last_id.value() + 1);
    return scheduler.Admit(
        {last_id, queue, now, now + start_in, size, std::move(avoid)}, now);
  }

  std::vector<RequestStart> Start() {
    auto starts = scheduler.TakeStarts(now, AnyMinion);
    for (const RequestStart& it : starts) {
      ends.emplace(now + slot_time[it.queue], it);
      used[it.queue] += slot_time[it.queue];
    }
    return starts;
  }

  /** Runs until `until`, keeping `backlog` requests of each queue waiting. */
  void Run(Time until, const std::map<QueueId, int>& backlog) {
    while (now < until) {
      for (const QueueUsage& it : scheduler.QueueUsages()) {
        const auto wanted = backlog.find(it.queue);
        for (auto n = it.waiting; wanted != backlog.end() && n < wanted->second;
             ++n) {
          ASSERT_TRUE(Admit(it.queue));
        }
      }
      Start();
      now = ends.empty() ? until : std::min(until, ends.begin()->first);
      Finish();
    }
  }

  void Finish() {
    while (!ends.empty() && ends.begin()->first <= now) {
      scheduler.Finish(ends.begin()->second.id, now);
      ends.erase(ends.begin());
    }
  }

  std::int64_t InFlight(const QueueId& queue) {
    for (const QueueUsage& it : scheduler.QueueUsages()) {
      if (it.queue == queue) {
        return it.in_flight;
      }
    }
    return -1;
  }

  FairScheduler scheduler;
  Time now;
  RequestId last_id;
  std::map<QueueId, Duration> slot_time = {{kUrgent, milliseconds(100)},
                                           {kBatch, milliseconds(100)}};
  std::map<QueueId, Duration> used;
  std::multimap<Time, RequestStart> ends;
};

struct ShareCase {
  std::int64_t urgent_weight;
  std::int64_t batch_weight;
  Duration urgent_time;
  Duration batch_time;
};

class ShareTest : public testing::TestWithParam<ShareCase> {};

// Guards against a queue that gets more slot time than its weight allows
// through longer requests or a longer backlog.
TEST_P(ShareTest, SlotTimeFollowsWeights) {
  const ShareCase& share = GetParam();
  OneNode node({.urgent_weight = share.urgent_weight,
                .batch_weight = share.batch_weight,
                .urgent_deadline = seconds(60)});
  node.slot_time = {{kUrgent, share.urgent_time}, {kBatch, share.batch_time}};
  node.Run(Time() + seconds(20), {{kUrgent, 20}, {kBatch, 200}});
  node.used.clear();
  node.Run(Time() + seconds(140), {{kUrgent, 20}, {kBatch, 200}});
  const auto all =
      static_cast<double>((node.used[kUrgent] + node.used[kBatch]).count());
  EXPECT_NEAR(static_cast<double>(node.used[kUrgent].count()) / all,
              static_cast<double>(share.urgent_weight) /
                  static_cast<double>(share.urgent_weight + share.batch_weight),
              0.03);
}

INSTANTIATE_TEST_SUITE_P(
    Shares,
    ShareTest,
    testing::Values(ShareCase{1, 1, milliseconds(100), milliseconds(100)},
                    ShareCase{3, 1, milliseconds(100), milliseconds(100)},
                    ShareCase{1, 3, milliseconds(100), milliseconds(100)},
                    ShareCase{1, 1, milliseconds(100), milliseconds(900)},
                    ShareCase{1, 1, milliseconds(2000), milliseconds(50)}));

// Guards against slot time that is never charged when requests become longer
// than the mean.
TEST(FairScheduler, LongerRequestsAreChargedWhenTheyEnd) {
  OneNode node({.urgent_deadline = seconds(60)});
  node.Run(Time() + seconds(10), {{kUrgent, 20}, {kBatch, 20}});
  node.used.clear();
  node.slot_time[kBatch] = milliseconds(1500);
  node.Run(Time() + seconds(18), {{kUrgent, 20}, {kBatch, 20}});
  const auto all =
      static_cast<double>((node.used[kUrgent] + node.used[kBatch]).count());
  EXPECT_NEAR(static_cast<double>(node.used[kBatch].count()) / all, 0.5, 0.08);
}

struct CapCase {
  Setup setup;
  QueueId queue;
  Duration slot_time;
  std::int64_t max_in_flight;
};

class CapTest : public testing::TestWithParam<CapCase> {};

// Guards against idle slots that are withheld from a queue that is alone, and
// against such a queue exceeding limits, quotas and the urgent share.
TEST_P(CapTest, LoneQueueUsesWhatItMay) {
  const CapCase& cap = GetParam();
  OneNode node(cap.setup);
  node.slot_time[cap.queue] = cap.slot_time;
  node.Run(Time() + milliseconds(30'050), {{cap.queue, 20}});
  EXPECT_EQ(node.InFlight(cap.queue), cap.max_in_flight);
}

INSTANTIATE_TEST_SUITE_P(
    Caps,
    CapTest,
    testing::Values(
        CapCase{{}, kBatch, milliseconds(100), 16},
        CapCase{{}, kUrgent, milliseconds(100), 16},
        CapCase{{.urgent_limit = 5}, kUrgent, milliseconds(100), 5},
        CapCase{{.quota = 7}, kBatch, milliseconds(100), 7},
        // 4 s is above half of the urgent deadline of 7 s.
        CapCase{{}, kBatch, seconds(4), 8},
        CapCase{{.urgent_weight = 3}, kBatch, seconds(4), 4},
        CapCase{{.urgent_weight = 99}, kBatch, seconds(4), 2},
        CapCase{{.urgent_deadline = seconds(9)}, kBatch, seconds(4), 16}));

struct RefusalCase {
  const char* name;
  Setup setup;
  QueueId queue;
  Duration start_in;
  std::int64_t size;
  /** Requests of 100 bytes already waiting in kBatch. */
  int waiting;
  Reason reason;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against admitting requests that cannot run, and against a flood in one
// queue that blocks the others.
TEST_P(RefusalTest, SaysWhy) {
  const RefusalCase& it = GetParam();
  OneNode node(it.setup);
  for (int n = 0; n < it.waiting; ++n) {
    (void)node.Admit(kBatch);
  }
  const auto result = node.Admit(it.queue, it.start_in, Bytes(it.size));
  const Reason reason = result ? Reason::kNone : result.error().reason;
  EXPECT_EQ(reason, it.reason) << it.name;
}

const Setup kSmallBacklog{.backlog_bytes = Bytes(10'000)};

INSTANTIATE_TEST_SUITE_P(
    Refusals,
    RefusalTest,
    testing::Values(
        RefusalCase{"fits", {}, kUrgent, seconds(7), 1, 0, Reason::kNone},
        RefusalCase{"unknown",
                    {},
                    QueueId("x"),
                    seconds(7),
                    1,
                    0,
                    Reason::kUnknownQueue},
        RefusalCase{"late",
                    {},
                    kUrgent,
                    seconds(-1),
                    1,
                    0,
                    Reason::kDeadlinePassed},
        RefusalCase{"no minion",
                    {.minions = 0},
                    kUrgent,
                    seconds(7),
                    1,
                    0,
                    Reason::kNoMinion},
        RefusalCase{"limit 0",
                    {.urgent_limit = 0},
                    kUrgent,
                    seconds(7),
                    1,
                    0,
                    Reason::kOverLimit},
        RefusalCase{"quota 0",
                    {.quota = 0},
                    kUrgent,
                    seconds(7),
                    1,
                    0,
                    Reason::kOverQuota},
        RefusalCase{"requests",
                    {.backlog_requests = 3},
                    kBatch,
                    seconds(7),
                    1,
                    3,
                    Reason::kBacklogFull},
        RefusalCase{"other queue full",
                    {.backlog_requests = 3},
                    kUrgent,
                    seconds(7),
                    1,
                    3,
                    Reason::kNone},
        RefusalCase{"bytes full", kSmallBacklog, kBatch, seconds(7), 100, 200,
                    Reason::kBacklogFull},
        RefusalCase{"bytes full, within share", kSmallBacklog, kUrgent,
                    seconds(7), 2500, 200, Reason::kNone},
        RefusalCase{"bytes full, above share", kSmallBacklog, kUrgent,
                    seconds(7), 2600, 200, Reason::kBacklogFull}),
    [](const auto& it) { return "Case" + std::to_string(it.index); });

// Guards against queuing more bytes than the node may hold.
TEST(FairScheduler, BacklogBytesStayBelowTheLimit) {
  OneNode node(kSmallBacklog);
  for (int n = 0; n < 500; ++n) {
    (void)node.Admit(n % 2 == 0 ? kBatch : kUrgent, seconds(60),
                     Bytes(std::int64_t{37} * (n % 11)));
    EXPECT_LE(node.scheduler.backlog_bytes(), Bytes(10'000));
  }
  for (std::uint64_t n = 1; n <= 500; ++n) {
    node.scheduler.Withdraw(RequestId(n));
  }
  EXPECT_EQ(node.scheduler.backlog_bytes(), Bytes(0));
}

struct EstimateCase {
  Duration start_in;
  Duration slot_time;
};

class EstimateTest : public testing::TestWithParam<EstimateCase> {};

// Guards against admitting requests that would expire in the queue, and against
// refusing requests that would have started in time.
TEST_P(EstimateTest, RefusesWhatStartsTooLate) {
  const EstimateCase& it = GetParam();
  OneNode node({});
  node.slot_time[kBatch] = it.slot_time;
  node.Run(Time() + seconds(50), {{kBatch, 20}});
  // Removes the 20 waiting requests, which have expired by now.
  node.now += seconds(70);
  (void)node.scheduler.TakeExpired(node.now);
  node.Finish();
  int admitted = 0;
  for (; admitted < 2000 && node.Admit(kBatch, it.start_in); ++admitted) {
  }
  const double in_time = 16 * static_cast<double>(it.start_in.count()) /
                         static_cast<double>(it.slot_time.count());
  EXPECT_GE(admitted, static_cast<int>(in_time));
  EXPECT_LE(admitted, static_cast<int>(in_time * 1.4) + 2);
}

INSTANTIATE_TEST_SUITE_P(
    Estimates,
    EstimateTest,
    testing::Values(EstimateCase{seconds(5), milliseconds(100)},
                    EstimateCase{seconds(1), milliseconds(100)},
                    EstimateCase{milliseconds(100), milliseconds(100)},
                    EstimateCase{seconds(60), seconds(2)}));

// Guards against refusals before peers had time to lend units.
TEST(FairScheduler, FreshBacklogCountsOnUnitsOfPeers) {
  OneNode node({.minions = 4}, {{NodeId("n0"), DataCentreId("dc")},
                                {NodeId("n1"), DataCentreId("dc")}});
  node.Run(Time() + seconds(5), {{kBatch, 5}});
  node.now += seconds(70);
  (void)node.scheduler.TakeExpired(node.now);
  node.Finish();
  for (int n = 0; n < 320; ++n) {
    ASSERT_TRUE(node.Admit(kBatch, seconds(1)));
  }
  // After one second, the peer has lent nothing.
  node.now += seconds(1);
  EXPECT_FALSE(node.Admit(kBatch, seconds(1)));
}

// Guards against an estimate without any sample.
TEST(FairScheduler, NothingMeasuredRefusesNothing) {
  OneNode node({});
  for (int n = 0; n < 1000; ++n) {
    ASSERT_TRUE(node.Admit(kUrgent, milliseconds(1)));
  }
}

// Guards against starts out of deadline order, late starts, and requests that
// are neither started nor refused.
TEST(FairScheduler, EarliestDeadlineFirst) {
  OneNode node({.minions = 1});
  for (int n = 0; n < 12; ++n) {
    ASSERT_TRUE(node.Admit(kUrgent, seconds(12 - n)));
  }
  const auto starts = node.Start();
  ASSERT_EQ(starts.size(), 8U);
  for (std::size_t n = 0; n < starts.size(); ++n) {
    EXPECT_EQ(starts[n].id, RequestId(12 - n));
  }
  node.now += seconds(10);
  node.Finish();
  const auto later = node.Start();
  ASSERT_EQ(later.size(), 3U);
  EXPECT_EQ(later[0].id, RequestId(3));
  std::vector<RequestId> expired;
  for (const RefusedRequest& it : node.scheduler.TakeExpired(node.now)) {
    EXPECT_EQ(it.refusal.reason, Reason::kDeadlinePassed);
    expired.push_back(it.id);
  }
  EXPECT_EQ(expired, (std::vector{RequestId(4)}));
}

// Guards against uneven use of minions, against retries on the minion that
// failed, and against no retry if it is the only one.
TEST(FairScheduler, ChoosesFreestMinionThatDidNotFail) {
  OneNode node({.minions = 3});
  std::map<MinionId, int> starts;
  for (int n = 0; n < 12; ++n) {
    ASSERT_TRUE(node.Admit(kUrgent, seconds(9), Bytes(1), {MinionId("m0")}));
  }
  for (const RequestStart& it : node.Start()) {
    ++starts[it.minion];
  }
  EXPECT_EQ(starts, (std::map<MinionId, int>{{MinionId("m1"), 6},
                                             {MinionId("m2"), 6}}));
  ASSERT_TRUE(node.Admit(kUrgent, seconds(9), Bytes(1), {MinionId("m0")}));
  const auto only = node.scheduler.TakeStarts(
      node.now, [](const MinionId& id) { return id == MinionId("m0"); });
  ASSERT_EQ(only.size(), 1U);
  EXPECT_EQ(only[0].minion, MinionId("m0"));
}

// Guards against requests of a removed queue that never get an answer.
TEST(FairScheduler, RemovedQueueRefusesItsRequests) {
  OneNode node({});
  ASSERT_TRUE(node.Admit(kBatch));
  Table table = MakeTable({});
  table.queues.erase(kBatch);
  node.scheduler.SetTable(table, node.now);
  const auto refused = node.scheduler.TakeExpired(node.now);
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_EQ(refused[0].refusal.reason, Reason::kUnknownQueue);
  EXPECT_TRUE(node.Start().empty());
}

// Guards against an id that is queued twice and takes two slots.
TEST(FairScheduler, RepeatedAdmitIsAViolation) {
  OneNode node({});
  ASSERT_TRUE(node.Admit(kBatch));
  node.last_id = RequestId(0);
  EXPECT_FALSE(node.Admit(kBatch));
  EXPECT_EQ(node.scheduler.TakeViolations().size(), 1U);
}

const std::vector<ViewNode> kTwoNodes{{NodeId("n0"), DataCentreId("dc")},
                                      {NodeId("n1"), DataCentreId("dc")}};

std::vector<LoanGrant> Grants(FairScheduler& scheduler) {
  std::vector<LoanGrant> grants;
  for (const SendPeer& it : scheduler.TakeMessages()) {
    if (const auto* grant = std::get_if<LoanGrant>(&it.message)) {
      grants.push_back(*grant);
    }
  }
  return grants;
}

std::int64_t Slots(const std::vector<LoanGrant>& grants) {
  std::int64_t slots = 0;
  for (const LoanGrant& grant : grants) {
    for (const ResourceUnits& it : grant.units) {
      slots +=
          it.resource.kind == ResourceKind::kMinionSlots ? it.units.value() : 0;
    }
  }
  return slots;
}

struct CompeteCase {
  const char* name;
  /** Queue of the lender's own backlog, which has used all slots so far. */
  QueueId local;
  QueueId remote;
  Duration remote_deadline;
  bool granted;
};

class CompeteTest : public testing::TestWithParam<CompeteCase> {};

// Guards against lenders that prefer either their own callers or peers.
TEST_P(CompeteTest, RemoteCompetesLikeLocal) {
  const CompeteCase& it = GetParam();
  OneNode lender({.minions = 4}, kTwoNodes);
  lender.Run(Time() + seconds(10), {{it.local, 40}});
  const BorrowRequest ask{BorrowId(1), it.remote, Units(2),
                          Units(0),    Units(0),  it.remote_deadline};
  (void)lender.scheduler.TakeMessages();
  lender.scheduler.OnBorrow(NodeId("n1"), Incarnation(1), ask, lender.now);
  lender.Run(lender.now + milliseconds(250), {{it.local, 40}});
  EXPECT_EQ(Slots(Grants(lender.scheduler)), it.granted ? 2 : 0) << it.name;
}

INSTANTIATE_TEST_SUITE_P(
    Competes,
    CompeteTest,
    testing::Values(
        CompeteCase{"other queue", kBatch, kUrgent, seconds(7), true},
        CompeteCase{"batch against urgent", kUrgent, kBatch, seconds(60), true},
        CompeteCase{"more urgent", kBatch, kBatch, seconds(5), true},
        CompeteCase{"less urgent", kBatch, kBatch, seconds(90), false}),
    [](const auto& it) { return "Case" + std::to_string(it.index); });

// Guards against renewing a loan while another queue waits for its share, and
// against not renewing one that no other queue needs.
TEST(FairScheduler, RenewsLoansOnlyWithinTheShare) {
  OneNode lender({.minions = 4}, kTwoNodes);
  const auto ask = [&](std::uint64_t id) {
    lender.scheduler.OnBorrow(
        NodeId("n1"), Incarnation(1),
        {BorrowId(id), kBatch, Units(100), Units(0), Units(0), seconds(60)},
        lender.now);
    lender.Start();
    return Slots(Grants(lender.scheduler));
  };
  lender.Run(Time() + seconds(5), {{kBatch, 1}});
  const std::int64_t lent = ask(1);
  ASSERT_GT(lent, 4);
  lender.now += milliseconds(300);
  EXPECT_EQ(ask(2), lent);
  for (int n = 0; n < 100; ++n) {
    ASSERT_TRUE(lender.Admit(kUrgent));
  }
  lender.now += milliseconds(300);
  EXPECT_EQ(ask(3), 0);
}

/** Runs the scheduler of `from` and delivers its messages to `to`. */
void Exchange(OneNode& from, OneNode& to, const char* name) {
  from.Start();
  for (const SendPeer& it : from.scheduler.TakeMessages()) {
    const NodeId id(name);
    if (const auto* ask = std::get_if<BorrowRequest>(&it.message)) {
      to.scheduler.OnBorrow(id, Incarnation(1'000'000), *ask, to.now);
    } else if (const auto* loan = std::get_if<LoanGrant>(&it.message)) {
      to.scheduler.OnGrant(id, Incarnation(1'000'000), *loan, to.now);
    } else if (const auto* back = std::get_if<LoanReturn>(&it.message)) {
      to.scheduler.OnReturn(id, Incarnation(1'000'000), *back, to.now);
    }
  }
}

// Guards against a borrower that does not return units it no longer needs.
TEST(FairScheduler, ReturnsIdleUnitsWhenTheQueueIsEmpty) {
  OneNode lender({.minions = 4}, kTwoNodes, "n0");
  OneNode borrower({.minions = 4}, kTwoNodes, "n1");
  for (int n = 0; n < 32; ++n) {
    ASSERT_TRUE(borrower.Admit(kUrgent));
  }
  Exchange(borrower, lender, "n1");
  Exchange(lender, borrower, "n0");
  borrower.Start();
  EXPECT_EQ(borrower.InFlight(kUrgent), 32);
  EXPECT_EQ(lender.scheduler.Loads().size(), 0U);
  borrower.now = lender.now = Time() + milliseconds(200);
  borrower.Finish();
  Exchange(borrower, lender, "n1");
  const auto loads = lender.scheduler.Loads();
  ASSERT_EQ(loads.size(), 1U);
  const auto own = borrower.scheduler.Loads();
  EXPECT_EQ(loads[0].spare + own[0].spare, Units(32));
}

// Guards against a loan that arrives after its queue became empty and stays
// unused.
TEST(FairScheduler, ReturnsLoanThatArrivesForAnEmptyQueue) {
  OneNode lender({.minions = 4}, kTwoNodes, "n0");
  OneNode borrower({.minions = 4}, kTwoNodes, "n1");
  for (int n = 0; n < 32; ++n) {
    ASSERT_TRUE(borrower.Admit(kUrgent));
  }
  Exchange(borrower, lender, "n1");
  for (std::uint64_t n = 1; n <= 32; ++n) {
    borrower.scheduler.Withdraw(RequestId(n));
  }
  Exchange(lender, borrower, "n0");
  EXPECT_FALSE(lender.scheduler.ledger().outgoing().empty());
  Exchange(borrower, lender, "n1");
  EXPECT_TRUE(lender.scheduler.ledger().outgoing().empty());
}

}  // namespace
}  // namespace baobab
