#include "libdecision/fair_scheduler.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** Retry-After where the time until a start is not known. */
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/** Minimum number of slot time samples for a refusal by estimate; the mean of
 * fewer is too inaccurate. */
constexpr std::int64_t kMinEstimateSamples = 8;

/** Factor on the estimated waiting time before it is compared with start_by.
 * Allows for the error of a mean over 32 slot times that vary widely, since a
 * late refusal by TakeExpired() costs less than a wrong refusal. */
constexpr double kEstimateMargin = 0.75;

/** The first request of a queue that may wait longer than kBorrowDelayThreshold
 * waits kBorrowDelay for a local unit before peers are asked, which saves a
 * quarter of the messages at normal load. */
constexpr Duration kBorrowDelayThreshold = std::chrono::seconds(10);
constexpr Duration kBorrowDelay = std::chrono::milliseconds(300);

/** Time for the few rounds of messages after which a queue has borrowed what it
 * can get. */
constexpr Duration kBorrowSettleTime = std::chrono::seconds(1);

}  // namespace

FairScheduler::FairScheduler(const NodeConfig& config, Time started)
    : config_(config),
      ledger_(config, started),
      backlog_(config.backlog_bytes) {}

FairScheduler::~FairScheduler() = default;

tl::expected<void, Refusal> FairScheduler::Admit(const QueuedRequest& request,
                                                 Time now) {
  const auto refuse = [](Reason reason) {
    return tl::unexpected(Refusal{reason, kDefaultRetryAfter});
  };
  if (waiting_.contains(request.id) || running_.contains(request.id)) {
    violations_.push_back({"admit request", "",
                           "request " + std::to_string(request.id.value()) +
                               " is already admitted"});
    return refuse(Reason::kCannotStartInTime);
  }
  if (stopping_) {
    return refuse(Reason::kStopping);
  }
  if (!has_table_) {
    return refuse(Reason::kNoTable);
  }
  FairQueue* queue = FindQueue(request.queue);
  if (queue == nullptr) {
    return refuse(Reason::kUnknownQueue);
  }
  Service& service = *ServiceOf(*queue);
  if (request.start_by < now) {
    return refuse(Reason::kDeadlinePassed);
  }
  if (service.minions.empty()) {
    return refuse(Reason::kNoMinion);
  }
  if (queue->row.limit <= Units()) {
    return refuse(Reason::kOverLimit);
  }
  const auto team = table_.teams.find(queue->row.team);
  if (team == table_.teams.end() || team->second.quota <= Units()) {
    return refuse(Reason::kOverQuota);
  }
  if (static_cast<std::int64_t>(queue->waiting.size()) >=
          config_.backlog_requests ||
      !backlog_.Fits(request.queue, request.size)) {
    return refuse(Reason::kBacklogFull);
  }
  if (auto refusal = EstimateRefusal(service, *queue, request, now)) {
    return tl::unexpected(*refusal);
  }
  if (queue->waiting.empty()) {
    queue->waiting_since = now;
    queue->shortage = Shortage::kNone;
    if (request.start_by - now > kBorrowDelayThreshold) {
      queue->next_borrow_at =
          std::max(queue->next_borrow_at, now + kBorrowDelay);
    }
  }
  queue->waiting.insert({request.start_by, request.id});
  waiting_.emplace(request.id, request);
  expiry_.insert({request.start_by, request.id});
  backlog_.Add(request.queue, request.size);
  ++service.waiting;
  UpdateActive(service, *queue);
  dirty_services_.insert(queue->row.service);
  return {};
}

void FairScheduler::Withdraw(RequestId id) {
  const auto it = waiting_.find(id);
  if (it == waiting_.end()) {
    return;
  }
  const QueuedRequest request = std::move(it->second);
  FairQueue& queue = *FindQueue(request.queue);
  RemoveWaiting(queue, request);
  dirty_services_.insert(queue.row.service);
}

std::vector<RefusedRequest> FairScheduler::TakeExpired(Time now) {
  ExpireWaiting(now);
  return std::exchange(refused_, {});
}

