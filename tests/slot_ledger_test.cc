#include "libdecision/slot_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "libdecision/rendezvous.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ResourceId kMinion{ResourceKind::kMinionSlots, "m1"};
const ResourceId kLimit{ResourceKind::kQueueLimit, "booking"};
const QueueId kQueue("booking");
constexpr Duration kRequestTime = seconds(30);

NodeId Node(std::size_t n) {
  return NodeId("n" + std::to_string(n));
}

NodeConfig Config(std::size_t n, std::uint64_t incarnation) {
  NodeConfig config;
  config.id = Node(n);
  config.incarnation = Incarnation(incarnation);
  config.request_timeout = kRequestTime;
  return config;
}

std::vector<ViewNode> Nodes(const std::vector<std::size_t>& members) {
  std::vector<ViewNode> nodes;
  for (const std::size_t n : members) {
    nodes.push_back({Node(n), DataCentreId("dc")});
  }
  return nodes;
}

Time At(double seconds_since_start) {
  return Time() + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds_since_start));
}

// Guards against owners that differ between processes or releases, so that two
// nodes would use the same unit.
TEST(Rendezvous, HashesAreFixed) {
  EXPECT_EQ(StableHash(std::string_view("n1")), 5894824055016522919ULL);
  EXPECT_EQ(RendezvousOwner(StableHash(kMinion), 3, {1, 2, 3, 4}), 1U);
}

// Guards against units that change their owner although it stays in the view.
RC_GTEST_PROP(Rendezvous,
              RemovedNodeMovesOnlyItsOwnUnits,
              (std::uint64_t key)) {
  std::vector<std::uint64_t> nodes;
  for (std::uint64_t n = 0; n < 9; ++n) {
    nodes.push_back(StableHash("n" + std::to_string(n)));
  }
  const std::vector<std::uint64_t> fewer(nodes.begin(), nodes.end() - 1);
  for (std::uint64_t unit = 0; unit < 1000; unit += 7) {
    const std::size_t before = RendezvousOwner(key, unit, nodes);
    const std::size_t after = RendezvousOwner(key, unit, fewer);
    RC_ASSERT(before == after || before == 8U);
    RC_ASSERT(UnitGroup(unit) <= unit && unit < NextUnitGroup(unit));
  }
}

/** Returns the ledger of a node that is alone in view 1, the first of the
 * fleet. */
SlotLedger LoneLedger(std::size_t n) {
  SlotLedger ledger(Config(n, 1'000'000 * (n + 1)), Time());
  ledger.SetResource(kMinion, Units(8), DataCentreId("dc"), Units(), Time());
  ledger.SetView(ViewNumber(0), {}, {}, Time());
  ledger.SetView(ViewNumber(1), Nodes({n}), {}, Time());
  return ledger;
}

struct LoanFault {
  const char* name;
  /** Faults of the borrower and the network before the check. */
  bool returns = false;
  int return_copies = 1;
  Incarnation returning{2'000'000};
  double check_at = 0;
  /** Expected free units of the lender at the check, of 8 with 2 lent. */
  std::int64_t free = 0;
};

class LoanFaultTest : public testing::TestWithParam<LoanFault> {};

// Guards against a lender that uses a lent unit which may still be in use, or
// that never gets it back.
TEST_P(LoanFaultTest, LenderCountsUnitsOut) {
  const LoanFault& fault = GetParam();
  SlotLedger lender = LoneLedger(0);
  const Incarnation borrower(2'000'000);
  const auto loan =
      lender.Lend(Node(1), borrower, kQueue, {kMinion, Units(2)}, Time());
  ASSERT_TRUE(loan);
  ASSERT_TRUE(lender.Grant(*loan, BorrowId(2'000'001), Time()));
  EXPECT_EQ(lender.OwnFree(kMinion), Units(6));
  for (int n = 0; fault.returns && n < fault.return_copies; ++n) {
    lender.OnReturn(Node(1), fault.returning, {*loan, {{kMinion, Units(1)}}});
  }
  lender.Advance(At(fault.check_at));
  EXPECT_EQ(lender.OwnFree(kMinion), Units(fault.free));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    LoanFaultTest,
    testing::Values(
        LoanFault{"loan term is over, requests may run", false, 1,
                  Incarnation(2'000'000), 30.9, 6},
        LoanFault{"silent borrower", false, 1, Incarnation(2'000'000), 31, 8},
        LoanFault{"one unit returned", true, 1, Incarnation(2'000'000), 1, 7},
        LoanFault{"duplicated return", true, 3, Incarnation(2'000'000), 1, 7},
        LoanFault{"return of a restarted borrower", true, 1,
                  Incarnation(2'500'000), 1, 6}),
    [](const auto& it) { return "Case" + std::to_string(it.index); });

