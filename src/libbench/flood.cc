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
constexpr Duration kHeartbeat = std::chrono::seconds(1);
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

enum class StepKind { kArrival, kAtMinion, kAnswer, kMessage, kTick, kBeat };

struct Step {
  Time at;
  std::uint64_t sequence = 0;
  StepKind kind = StepKind::kTick;
  std::size_t node = 0;
  RequestId request;
  /** Of kArrival: the queue; of kMessage: the sender. */
  std::size_t index = 0;
  std::shared_ptr<PeerMessage> message;

  bool operator>(const Step& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

class FloodRun {
 public:
  explicit FloodRun(const FloodCase& flood)
      : flood_(flood),
        table_(FloodTable(flood.services)),
        minions_(
            FloodMinions(flood.minions, flood.services, flood.data_centres)),
        view_(FloodNodes(flood.nodes, flood.data_centres)),
        begin_(Time() + flood.warm_up),
        end_(begin_ + flood.length) {}

  FloodResult Run() {
    MakeNodes();
    MakeQueues();
    while (!steps_.empty() && steps_.top().at < end_) {
      const Step step = steps_.top();
      steps_.pop();
      Execute(step);
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
    bool counted = false;
  };

  void MakeNodes() {
    for (std::size_t n = 0; n < view_.size(); ++n) {
      NodeConfig config;
      config.id = view_[n].id;
      config.incarnation = Incarnation(1'000'000 * (n + 1));
      config.data_centre = view_[n].data_centre;
      index_[config.id] = n;
      if (flood_.policy == FloodPolicy::kFair) {
        nodes_.push_back(
            MakeFairPolicy(config, table_, minions_, view_, Time()));
      } else {
        nodes_.push_back(MakeBaselinePolicy(
            config, table_, minions_,
            flood_.policy == FloodPolicy::kStrictPriority, flood_.seed + n));
      }
      incarnations_.push_back(config.incarnation);
      // Nodes do not tick at the same moment.
      Push({Time() + kTick * static_cast<int>(n) / flood_.nodes,
            0,
            StepKind::kTick,
            n,
            {},
            0,
            nullptr});
      Push({Time() + kHeartbeat * static_cast<int>(n) / flood_.nodes,
            0,
            StepKind::kBeat,
            n,
            {},
            0,
            nullptr});
      weights_.push_back(
          flood_.even ? 1.0 : 1.0 / static_cast<double>((n + 1) * (n + 1)));
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
          row.service == first && urgent == flood_.urgent_floods;
      queue.result.guaranteed_slots = slots[row.service] / 2;
      // Arrivals of a queue depend on the seed only, whatever the policy does.
      generators_.emplace_back(flood_.seed * 1000 + queues_.size());
      queues_.push_back(std::move(queue));
      NextArrival(queues_.size() - 1, Time());
    }
  }

  void NextArrival(std::size_t index, Time now) {
    const Queue& queue = queues_[index];
    const bool flood = queue.result.flooded && now >= begin_;
    std::exponential_distribution<double> gap(queue.rate *
                                              (flood ? flood_.factor : 1));
    const Time at = now + FromSeconds(gap(generators_[index]));
    Push({at, 0, StepKind::kArrival, 0, {}, index, nullptr});
  }

  void Push(Step step) {
    step.sequence = sequence_++;
    steps_.push(std::move(step));
  }

  void Execute(const Step& step) {
    const Time now = step.at;
    while (!ends_.empty() && ends_.top().first <= now) {
      --busy_[ends_.top().second];
      ends_.pop();
    }
    switch (step.kind) {
      case StepKind::kArrival:
        Arrive(step.index, now);
        return;
      case StepKind::kAtMinion:
        ReachMinion(step, now);
        return;
      case StepKind::kAnswer:
        Answer(step, now);
        break;
      case StepKind::kMessage:
        Deliver(step, now);
        break;
      case StepKind::kTick:
        if (FairScheduler* fair = nodes_[step.node]->Fair()) {
          fair->Tick(now);
        }
        Push({now + kTick, 0, StepKind::kTick, step.node, {}, 0, nullptr});
        break;
      case StepKind::kBeat:
        Beat(step.node, now);
        return;
    }
    Settle(step.node, now);
  }

  void Arrive(std::size_t index, Time now) {
    Queue& queue = queues_[index];
    std::mt19937_64& random = generators_[index];
    std::discrete_distribution<std::size_t> any(weights_.begin(),
                                                weights_.end());
    std::exponential_distribution<double> slot_time(1 /
                                                    Seconds(queue.slot_time));
    const std::size_t node = any(random);
    const RequestId id(++last_request_);
    Request request;
    request.queue = index;
    request.slot_time =
        std::min(FromSeconds(slot_time(random)), 10 * queue.slot_time);
    request.counted = now >= begin_;
    request.queued = {
        id, queue.row.id, now, now + queue.row.deadline, Bytes(2000), {}};
    if (request.counted) {
      queue.result.demand_slots += Seconds(request.slot_time);
    }
    NextArrival(index, now);
    if (nodes_[node]->Arrive(request.queued, now)) {
      requests_.emplace(id, std::move(request));
    } else {
      queue.result.refused += request.counted ? 1 : 0;
    }
    Settle(node, now);
  }

  void ReachMinion(const Step& step, Time now) {
    Request& request = requests_.at(step.request);
    std::int64_t& busy = busy_[request.minion];
    if (busy >= kSlotsPerMinion.value()) {
      ++overruns_;
      request.slot_time = -request.slot_time - Duration(1);
      Push({now + kMessageDelay, 0, StepKind::kAnswer, step.node, step.request,
            0, nullptr});
      return;
    }
    ++busy;
    if (now >= begin_) {
      queues_[request.queue].result.started_slots += Seconds(request.slot_time);
    }
    const Time done = now + request.slot_time;
    Push({done + kMessageDelay, 0, StepKind::kAnswer, step.node, step.request,
          0, nullptr});
    ends_.push({done, request.minion});
  }

  void Answer(const Step& step, Time now) {
    Request& request = requests_.at(step.request);
    if (request.slot_time < Duration::zero()) {
      request.slot_time = -request.slot_time - Duration(1);
      nodes_[step.node]->Refused(request.queued, request.minion, now);
      return;
    }
    Queue& queue = queues_[request.queue];
    const Time started = now - request.slot_time - 2 * kMessageDelay;
    if (started >= begin_) {
      ++starts_;
      queue.starts.push_back(started - request.queued.arrived);
    }
    nodes_[step.node]->Finish(step.request, now);
    requests_.erase(step.request);
  }

  void Deliver(const Step& step, Time now) {
    FairScheduler& to = *nodes_[step.node]->Fair();
    const NodeId& from = view_[step.index].id;
    const Incarnation incarnation = incarnations_[step.index];
    if (const auto* ask = std::get_if<BorrowRequest>(step.message.get())) {
      to.OnBorrow(from, incarnation, *ask, now);
    } else if (const auto* loan = std::get_if<LoanGrant>(step.message.get())) {
      to.OnGrant(from, incarnation, *loan, now);
    } else if (const auto* back = std::get_if<LoanReturn>(step.message.get())) {
      to.OnReturn(from, incarnation, *back, now);
    }
  }

  void Beat(std::size_t node, Time now) {
    Push({now + kHeartbeat, 0, StepKind::kBeat, node, {}, 0, nullptr});
    FairScheduler* fair = nodes_[node]->Fair();
    if (fair == nullptr) {
      return;
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (n != node && view_[n].data_centre == view_[node].data_centre) {
        nodes_[n]->Fair()->SetPeerLoads(view_[node].id, fair->Loads());
      }
    }
  }

  void Settle(std::size_t node, Time now) {
    NodePolicy& policy = *nodes_[node];
    for (const RequestId& id : policy.Expired(now)) {
      const Request& request = requests_.at(id);
      queues_[request.queue].result.refused += request.counted ? 1 : 0;
      requests_.erase(id);
    }
    for (const RequestStart& it : policy.Starts(now)) {
      Request& request = requests_.at(it.id);
      request.minion = it.minion;
      Push({now + kMessageDelay, 0, StepKind::kAtMinion, node, it.id, 0,
            nullptr});
    }
    backlog_peak_ = std::max(backlog_peak_, policy.Backlog());
    if (FairScheduler* fair = policy.Fair()) {
      for (SendPeer& it : fair->TakeMessages()) {
        messages_ += now >= begin_ ? 1 : 0;
        Push({now + kMessageDelay,
              0,
              StepKind::kMessage,
              index_.at(it.to),
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
  Time begin_;
  Time end_;
  std::vector<std::unique_ptr<NodePolicy>> nodes_;
  std::vector<Incarnation> incarnations_;
  std::map<NodeId, std::size_t> index_;
  std::vector<double> weights_;
  std::vector<Queue> queues_;
  std::vector<std::mt19937_64> generators_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_request_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  std::map<MinionId, std::int64_t> busy_;
  std::priority_queue<std::pair<Time, MinionId>,
                      std::vector<std::pair<Time, MinionId>>,
                      std::greater<>>
      ends_;
  std::int64_t overruns_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t messages_ = 0;
  std::int64_t violations_ = 0;
  Bytes backlog_peak_;
};

}  // namespace

double FloodQueueResult::Goodput() const {
  const double due = std::min(demand_slots, guaranteed_slots);
  return due == 0 ? 1 : started_slots / due;
}

double FloodResult::WorstOtherGoodput() const {
  double worst = std::numeric_limits<double>::infinity();
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded) {
      worst = std::min(worst, it.Goodput());
    }
  }
  return worst;
}

Duration FloodResult::UrgentWorst() const {
  Duration worst{0};
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded && it.urgency == Urgency::kUrgent) {
      worst = std::max(worst, it.start_worst);
    }
  }
  return worst;
}

Duration FloodResult::UrgentP99() const {
  Duration worst{0};
  for (const FloodQueueResult& it : queues) {
    if (!it.flooded && it.urgency == Urgency::kUrgent) {
      worst = std::max(worst, it.start_p99);
    }
  }
  return worst;
}

FloodResult RunFlood(const FloodCase& flood) {
  return FloodRun(flood).Run();
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
    // Sorted by id, as a view is.
    const std::string number = std::to_string(100 + n);
    result.push_back({NodeId("n" + number),
                      DataCentreId("dc" + std::to_string(n % data_centres))});
  }
  return result;
}

}  // namespace baobab