void FairScheduler::ExpireWaiting(Time now) {
  while (!expiry_.empty() && expiry_.begin()->first < now) {
    const RequestId id = expiry_.begin()->second;
    const QueuedRequest request = waiting_.at(id);
    FairQueue& queue = *FindQueue(request.queue);
    refused_.push_back({id, {Reason::kDeadlinePassed, kDefaultRetryAfter}});
    RemoveWaiting(queue, request);
    dirty_services_.insert(queue.row.service);
  }
}

void FairScheduler::Finish(RequestId id, Time now) {
  const auto it = running_.find(id);
  if (it == running_.end()) {
    return;
  }
  const RunningRequest run = std::move(it->second);
  running_.erase(it);
  ReleaseUnits(run);
  FairQueue* queue = FindQueue(run.queue);
  if (queue != nullptr) {
    Service& service = *ServiceOf(*queue);
    queue->UpdatePeak(now);
    queue->in_flight = std::max<std::int64_t>(queue->in_flight - 1, 0);
    queue->AddSample(now - run.started);
    Charge(service, *queue, now - run.started - run.charged);
    UpdateLongRunning(service, *queue);
    dirty_services_.insert(queue->row.service);
  }
  for (const UnitSource& source : run.sources) {
    if (!source.loan) {
      if (source.resource.kind == ResourceKind::kMinionSlots &&
          queue != nullptr) {
        queue->own_slots = std::max<std::int64_t>(queue->own_slots - 1, 0);
      }
      continue;
    }
    const IncomingLoan& loan = ledger_.incoming().at(*source.loan);
    if (queue == nullptr || queue->waiting.empty() || now >= loan.expires) {
      ledger_.ReturnIdle(*source.loan, now);
    }
  }
}

void FairScheduler::SetTable(const Table& table, Time now) {
  table_ = table;
  has_table_ = true;
  Rebuild(now);
}

void FairScheduler::SetMinions(const std::vector<MinionEntry>& minions,
                               Time now) {
  if (minions == minion_list_) {
    return;
  }
  minion_list_ = minions;
  std::map<MinionId, Minion> before = std::exchange(minions_, {});
  for (const MinionEntry& it : minions) {
    const ResourceId resource{ResourceKind::kMinionSlots, it.id.value()};
    minions_[it.id] = {it, resource, 0, 0};
    before.erase(it.id);
  }
  for (const auto& [id, minion] : before) {
    ledger_.SetResource(minion.resource, Units(), DataCentreId(), Units(), now);
  }
  Rebuild(now);
}

void FairScheduler::SetView(ViewNumber number,
                            const std::vector<ViewNode>& nodes,
                            const std::set<NodeId>& adopted,
                            Time now) {
  ledger_.SetView(number, nodes, adopted, now);
  OnUnitsFreed(ledger_.Advance(now));
  RefreshUnits();
}

ViewNumber FairScheduler::AnnouncedView(Time now) const {
  return ledger_.AnnouncedView(now);
}

std::vector<ServiceLoad> FairScheduler::Loads() const {
  std::vector<ServiceLoad> loads;
  for (const auto& [id, service] : services_) {
    const std::int64_t spare =
        stopping_
            ? 0
            : std::max<std::int64_t>(0, service.own_free - service.waiting);
    const std::int64_t wanted =
        std::max<std::int64_t>(0, service.waiting - service.own_free);
    if (spare != 0 || wanted != 0) {
      loads.push_back({id, Units(spare), Units(wanted)});
    }
  }
  return loads;
}

void FairScheduler::Tick(Time now) {
  OnUnitsFreed(ledger_.Advance(now));
  for (const auto& [id, service] : services_) {
    if (!service.active.empty() || !service.remote.empty()) {
      dirty_services_.insert(id);
    }
  }
}

std::vector<SendPeer> FairScheduler::TakeMessages() {
  std::vector<SendPeer> messages = std::exchange(messages_, {});
  for (SendPeer& it : ledger_.TakeMessages()) {
    messages.push_back(std::move(it));
  }
  return messages;
}

std::vector<Error> FairScheduler::TakeViolations() {
  std::vector<Error> violations = std::exchange(violations_, {});
  for (Error& it : ledger_.TakeViolations()) {
    violations.push_back(std::move(it));
  }
  return violations;
}

