#include "libbench/flood.h"

#include <algorithm>
#include <limits>
#include <queue>
#include <random>
#include <unordered_map>

#include "libbench/node_policy.h"

namespace baobab {
namespace {

constexpr Duration kMessageDelay = std::chrono::milliseconds(1);
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr Duration kUrgentSlotTime = std::chrono::milliseconds(100);
constexpr Duration kBatchSlotTime = std::chrono::milliseconds(500);
constexpr double kUrgentLoad = 0.25;
constexpr double kBatchLoad = 0.45;
constexpr Duration kUrgentDeadline = std::chrono::milliseconds(7300);
constexpr Duration kBatchDeadline = std::chrono::seconds(60);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

enum class SimEventKind {
  kArrival,
  kRequestAtMinion,
  kResponse,
  kMessage,
  kTick,
  kSendHeartbeat
};

/** An event of the simulation, ordered by time, then by sequence. */
struct SimEvent {
  Time at;
  std::uint64_t sequence = 0;
  SimEventKind kind = SimEventKind::kTick;
  std::size_t node = 0;
  RequestId request;
  /** For kArrival the index of the queue, for kMessage that of the sender. */
  std::size_t index = 0;
  std::shared_ptr<PeerMessage> message;

  bool operator>(const SimEvent& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

/** Discrete-event simulation of one FloodCase. */
class FloodSimulation {
 public:
  explicit FloodSimulation(const FloodCase& flood)
      : flood_(flood),
        table_(FloodTable(flood.services)),
        minions_(
            FloodMinions(flood.minions, flood.services, flood.data_centres)),
        view_(FloodNodes(flood.nodes, flood.data_centres)),
        flood_start_(Time() + flood.warm_up),
        flood_end_(flood_start_ + flood.length) {}

  FloodResult Run() {
    MakeNodes();
    MakeQueues();
    while (!events_.empty() && events_.top().at < flood_end_) {
      const SimEvent event = events_.top();
      events_.pop();
      Execute(event);
    }
    return Result();
  }

 private:
  struct Queue {
    QueueRow row;
    Duration slot_time{0};
    double rate = 0;
    FloodQueueResult result;
    std::vector<Duration> starts;
  };
  struct Request {
    QueuedRequest queued;
    std::size_t queue = 0;
    Duration slot_time{0};
    MinionId minion;
    bool arrived_in_flood = false;
  };

  void MakeNodes() {
    for (std::size_t n = 0; n < view_.size(); ++n) {
      NodeConfig config;
      config.id = view_[n].id;
      config.incarnation = Incarnation(1'000'000 * (n + 1));
      config.data_centre = view_[n].data_centre;
      node_index_[config.id] = n;
      if (flood_.policy == FloodPolicy::kFair) {
        nodes_.push_back(
            MakeFairPolicy(config, table_, minions_, view_, Time()));
      } else {
        nodes_.push_back(MakeBaselinePolicy(
            config, table_, minions_,
            flood_.policy == FloodPolicy::kStrictPriority, flood_.seed + n));
      }
      incarnations_.push_back(config.incarnation);
      // Staggers the ticks, as nodes are independent processes.
      Push({Time() + kTick * static_cast<int>(n) / flood_.nodes,
            0,
            SimEventKind::kTick,
            n,
            {},
            0,
            nullptr});
      Push({Time() + kHeartbeatInterval * static_cast<int>(n) / flood_.nodes,
            0,
            SimEventKind::kSendHeartbeat,
            n,
            {},
            0,
            nullptr});
      node_weights_.push_back(
          flood_.even_spread ? 1.0
                             : 1.0 / static_cast<double>((n + 1) * (n + 1)));
    }
  }

  void MakeQueues() {
    std::map<ServiceId, double> slots;
    for (const MinionEntry& it : minions_) {
      slots[it.service] += static_cast<double>(kSlotsPerMinion.value());
    }
    const ServiceId first = table_.queues.begin()->second.service;
    for (const auto& [id, row] : table_.queues) {
      const bool urgent = row.urgency == Urgency::kUrgent;
      Queue queue;
      queue.row = row;
      queue.slot_time = urgent ? kUrgentSlotTime : kBatchSlotTime;
      queue.rate = slots[row.service] * (urgent ? kUrgentLoad : kBatchLoad) /
                   Seconds(queue.slot_time);
      queue.result.queue = id;
      queue.result.urgency = row.urgency;
      queue.result.flooded =
          row.service == first && urgent == flood_.flood_urgent_queue;
      queue.result.guaranteed_slots = slots[row.service] / 2;
      // A generator for each queue, so that its arrivals depend only on the
      // seed and not on the policy.
      generators_.emplace_back(flood_.seed * 1000 + queues_.size());
      queues_.push_back(std::move(queue));
      NextArrival(queues_.size() - 1, Time());
    }
  }

  void NextArrival(std::size_t index, Time now) {
    const Queue& queue = queues_[index];
    const bool flood = queue.result.flooded && now >= flood_start_;
    std::exponential_distribution<double> gap(
        queue.rate * (flood ? flood_.flood_factor : 1));
    const Time at = now + FromSeconds(gap(generators_[index]));
    Push({at, 0, SimEventKind::kArrival, 0, {}, index, nullptr});
  }

  void Push(SimEvent event) {
    event.sequence = sequence_++;
    events_.push(std::move(event));
  }

  void Execute(const SimEvent& event) {
    const Time now = event.at;
    while (!slot_releases_.empty() && slot_releases_.top().first <= now) {
      --busy_slots_[slot_releases_.top().second];
      slot_releases_.pop();
    }
    switch (event.kind) {
      case SimEventKind::kArrival:
        OnArrival(event.index, now);
        return;
      case SimEventKind::kRequestAtMinion:
        OnRequestAtMinion(event, now);
        return;
      case SimEventKind::kResponse:
        OnResponse(event, now);
        break;
      case SimEventKind::kMessage:
        DeliverMessage(event, now);
        break;
      case SimEventKind::kTick:
        if (FairScheduler* fair = nodes_[event.node]->GetFairScheduler()) {
          fair->Tick(now);
        }
        Push({now + kTick, 0, SimEventKind::kTick, event.node, {}, 0, nullptr});
        break;
      case SimEventKind::kSendHeartbeat:
        SendHeartbeat(event.node, now);
        return;
    }
    ApplyDecisions(event.node, now);
  }

  void OnArrival(std::size_t index, Time now) {
    Queue& queue = queues_[index];
    std::mt19937_64& random = generators_[index];
    std::discrete_distribution<std::size_t> any(node_weights_.begin(),
                                                node_weights_.end());
    std::exponential_distribution<double> slot_time(1 /
                                                    Seconds(queue.slot_time));
    const std::size_t node = any(random);
    const RequestId id(++last_request_);
    Request request;
    request.queue = index;
    request.slot_time =
        std::min(FromSeconds(slot_time(random)), 10 * queue.slot_time);
    request.arrived_in_flood = now >= flood_start_;
    request.queued = {
        id, queue.row.id, now, now + queue.row.deadline, Bytes(2000), {}};
    if (request.arrived_in_flood) {
      queue.result.demand_slots += Seconds(request.slot_time);
    }
    NextArrival(index, now);
    if (nodes_[node]->OnArrival(request.queued, now)) {
      requests_.emplace(id, std::move(request));
    } else {
      queue.result.refused += request.arrived_in_flood ? 1 : 0;
    }
    ApplyDecisions(node, now);
  }

  void OnRequestAtMinion(const SimEvent& event, Time now) {
    Request& request = requests_.at(event.request);
    std::int64_t& busy_slots = busy_slots_[request.minion];
    if (busy_slots >= kSlotsPerMinion.value()) {
      ++overruns_;
      request.slot_time = -request.slot_time - Duration(1);
      Push({now + kMessageDelay, 0, SimEventKind::kResponse, event.node,
            event.request, 0, nullptr});
      return;
    }
    ++busy_slots;
    if (now >= flood_start_) {
      queues_[request.queue].result.started_slots += Seconds(request.slot_time);
    }
    const Time done = now + request.slot_time;
    Push({done + kMessageDelay, 0, SimEventKind::kResponse, event.node,
          event.request, 0, nullptr});
    slot_releases_.push({done, request.minion});
  }

  void OnResponse(const SimEvent& event, Time now) {
    Request& request = requests_.at(event.request);
    if (request.slot_time < Duration::zero()) {
      request.slot_time = -request.slot_time - Duration(1);
      nodes_[event.node]->OnRefusedByMinion(request.queued, request.minion,
                                            now);
      return;
    }
    Queue& queue = queues_[request.queue];
    const Time started = now - request.slot_time - 2 * kMessageDelay;
    if (started >= flood_start_) {
      ++starts_;
      queue.starts.push_back(started - request.queued.arrived);
    }
    nodes_[event.node]->Finish(event.request, now);
    requests_.erase(event.request);
  }

  void DeliverMessage(const SimEvent& event, Time now) {
    FairScheduler& to = *nodes_[event.node]->GetFairScheduler();
    const NodeId& from = view_[event.index].id;
    const Incarnation incarnation = incarnations_[event.index];
    if (const auto* borrow = std::get_if<BorrowRequest>(event.message.get())) {
      to.OnBorrow(from, incarnation, *borrow, now);
    } else if (const auto* loan = std::get_if<LoanGrant>(event.message.get())) {
      to.OnGrant(from, incarnation, *loan, now);
    } else if (const auto* back =
                   std::get_if<LoanReturn>(event.message.get())) {
      to.OnReturn(from, incarnation, *back, now);
    }
  }

  void SendHeartbeat(std::size_t node, Time now) {
    Push({now + kHeartbeatInterval,
          0,
          SimEventKind::kSendHeartbeat,
          node,
          {},
          0,
          nullptr});
    FairScheduler* fair = nodes_[node]->GetFairScheduler();
    if (fair == nullptr) {
      return;
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (n != node && view_[n].data_centre == view_[node].data_centre) {
        nodes_[n]->GetFairScheduler()->SetPeerLoads(view_[node].id,
                                                    fair->Loads());
      }
    }
  }

  void ApplyDecisions(std::size_t node, Time now) {
    NodePolicy& policy = *nodes_[node];
    for (const RequestId& id : policy.DropExpired(now)) {
      const Request& request = requests_.at(id);
      queues_[request.queue].result.refused += request.arrived_in_flood ? 1 : 0;
      requests_.erase(id);
    }
    for (const RequestStart& it : policy.StartReady(now)) {
      Request& request = requests_.at(it.id);
      request.minion = it.minion;
      Push({now + kMessageDelay, 0, SimEventKind::kRequestAtMinion, node, it.id,
            0, nullptr});
    }
    backlog_peak_ = std::max(backlog_peak_, policy.BacklogBytes());
    if (FairScheduler* fair = policy.GetFairScheduler()) {
      for (SendPeer& it : fair->TakeMessages()) {
        messages_ += now >= flood_start_ ? 1 : 0;
        Push({now + kMessageDelay,
              0,
              SimEventKind::kMessage,
              node_index_.at(it.to),
              {},
              node,
              std::make_shared<PeerMessage>(std::move(it.message))});
      }
      violations_ += static_cast<std::int64_t>(fair->TakeViolations().size());
    }
  }

  FloodResult Result() {
    FloodResult result;
    for (Queue& it : queues_) {
      it.result.demand_slots /= Seconds(flood_.length);
      it.result.started_slots /= Seconds(flood_.length);
      if (!it.starts.empty()) {
        std::sort(it.starts.begin(), it.starts.end());
        it.result.start_p99 = it.starts[it.starts.size() * 99 / 100];
        it.result.start_worst = it.starts.back();
      }
      result.queues.push_back(it.result);
    }
    result.overruns = overruns_;
    result.starts = starts_;
    result.backlog_peak = backlog_peak_;
    result.messages =
        static_cast<double>(messages_) / Seconds(flood_.length) / flood_.nodes;
    result.violations = violations_;
    return result;
  }

  FloodCase flood_;
  Table table_;
  std::vector<MinionEntry> minions_;
  std::vector<ViewNode> view_;
  Time flood_start_;
  Time flood_end_;
  std::vector<std::unique_ptr<NodePolicy>> nodes_;
  std::vector<Incarnation> incarnations_;
  std::map<NodeId, std::size_t> node_index_;
  std::vector<double> node_weights_;
  std::vector<Queue> queues_;
  std::vector<std::mt19937_64> generators_;
  std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_request_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  std::map<MinionId, std::int64_t> busy_slots_;
  std::priority_queue<std::pair<Time, MinionId>,
                      std::vector<std::pair<Time, MinionId>>,
                      std::greater<>>
      slot_releases_;
  std::int64_t overruns_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t messages_ = 0;
  std::int64_t violations_ = 0;
  Bytes backlog_peak_;
};

}  // namespace

double FloodQueueResult::Goodput() const {
  const double entitled_slots = std::min(demand_slots, guaranteed_slots);
  return entitled_slots == 0 ? 1 : started_slots / entitled_slots;
}

double FloodResult::WorstUnfloodedGoodput() const {
  double worst = std::numeric_limits<double>::infinity();
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded) {
      worst = std::min(worst, it.Goodput());
    }
  }
  return worst;
}

Duration FloodResult::WorstUrgentStart() const {
  Duration worst{0};
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded && it.urgency == Urgency::kUrgent) {
      worst = std::max(worst, it.start_worst);
    }
  }
  return worst;
}