// Guards against a late grant that revives a returned loan, and against a loan
// prolonged by the delay of its grant.
TEST(SlotLedger, LateGrantsGiveNothing) {
  SlotLedger borrower = LoneLedger(1);
  const BorrowId first = borrower.NextBorrow(Node(0), kQueue, At(0));
  const LoanGrant grant{
      first, LoanId(7), kQueue, {{kMinion, Units(1)}}, kLoanTerm};
  const auto key = borrower.OnGrant(Node(0), grant, At(0.9));
  ASSERT_TRUE(key);
  EXPECT_EQ(borrower.BorrowedFree(*key, kMinion, At(0.95)), Units(1));
  EXPECT_EQ(borrower.BorrowedFree(*key, kMinion, At(1)), Units(0));
  EXPECT_FALSE(borrower.Use({kMinion, *key}, At(1)));
  EXPECT_EQ(borrower.TakeViolations().size(), 1U);
  borrower.ReturnIdle(*key, At(0.95));
  EXPECT_EQ(borrower.TakeMessages().size(), 1U);
  EXPECT_FALSE(borrower.OnGrant(Node(0), grant, At(0.96)));
  EXPECT_EQ(borrower.BorrowedFree(*key, kMinion, At(0.96)), Units(0));
  borrower.Advance(At(10));
  const BorrowId second = borrower.NextBorrow(Node(0), kQueue, At(10));
  EXPECT_FALSE(borrower.OnGrant(
      Node(0), {second, LoanId(7), kQueue, {{kMinion, Units(1)}}, kLoanTerm},
      At(10)));
  EXPECT_FALSE(borrower.OnGrant(
      Node(0),
      {BorrowId(5), LoanId(8), kQueue, {{kMinion, Units(1)}}, kLoanTerm},
      At(10)));
  // Requests of the earlier process may still run on these units.
  EXPECT_EQ(borrower.TakeMessages().size(), 2U);
}

// Guards against lending more units than are free.
TEST(SlotLedger, LendsNoMoreThanIsFree) {
  SlotLedger ledger = LoneLedger(0);
  EXPECT_FALSE(ledger.Lend(Node(1), Incarnation(9), kQueue, {kMinion, Units(9)},
                           Time()));
  EXPECT_EQ(ledger.TakeViolations().size(), 1U);
  EXPECT_EQ(ledger.OwnFree(kMinion), Units(8));
  EXPECT_TRUE(ledger.outgoing().empty());
}

// Guards against a restarted node that passes units on while an owner before
// its first view may still use them.
TEST(SlotLedger, RestartedNodeHoldsTheNextViewBack) {
  SlotLedger ledger(Config(0, 1'000'000), Time());
  ledger.SetView(ViewNumber(3), Nodes({0}), {}, Time());
  ledger.SetView(ViewNumber(4), Nodes({1}), {}, At(1));
  EXPECT_LT(ledger.AnnouncedView(At(44.9)), ViewNumber(4));
  EXPECT_EQ(ledger.AnnouncedView(At(45)), ViewNumber(4));
}

struct ViewCase {
  const char* name;
  /** Number of the first view; 0 for a log that never held one. */
  std::uint64_t first = 0;
  bool in_first = false;
  bool former_adopted = false;
  /** Number of the first view that contains the node; there is no gap if it is
   * `first` + 1. */
  std::uint64_t joins = 1;
  double usable_before = 0;
  double usable_at = 0;
};

