#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

#include "libdecision/fair_scheduler.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 4;
constexpr Duration kRequestTime = seconds(30);
const QueueId kCapped("deposit");
const QueueId kShared("reserve");
const QueueId kBatch("tours");
constexpr std::int64_t kLimit = 5;
constexpr std::int64_t kQuota = 7;
const char* const kMinions[] = {"m0", "m1"};

Table FleetTable() {
  Table table;
  const TeamId desk("desk");
  const TeamId agents("agents");
  table.teams[desk] = {desk, Units(kQuota)};
  table.teams[agents] = {agents, Units(1000)};
  const auto add = [&](const QueueId& id, const TeamId& team, Urgency urgency,
                       std::int64_t limit, Duration deadline) {
    table.queues[id] = {id,      ServiceId("s"), team,         PoolId("p"),
                        urgency, Weight(1),      Units(limit), deadline};
  };
  add(kCapped, desk, Urgency::kUrgent, kLimit, seconds(7));
  add(kShared, desk, Urgency::kUrgent, 1000, seconds(7));
  add(kBatch, agents, Urgency::kBatch, 1000, seconds(60));
  return table;
}

/** Simulation of the schedulers of several nodes over a network that loses,
 * repeats, delays and reorders messages. Requests continue when their node
 * dies. */
class Fleet {
 public:
  Fleet() : nodes_(kNodes) {
    AddView({0, 1, 2});
    for (std::size_t n = 0; n < kNodes; ++n) {
      Start(n);
      nodes_[n].scheduler->SetView(ViewNumber(0), {}, {}, now_);
    }
  }

  /** Simulates one fault or a time without faults, chosen by the numbers. */
  void ApplyStep(std::uint32_t kind, std::uint32_t a, std::uint32_t b) {
    const std::size_t n = a % kNodes;
    random_.seed(a * 1000003 + b);
    switch (kind) {
      case 0:
        nodes_[n].scheduler.reset();
        break;
      case 1:
        if (!nodes_[n].scheduler) {
          Start(n);
        }
        break;
      case 2:
        nodes_[n].paused_until = now_ + milliseconds(b % 20000);
        break;
      case 3: {
        std::vector<std::size_t> members;
        for (std::size_t it = 0; it < kNodes; ++it) {
          if (((a >> it) & 1U) != 0) {
            members.push_back(it);
          }
        }
        if (!members.empty()) {
          AddView(members);
        }
        break;
      }
      case 4:
        RunFor(seconds(b % 20));
        break;
      case 5:
        nodes_[n].log_cut_until = now_ + milliseconds(b % 60000);
        break;
      default:
        RunFor(milliseconds(b % 3000));
        break;
    }
  }

  /** Ends faults and arrivals; checks that every unit returns to its owner. */
  void HealAndCheck() {
    faults_ = false;
    for (std::size_t n = 0; n < kNodes; ++n) {
      nodes_[n].paused_until = now_;
      nodes_[n].log_cut_until = now_;
      if (!nodes_[n].scheduler) {
        Start(n);
      }
    }
    AddView({0, 1, 2, 3});
    RunFor(seconds(200));
    std::int64_t limit_units = 0;
    std::map<std::string, std::int64_t> slots;
    for (const Node& node : nodes_) {
      const SlotLedger& ledger = node.scheduler->ledger();
      RC_ASSERT(ledger.outgoing().empty());
      RC_ASSERT(node.scheduler->AnnouncedView(now_) ==
                ViewNumber(views_.size()));
      RC_ASSERT(node.scheduler->backlog_bytes() == Bytes());
      for (const QueueUsage& it : node.scheduler->QueueUsages()) {
        RC_ASSERT(it.waiting == 0);
        RC_ASSERT(it.in_flight == 0);
      }
      for (const char* it : kMinions) {
        slots[it] += ledger.OwnFree({ResourceKind::kMinionSlots, it}).value();
      }
      limit_units +=
          ledger.OwnFree({ResourceKind::kQueueLimit, kCapped.value()}).value();
    }
    for (const char* it : kMinions) {
      RC_ASSERT(slots[it] == kSlotsPerMinion.value());
    }
    RC_ASSERT(limit_units == kLimit);
  }