Duration FloodResult::UrgentStartP99() const {
  Duration worst{0};
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded && it.urgency == Urgency::kUrgent) {
      worst = std::max(worst, it.start_p99);
    }
  }
  return worst;
}

FloodResult RunFlood(const FloodCase& flood) {
  return FloodSimulation(flood).Run();
}

Table FloodTable(int services) {
  Table table;
  const TeamId team("team");
  table.teams[team] = {team, Units(1 << 20)};
  const PoolId pool("pool");
  table.pools[pool] = {pool, Weight(1), HostCount(1000), HostCount(0),
                       HostCount(1)};
  for (int n = 0; n < services; ++n) {
    const ServiceId service("service" + std::to_string(n));
    const QueueId urgent(service.value() + "-urgent");
    const QueueId batch(service.value() + "-batch");
    const Units limit(1 << 20);
    table.queues[urgent] = {urgent, service,          team,
                            pool,   Urgency::kUrgent, Weight(1),
                            limit,  kUrgentDeadline};
    table.queues[batch] = {batch,           service,   team,  pool,
                           Urgency::kBatch, Weight(1), limit, kBatchDeadline};
  }
  return table;
}

std::vector<MinionEntry> FloodMinions(int minions,
                                      int services,
                                      int data_centres) {
  std::vector<MinionEntry> result;
  for (int n = 0; n < minions; ++n) {
    const std::string number = std::to_string(n);
    result.push_back(
        {MinionId("m" + number),
         ServiceId("service" + std::to_string(n % services)),
         HostId("h" + number), "127.0.0.1:" + std::to_string(10000 + n),
         DataCentreId("dc" + std::to_string(n / services % data_centres)),
         false});
  }
  return result;
}

std::vector<ViewNode> FloodNodes(int nodes, int data_centres) {
  std::vector<ViewNode> result;
  for (int n = 0; n < nodes; ++n) {
    // Numbers of three digits keep the nodes sorted by id, as in a real view.
    const std::string number = std::to_string(100 + n);
    result.push_back({NodeId("n" + number),
                      DataCentreId("dc" + std::to_string(n % data_centres))});
  }
  return result;
}

}  // namespace baobab