class ViewTest : public testing::TestWithParam<ViewCase> {};

// Guards against a new owner that uses a unit while the former owner, a node
// that left without notice, or an earlier process of its own may still use it.
TEST_P(ViewTest, GainedUnitsWait) {
  const ViewCase& view = GetParam();
  SlotLedger ledger(Config(0, 1'000'000), Time());
  ledger.SetResource(kMinion, Units(8), DataCentreId("dc"), Units(), Time());
  const std::set<NodeId> adopted =
      view.former_adopted ? std::set{Node(1)} : std::set<NodeId>{};
  std::vector<ViewNode> nodes;
  if (view.first > 0) {
    nodes = view.in_first ? Nodes({0}) : Nodes({1});
  }
  ledger.SetView(ViewNumber(view.first), nodes, adopted, Time());
  ledger.SetView(ViewNumber(view.joins), Nodes({0}), adopted, Time());
  ledger.Advance(At(view.usable_before));
  EXPECT_EQ(ledger.OwnFree(kMinion), Units(0)) << view.name;
  EXPECT_FALSE(ledger.Use({kMinion, std::nullopt}, At(view.usable_before)));
  EXPECT_EQ(ledger.TakeViolations().size(), 1U);
  ledger.Advance(At(view.usable_at));
  EXPECT_EQ(ledger.OwnFree(kMinion), Units(8)) << view.name;
}

INSTANTIATE_TEST_SUITE_P(
    Views,
    ViewTest,
    testing::Values(
        ViewCase{"restart within the view", 3, true, false, 3, 44.9, 45},
        ViewCase{"joins, former owner unheard", 3, false, false, 4, 44.9, 45},
        ViewCase{"joins, former owner adopted", 3, false, true, 4, 30.9, 31},
        ViewCase{"views missed", 3, false, true, 6, 44.9, 45}),
    [](const auto& it) { return "Case" + std::to_string(it.index); });

// Guards against a new fleet that serves nothing for its first 45 s.
TEST(SlotLedger, FirstViewOfAllIsUsableAtOnce) {
  EXPECT_EQ(LoneLedger(0).OwnFree(kMinion), Units(8));
}

// Guards against a former owner that announces a view while it still uses or
// lends units it lost.
TEST(SlotLedger, AnnouncesViewOnlyWhenLostUnitsAreOver) {
  SlotLedger ledger = LoneLedger(0);
  for (int n = 0; n < 7; ++n) {
    ASSERT_TRUE(ledger.Use({kMinion, std::nullopt}, Time()));
  }
  const auto loan =
      ledger.Lend(Node(2), Incarnation(9), kQueue, {kMinion, Units(1)}, Time());
  ledger.SetView(ViewNumber(2), Nodes({1}), {Node(1)}, At(1));
  EXPECT_EQ(ledger.AnnouncedView(At(1)), ViewNumber(1));
  for (int n = 0; n < 7; ++n) {
    ledger.Release({kMinion, std::nullopt});
    EXPECT_EQ(ledger.OwnFree(kMinion), Units(0));
  }
  EXPECT_EQ(ledger.AnnouncedView(At(2)), ViewNumber(1));
  ledger.OnReturn(Node(2), Incarnation(9), {*loan, {{kMinion, Units(1)}}});
  EXPECT_EQ(ledger.AnnouncedView(At(2)), ViewNumber(2));
}

/** Simulation of the ledgers of several nodes over a network that loses,
 * repeats, delays and reorders messages. Uses outlive their process. */
class World {
 public:
  static constexpr std::size_t kNodes = 4;
  // Few units, so that all of them are in use most of the time.
  static constexpr std::int64_t kSlots = 3;
  static constexpr std::int64_t kLimitUnits = 2;

  World() : nodes_(kNodes) {
    views_.push_back({Nodes({0, 1, 2}), now_});
    for (std::size_t n = 0; n < kNodes; ++n) {
      Start(n);
      nodes_[n].ledger->SetView(ViewNumber(0), {}, {}, now_);
    }
  }