 private:
  struct Node {
    std::unique_ptr<FairScheduler> scheduler;
    Incarnation incarnation;
    std::size_t view = 0;
    /** Highest view that each peer announced as adopted. */
    std::map<NodeId, std::uint64_t> announced_views;
    Time paused_until;
    /** Until then the node reads no log, but its messages reach its peers. */
    Time log_cut_until;
  };
  struct Use {
    std::size_t node = 0;
    Incarnation incarnation;
    RequestStart start;
    Time ends;
  };
  struct Message {
    Time at;
    std::size_t from = 0;
    std::size_t to = 0;
    Incarnation incarnation;
    PeerMessage body;
  };

  static NodeId Id(std::size_t n) { return NodeId("n" + std::to_string(n)); }

  void AddView(const std::vector<std::size_t>& members) {
    std::vector<ViewNode> nodes;
    for (const std::size_t n : members) {
      nodes.push_back({Id(n), DataCentreId(n % 2 == 0 ? "dc0" : "dc1")});
    }
    views_.push_back({nodes, now_});
  }

  void Start(std::size_t n) {
    Node& node = nodes_[n];
    node = {};
    NodeConfig config;
    config.id = Id(n);
    config.incarnation =
        Incarnation(static_cast<std::uint64_t>((now_ - Time()).count()) +
                    1'000'000 + starts_++);
    config.request_timeout = kRequestTime;
    node.incarnation = config.incarnation;
    node.scheduler = std::make_unique<FairScheduler>(config, now_);
    node.scheduler->SetTable(FleetTable(), now_);
    std::vector<MinionEntry> minions;
    for (const char* it : kMinions) {
      minions.push_back({MinionId(it), ServiceId("s"), HostId(it), "",
                         DataCentreId(it[1] == '0' ? "dc0" : "dc1"), false});
    }
    node.scheduler->SetMinions(minions, now_);
    if (now_ > Time()) {
      node.view = views_.size();
      node.scheduler->SetView(ViewNumber(node.view), views_.back().first, {},
                              now_);
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
      node.scheduler->SetView(ViewNumber(node.view),
                              views_[node.view - 1].first, adopted, now_);
    } while (node.view < views_.size());
  }

  /** Returns true while the node may use its units: within 10 s of the last
   * proof that its view is current, as Membership ensures. */
  bool Confirmed(const Node& node) const {
    return node.view == views_.size() ||
           now_ < views_[node.view].second + seconds(10);
  }

