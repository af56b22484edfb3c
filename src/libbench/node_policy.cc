#include "libbench/node_policy.h"

#include <algorithm>
#include <unordered_map>

namespace baobab {
namespace {

class FairPolicy : public NodePolicy {
 public:
  FairPolicy(const NodeConfig& config,
             const Table& table,
             const std::vector<MinionEntry>& all_minions,
             const std::vector<ViewNode>& view,
             Time now)
      : scheduler_(config, now) {
    std::set<NodeId> adopted;
    for (const ViewNode& it : view) {
      adopted.insert(it.id);
    }
    scheduler_.SetTable(table, now);
    scheduler_.SetMinions(all_minions, now);
    scheduler_.SetView(ViewNumber(0), {}, {}, now);
    scheduler_.SetView(ViewNumber(1), view, adopted, now);
  }

  bool OnArrival(const QueuedRequest& request, Time now) override {
    return scheduler_.Admit(request, now).has_value();
  }
  std::vector<RequestStart> StartReady(Time now) override {
    return scheduler_.TakeStarts(now, [](const MinionId&) { return true; });
  }
  std::vector<RequestId> DropExpired(Time now) override {
    std::vector<RequestId> ids;
    for (const RefusedRequest& it : scheduler_.TakeExpired(now)) {
      ids.push_back(it.id);
    }
    return ids;
  }
  void Finish(RequestId id, Time now) override { scheduler_.Finish(id, now); }
  void OnRefusedByMinion(const QueuedRequest& request,
                         const MinionId& minion,
                         Time now) override {
    scheduler_.Finish(request.id, now);
    QueuedRequest retry = request;
    retry.avoid.push_back(minion);
    (void)scheduler_.Admit(retry, now);
  }
  Bytes BacklogBytes() const override { return scheduler_.backlog_bytes(); }
  FairScheduler* GetFairScheduler() override { return &scheduler_; }

 private:
  FairScheduler scheduler_;
};

class BaselinePolicy : public NodePolicy {
 public:
  BaselinePolicy(const NodeConfig& config,
                 const Table& table,
                 const std::vector<MinionEntry>& all_minions,
                 bool strict_priority,
                 std::uint64_t seed)
      : config_(config),
        table_(table),
        strict_priority_(strict_priority),
        random_(seed) {
    for (const MinionEntry& it : all_minions) {
      services_[it.service].minions.push_back(it.id);
    }
  }

  bool OnArrival(const QueuedRequest& request, Time /*now*/) override {
    const auto max_waiting = config_.backlog_requests *
                             static_cast<std::int64_t>(table_.queues.size());
    if (static_cast<std::int64_t>(waiting_.size()) >= max_waiting ||
        bytes_ + request.size > config_.backlog_bytes) {
      return false;
    }
    Enqueue(request, false);
    return true;
  }

  std::vector<RequestStart> StartReady(Time now) override {
    std::vector<RequestStart> starts;
    for (auto& [id, service] : services_) {
      for (std::deque<RequestId>& queue : service.queues) {
        while (!queue.empty() && now >= service.retry_at) {
          const RequestId head = queue.front();
          const auto it = waiting_.find(head);
          if (it == waiting_.end()) {
            queue.pop_front();
            continue;
          }
          const MinionId minion = ChooseMinion(service);
          if (in_flight_[minion] >= kSlotsPerMinion.value()) {
            break;
          }
          queue.pop_front();
          ++in_flight_[minion];
          starts.push_back({head, it->second.queue, minion});
          running_[head] = minion;
          Remove(head);
        }
      }
    }
    return starts;
  }

  std::vector<RequestId> DropExpired(Time now) override {
    std::vector<RequestId> ids;
    while (!expiry_.empty() && expiry_.begin()->first < now) {
      ids.push_back(expiry_.begin()->second);
      Remove(ids.back());
    }
    return ids;
  }

  void Finish(RequestId id, Time /*now*/) override {
    const auto it = running_.find(id);
    --in_flight_[it->second];
    running_.erase(it);
  }

  void OnRefusedByMinion(const QueuedRequest& request,
                         const MinionId& /*minion*/,
                         Time now) override {
    Finish(request.id, now);
    Enqueue(request, true);
    // Backoff, so that full minions are not tried again immediately.
    services_[table_.queues.at(request.queue).service].retry_at =
        now + std::chrono::milliseconds(5);
  }

  Bytes BacklogBytes() const override { return bytes_; }

 private:
  struct Service {
    std::vector<MinionId> minions;
    /** Urgent and batch with strict priority; only the first with FIFO. */
    std::deque<RequestId> queues[2];
    Time retry_at;
  };

  void Enqueue(const QueuedRequest& request, bool front) {
    const QueueRow& row = table_.queues.at(request.queue);
    const bool second = strict_priority_ && row.urgency == Urgency::kBatch;
    std::deque<RequestId>& queue =
        services_[row.service].queues[second ? 1 : 0];
    if (front) {
      queue.push_front(request.id);
    } else {
      queue.push_back(request.id);
    }
    waiting_[request.id] = request;
    expiry_.insert({request.start_by, request.id});
    bytes_ += request.size;
  }

  void Remove(RequestId id) {
    const auto it = waiting_.find(id);
    bytes_ -= it->second.size;
    expiry_.erase({it->second.start_by, id});
    waiting_.erase(it);
  }

  MinionId ChooseMinion(const Service& service) {
    std::uniform_int_distribution<std::size_t> any(0,
                                                   service.minions.size() - 1);
    const MinionId& a = service.minions[any(random_)];
    const MinionId& b = service.minions[any(random_)];
    return in_flight_[a] <= in_flight_[b] ? a : b;
  }

  NodeConfig config_;
  Table table_;
  bool strict_priority_;
  std::mt19937_64 random_;
  std::map<ServiceId, Service> services_;
  std::unordered_map<MinionId, std::int64_t> in_flight_;
  std::unordered_map<RequestId, QueuedRequest> waiting_;
  std::set<std::pair<Time, RequestId>> expiry_;
  std::unordered_map<RequestId, MinionId> running_;
  Bytes bytes_;
};

}  // namespace

std::unique_ptr<NodePolicy> MakeFairPolicy(
    const NodeConfig& config,
    const Table& table,
    const std::vector<MinionEntry>& all_minions,
    const std::vector<ViewNode>& view,
    Time now) {
  return std::make_unique<FairPolicy>(config, table, all_minions, view, now);
}

std::unique_ptr<NodePolicy> MakeBaselinePolicy(
    const NodeConfig& config,
    const Table& table,
    const std::vector<MinionEntry>& all_minions,
    bool strict_priority,
    std::uint64_t seed) {
  return std::make_unique<BaselinePolicy>(config, table, all_minions,
                                          strict_priority, seed);
}

}  // namespace baobab