  /** Simulates one fault or a time without faults, chosen by the numbers. */
  void ApplyStep(std::uint32_t kind, std::uint32_t a, std::uint32_t b) {
    const std::size_t n = a % kNodes;
    random_.seed(a * 1000003 + b);
    switch (kind % 8) {
      case 0:
        nodes_[n].ledger.reset();
        break;
      case 1:
        if (!nodes_[n].ledger) {
          Start(n);
        }
        break;
      case 2:
        nodes_[n].paused_until = now_ + milliseconds(b % 20000);
        break;
      case 3:
        ChangeView(a);
        break;
      case 4:
        RunFor(seconds(b % 30));
        break;
      default:
        RunFor(milliseconds(b % 3000));
        break;
    }
  }

 private:
  struct Node {
    std::unique_ptr<SlotLedger> ledger;
    Incarnation incarnation;
    /** Number of the views in views_ that the node has adopted. */
    std::size_t view = 0;
    /** Highest view that each peer announced as adopted. */
    std::map<NodeId, std::uint64_t> announced_views;
    Time paused_until;
  };
  struct Use {
    std::size_t node = 0;
    Incarnation incarnation;
    UnitSource source;
    Time ends;
  };
  struct HeartbeatView {
    std::uint64_t view = 0;
  };
  struct Message {
    Time at;
    std::size_t from = 0;
    std::size_t to = 0;
    Incarnation incarnation;
    std::variant<HeartbeatView, BorrowRequest, LoanGrant, LoanReturn> body;
  };

  void Start(std::size_t n) {
    Node& node = nodes_[n];
    node = {};
    node.incarnation =
        Incarnation(static_cast<std::uint64_t>((now_ - Time()).count()) +
                    1'000'000 + starts_++);
    node.ledger =
        std::make_unique<SlotLedger>(Config(n, node.incarnation.value()), now_);
    node.ledger->SetResource(kMinion, Units(kSlots), DataCentreId("dc"),
                             Units(), now_);
    node.ledger->SetResource(kLimit, Units(kLimitUnits), DataCentreId(),
                             Units(), now_);
    if (now_ > Time()) {
      // A process that starts later reads the newest view from the log.
      node.view = views_.size();
      node.ledger->SetView(ViewNumber(node.view), views_.back().first, {},
                           now_);
    }
  }

  void ChangeView(std::uint32_t choice) {
    std::vector<std::size_t> members;
    for (std::size_t n = 0; n < kNodes; ++n) {
      if (((choice >> n) & 1U) != 0) {
        members.push_back(n);
      }
    }
    if (!members.empty()) {
      views_.push_back({Nodes(members), now_});
    }
  }

  void Adopt(Node& node) {
    do {
      node.view = std::min(node.view + 1, views_.size());
      std::set<NodeId> adopted;
      for (const auto& [id, view] : node.announced_views) {
        if (view >= node.view) {
          adopted.insert(id);
        }
      }
      node.ledger->SetView(ViewNumber(node.view), views_[node.view - 1].first,
                           adopted, now_);
    } while (node.view < views_.size());
  }

  /** Returns true while the node may use its units: within 10 s of the last
   * proof that its view is current, as Membership ensures. */
  bool Confirmed(const Node& node) const {
    return node.view == views_.size() ||
           now_ < views_[node.view].second + seconds(10);
  }

  void UseOwn(std::size_t n, std::uint32_t b) {
    Node& node = nodes_[n];
    const ResourceId& resource = b % 3 == 0 ? kLimit : kMinion;
    if (Confirmed(node) && node.ledger->OwnFree(resource) > Units()) {
      Begin(n, {resource, std::nullopt}, b);
    }
  }

  void UseBorrowed(std::size_t n, std::uint32_t b) {
    Node& node = nodes_[n];
    for (const auto& [key, loan] : node.ledger->incoming()) {
      for (const auto& [resource, units] : loan.units) {
        if (node.ledger->BorrowedFree(key, resource, now_) > Units()) {
          Begin(n, {resource, key}, b);
          return;
        }
      }
    }
  }