  void Send(std::size_t from, std::size_t to, const PeerMessage& body) {
    const auto chance = random_() % 100;
    if (faults_ && chance < 12) {
      return;
    }
    const bool late = faults_ && random_() % 4 == 0;
    const Duration delay = milliseconds(late ? random_() % 2500 : 1);
    messages_.push_back(
        {now_ + delay, from, to, nodes_[from].incarnation, body});
    if (faults_ && chance > 80) {
      messages_.push_back({now_ + delay + milliseconds(random_() % 1900), from,
                           to, nodes_[from].incarnation, body});
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
        if (it.at > now_ || (to.scheduler && to.paused_until > now_)) {
          messages_.push_back(it);
        } else if (to.scheduler) {
          Receive(it);
        }
      }
      for (std::size_t n = 0; n < kNodes; ++n) {
        if (nodes_[n].scheduler && nodes_[n].paused_until <= now_) {
          RunNode(n);
        }
      }
    }
  }

  void Receive(const Message& message) {
    Node& node = nodes_[message.to];
    FairScheduler& scheduler = *node.scheduler;
    const NodeId from = Id(message.from);
    if (const auto* beat = std::get_if<Heartbeat>(&message.body)) {
      auto& announced_views = node.announced_views[from];
      announced_views = std::max(announced_views, beat->released_view.value());
      scheduler.SetPeerLoads(from, beat->loads);
      if (node.view > 0 && announced_views >= node.view) {
        scheduler.SetView(ViewNumber(node.view), views_[node.view - 1].first,
                          {from}, now_);
      }
    } else if (const auto* ask = std::get_if<BorrowRequest>(&message.body)) {
      scheduler.OnBorrow(from, message.incarnation, *ask, now_);
    } else if (const auto* loan = std::get_if<LoanGrant>(&message.body)) {
      scheduler.OnGrant(from, message.incarnation, *loan, now_);
    } else if (const auto* back = std::get_if<LoanReturn>(&message.body)) {
      scheduler.OnReturn(from, message.incarnation, *back, now_);
    }
  }

  void RunNode(std::size_t n) {
    Node& node = nodes_[n];
    FairScheduler& scheduler = *node.scheduler;
    if (node.view < views_.size() && now_ >= node.log_cut_until &&
        (!faults_ || random_() % 40 == 0)) {
      Adopt(node);
    }
    if (random_() % 20 == 0) {
      Heartbeat beat;
      beat.released_view = scheduler.AnnouncedView(now_);
      beat.loads = scheduler.Loads();
      for (std::size_t to = 0; to < kNodes; ++to) {
        if (to != n) {
          Send(n, to, beat);
        }
      }
    }
    for (int it = 0; faults_ && it < 3; ++it) {
      const QueueId* const queues[] = {&kCapped, &kShared, &kBatch};
      (void)scheduler.Admit({RequestId(++last_request_),
                             *queues[random_() % 3],
                             now_,
                             now_ + milliseconds(random_() % 20000),
                             Bytes(1000),
                             {}},
                            now_);
    }
    scheduler.Tick(now_);
    (void)scheduler.TakeExpired(now_);
    if (Confirmed(node)) {
      for (const RequestStart& it :
           scheduler.TakeStarts(now_, [](const MinionId&) { return true; })) {
        Begin(n, it);
      }
    }
    for (const SendPeer& it : scheduler.TakeMessages()) {
      Send(n, static_cast<std::size_t>(it.to.value().at(1) - '0'), it.message);
    }
    RC_ASSERT(scheduler.TakeViolations().empty());
  }

  void Begin(std::size_t n, const RequestStart& start) {
    const Duration length =
        random_() % 4 == 0 ? kRequestTime : milliseconds(random_() % 3000);
    uses_.push_back({n, nodes_[n].incarnation, start, now_ + length});
    const auto count = [&](auto same) {
      return std::count_if(uses_.begin(), uses_.end(), [&](const Use& it) {
        return it.ends > now_ && same(it.start);
      });
    };
    RC_ASSERT(count([&](const RequestStart& it) {
                return it.minion == start.minion;
              }) <= kSlotsPerMinion.value());
    RC_ASSERT(count([](const RequestStart& it) {
                return it.queue == kCapped;
              }) <= kLimit);
    RC_ASSERT(count([](const RequestStart& it) {
                return it.queue != kBatch;
              }) <= kQuota);
  }

  void EndUses() {
    std::erase_if(uses_, [&](const Use& it) {
      Node& node = nodes_[it.node];
      const bool same = node.scheduler && node.incarnation == it.incarnation;
      if (it.ends > now_ || (same && node.paused_until > now_)) {
        return false;
      }
      if (same) {
        node.scheduler->Finish(it.start.id, now_);
      }
      return true;
    });
  }

  Time now_;
  std::vector<Node> nodes_;
  std::vector<std::pair<std::vector<ViewNode>, Time>> views_;
  std::vector<Use> uses_;
  std::vector<Message> messages_;
  std::uint64_t starts_ = 0;
  std::uint64_t last_request_ = 0;
  bool faults_ = true;
  std::mt19937 random_;
};

// Guards against more requests on a minion, in a queue or of a team than it has
// units, and against units or requests that are lost, under any faults of
// messages, processes and views.
TEST(SchedulerFleet, CapsHoldAndUnitsComeBack) {
  EXPECT_TRUE(rc::check("caps hold and units come back", [] {
    // The ranges depend on the size; a small one gives no faults. Shrinking
    // takes minutes and hardly shortens a sequence of faults.
    const auto steps = *rc::gen::noShrink(rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<
            std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>>>(
            40, rc::gen::tuple(rc::gen::inRange(0U, 8U),
                               rc::gen::inRange(0U, 1000U),
                               rc::gen::inRange(0U, 100000U)))));
    Fleet fleet;
    for (const auto& [kind, a, b] : steps) {
      fleet.ApplyStep(kind, a, b);
    }
    fleet.HealAndCheck();
  }));
}

}  // namespace
}  // namespace baobab