std::vector<MinionUnits> FairScheduler::MinionUsage() const {
  std::vector<MinionUnits> result;
  for (const auto& [id, minion] : minions_) {
    const Ownership* ownership = ledger_.OwnershipOf(minion.resource);
    result.push_back({id, minion.entry.service,
                      ownership == nullptr ? Units() : ownership->owned,
                      ledger_.InUse(minion.resource)});
  }
  return result;
}

std::vector<QueueUsage> FairScheduler::QueueUsages() const {
  std::vector<QueueUsage> result;
  for (const auto& [id, queue] : queues_) {
    result.push_back({id, static_cast<std::int64_t>(queue->waiting.size()),
                      queue->in_flight});
  }
  return result;
}

FairQueue* FairScheduler::FindQueue(const QueueId& id) {
  const auto it = queues_.find(id);
  return it == queues_.end() ? nullptr : it->second.get();
}

FairScheduler::Service* FairScheduler::ServiceOf(const FairQueue& queue) {
  return &services_.at(queue.row.service);
}

void FairScheduler::UpdateActive(Service& service, FairQueue& queue) {
  const bool wants_slots =
      std::any_of(queue.remote.begin(), queue.remote.end(),
                  [](const auto& it) { return it.second.slots > Units(); });
  const bool active = !queue.waiting.empty() || wants_slots;
  if (active == queue.active) {
    return;
  }
  queue.active = active;
  if (active) {
    // An idle queue must not accumulate credit.
    queue.start_tag = std::max(queue.start_tag, service.virtual_time);
    service.active.insert({queue.start_tag, queue.position});
  } else {
    service.active.erase({queue.start_tag, queue.position});
  }
}

void FairScheduler::Charge(Service& service,
                           FairQueue& queue,
                           Duration slot_time) {
  if (queue.active) {
    service.active.erase({queue.start_tag, queue.position});
  }
  queue.start_tag += queue.VirtualTime(slot_time);
  if (queue.active) {
    service.active.insert({queue.start_tag, queue.position});
  }
}

void FairScheduler::UpdateLongRunning(const Service& service,
                                      FairQueue& queue) {
  queue.is_long_running =
      queue.row.urgency == Urgency::kBatch &&
      service.shortest_urgent_deadline > Duration::zero() &&
      (queue.samples == 0 ||
       queue.mean_slot_time > service.shortest_urgent_deadline / 2);
}

void FairScheduler::RemoveWaiting(FairQueue& queue,
                                  const QueuedRequest& request) {
  const QueuedRequest copy = request;
  Service& service = *ServiceOf(queue);
  queue.waiting.erase({copy.start_by, copy.id});
  expiry_.erase({copy.start_by, copy.id});
  backlog_.Remove(copy.queue, copy.size);
  waiting_.erase(copy.id);
  --service.waiting;
  UpdateActive(service, queue);
}

std::optional<Refusal> FairScheduler::EstimateRefusal(
    const Service& service,
    const FairQueue& queue,
    const QueuedRequest& request,
    Time now) const {
  if (queue.samples < kMinEstimateSamples || service.total_weight == 0) {
    return std::nullopt;
  }
  const auto ahead = static_cast<std::int64_t>(
      queue.waiting.order_of_key({request.start_by, request.id}));
  std::int64_t concurrency = std::max<std::int64_t>(
      {service.own_usable * queue.row.weight.value() / service.total_weight,
       queue.RecentPeak(), queue.in_flight, 1});
  if (queue.waiting.empty() || now - queue.waiting_since < kBorrowSettleTime) {
    const auto all = static_cast<std::int64_t>(service.minions.size()) *
                     kSlotsPerMinion.value();
    concurrency = std::max(concurrency, std::min(all, queue.row.limit.value()));
  }
  const Duration wait(queue.mean_slot_time.count() * ahead / concurrency);
  const Duration left = request.start_by - now;
  if (static_cast<double>(wait.count()) * kEstimateMargin <=
      static_cast<double>(left.count())) {
    return std::nullopt;
  }
  const Reason reason = queue.shortage == Shortage::kLimit ? Reason::kOverLimit
                        : queue.shortage == Shortage::kQuota
                            ? Reason::kOverQuota
                            : Reason::kCannotStartInTime;
  return Refusal{reason, std::max(wait - left, kDefaultRetryAfter)};
}

}  // namespace baobab