  void Begin(std::size_t n, const UnitSource& source, std::uint32_t b) {
    RC_ASSERT(nodes_[n].ledger->Use(source, now_));
    const Duration length = b % 2 == 0 ? kRequestTime : milliseconds(b % 5000);
    uses_.push_back({n, nodes_[n].incarnation, source, now_ + length});
    const auto used =
        std::count_if(uses_.begin(), uses_.end(), [&](const Use& it) {
          return it.source.resource == source.resource && it.ends > now_;
        });
    RC_ASSERT(used <= (source.resource == kMinion ? kSlots : kLimitUnits));
  }

  void Ask(std::size_t n, std::uint32_t b) {
    const std::size_t lender = (n + 1 + b % (kNodes - 1)) % kNodes;
    BorrowRequest ask;
    ask.id = nodes_[n].ledger->NextBorrow(NodeIdOf(lender), kQueue, now_);
    ask.queue = kQueue;
    ask.slots = Units(1 + b % 3);
    Send(n, lender, ask, b);
  }

  void Return(std::size_t n, std::uint32_t b) {
    for (const auto& [key, loan] : nodes_[n].ledger->incoming()) {
      nodes_[n].ledger->ReturnIdle(key, now_);
    }
    Flush(n, b);
  }

  /** Simulates a random action of a node that is not paused. */
  void RunNode(std::size_t n) {
    const auto b = static_cast<std::uint32_t>(random_() % 100000);
    switch (random_() % 12) {
      case 0:
      case 1:
        UseOwn(n, b);
        break;
      case 2:
      case 3:
        Ask(n, b);
        break;
      case 4:
      case 5:
      case 6:
        UseBorrowed(n, b);
        break;
      case 7:
        Heartbeat(n, b);
        break;
      case 8:
        if (b % 4 == 0) {
          Adopt(nodes_[n]);
        }
        break;
      case 9:
        if (b % 4 == 0) {
          Return(n, b);
        }
        break;
      default:
        break;
    }
  }

  void Heartbeat(std::size_t n, std::uint32_t b) {
    Node& node = nodes_[n];
    const std::uint64_t view = node.ledger->AnnouncedView(now_).value();
    for (std::size_t to = 0; to < kNodes; ++to) {
      Send(n, to, HeartbeatView{view}, b + static_cast<std::uint32_t>(to));
    }
  }

  template <typename Body>
  void Send(std::size_t from,
            std::size_t to,
            const Body& body,
            std::uint32_t b) {
    if (b % 7 == 3) {
      return;
    }
    const Duration delay =
        b % 4 == 0 ? milliseconds(b % 2500) : milliseconds(1);
    messages_.push_back(
        {now_ + delay, from, to, nodes_[from].incarnation, body});
    if (b % 5 == 1) {
      messages_.push_back({now_ + delay + milliseconds(b % 1900), from, to,
                           nodes_[from].incarnation, body});
    }
  }

  void Flush(std::size_t n, std::uint32_t b) {
    for (SendPeer& it : nodes_[n].ledger->TakeMessages()) {
      if (const auto* back = std::get_if<LoanReturn>(&it.message)) {
        Send(n, IndexOf(it.to), *back, b);
      }
    }
  }

  void RunFor(Duration duration) {
    const Time until = now_ + duration;
    while (now_ < until) {
      now_ = std::min(until, now_ + milliseconds(50));
      EndUses();
      const std::vector<Message> all = std::exchange(messages_, {});
      for (const Message& it : all) {
        Node& to = nodes_[it.to];
        if (it.at > now_ || (to.ledger && to.paused_until > now_)) {
          messages_.push_back(it);
        } else if (to.ledger) {
          Receive(it);
        }
      }
      for (std::size_t n = 0; n < kNodes; ++n) {
        if (nodes_[n].ledger && nodes_[n].paused_until <= now_) {
          nodes_[n].ledger->Advance(now_);
          Flush(n, 0);
          RunNode(n);
          RC_ASSERT(nodes_[n].ledger->TakeViolations().empty());
        }
      }
    }
  }

  void EndUses() {
    std::erase_if(uses_, [&](const Use& it) {
      Node& node = nodes_[it.node];
      const bool same = node.ledger && node.incarnation == it.incarnation;
      if (it.ends > now_ || (same && node.paused_until > now_)) {
        return false;
      }
      if (same) {
        node.ledger->Release(it.source);
      }
      return true;
    });
  }

  void Receive(const Message& message) {
    Node& node = nodes_[message.to];
    SlotLedger& ledger = *node.ledger;
    const baobab::NodeId from = NodeIdOf(message.from);
    if (const auto* view = std::get_if<HeartbeatView>(&message.body)) {
      auto& announced_views = node.announced_views[from];
      announced_views = std::max(announced_views, view->view);
      if (node.view > 0 && announced_views >= node.view) {
        ledger.SetView(ViewNumber(node.view), views_[node.view - 1].first,
                       {from}, now_);
      }
    } else if (const auto* ask = std::get_if<BorrowRequest>(&message.body)) {
      Lend(message, *ask);
    } else if (const auto* loan = std::get_if<LoanGrant>(&message.body)) {
      ledger.OnGrant(from, *loan, now_);
    } else if (const auto* back = std::get_if<LoanReturn>(&message.body)) {
      ledger.OnReturn(from, message.incarnation, *back);
    }
    Flush(message.to, static_cast<std::uint32_t>(messages_.size()));
  }

  void Lend(const Message& message, const BorrowRequest& ask) {
    Node& node = nodes_[message.to];
    SlotLedger& ledger = *node.ledger;
    if (!Confirmed(node)) {
      return;
    }
    const auto b =
        static_cast<std::uint32_t>(ask.id.value() + messages_.size());
    const baobab::NodeId from = NodeIdOf(message.from);
    const auto outgoing = ledger.outgoing();
    for (const auto& [id, loan] : outgoing) {
      if (loan.borrower == from && loan.incarnation == message.incarnation) {
        if (const auto grant = ledger.Grant(id, ask.id, now_)) {
          Send(message.to, message.from, *grant, b);
        }
      }
    }
    const ResourceId& resource = b % 3 == 0 ? kLimit : kMinion;
    const Units units = std::min(ask.slots, ledger.OwnFree(resource));
    if (units > Units()) {
      const auto loan = ledger.Lend(from, message.incarnation, kQueue,
                                    {resource, units}, now_);
      Send(message.to, message.from, *ledger.Grant(*loan, ask.id, now_), b + 1);
    }
  }

  static baobab::NodeId NodeIdOf(std::size_t n) {
    return baobab::NodeId("n" + std::to_string(n));
  }
  static std::size_t IndexOf(const baobab::NodeId& id) {
    return static_cast<std::size_t>(id.value().at(1) - '0');
  }

  Time now_;
  std::vector<Node> nodes_;
  std::vector<std::pair<std::vector<ViewNode>, Time>> views_;
  std::vector<Use> uses_;
  std::vector<Message> messages_;
  std::uint64_t starts_ = 0;
  std::mt19937 random_;
};

// Guards against more requests on a minion or under a limit than it has units,
// under any faults of messages, processes and views.
TEST(SlotLedger, UnitsAreNeverUsedTwice) {
  EXPECT_TRUE(rc::check("units are never used twice", [] {
    // The ranges depend on the size; a small one gives no faults. Shrinking
    // takes minutes and hardly shortens a sequence of faults.
    const auto steps = *rc::gen::noShrink(rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<
            std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>>>(
            80, rc::gen::tuple(rc::gen::inRange(0U, 8U),
                               rc::gen::inRange(0U, 1000U),
                               rc::gen::inRange(0U, 100000U)))));
    World world;
    for (const auto& [kind, a, b] : steps) {
      world.ApplyStep(kind, a, b);
    }
  }));
}

}  // namespace
}  // namespace baobab
