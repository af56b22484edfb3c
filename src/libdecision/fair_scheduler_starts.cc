// Starts of waiting requests by FairScheduler.

#include <algorithm>

#include "libdecision/fair_scheduler.h"

namespace baobab {
namespace {

/** Maximum slot time that a queue which could not use its share may catch up
 * on. */
constexpr Duration kMaxCredit = std::chrono::seconds(1);

bool Contains(const std::vector<MinionId>& minions, const MinionId& id) {
  return std::find(minions.begin(), minions.end(), id) != minions.end();
}

}  // namespace

std::vector<RequestStart> FairScheduler::TakeStarts(
    Time now,
    const UsableMinion& usable) {
  std::vector<RequestStart> starts;
  ExpireWaiting(now);
  std::vector<ServiceId> run(dirty_services_.begin(), dirty_services_.end());
  dirty_services_.clear();
  // Rotates the order, so that services which share a quota alternate.
  if (!run.empty()) {
    const auto first =
        static_cast<std::ptrdiff_t>(service_rotation_++ % run.size());
    std::rotate(run.begin(), run.begin() + first, run.end());
  }
  for (const ServiceId& id : run) {
    const auto it = services_.find(id);
    if (it != services_.end()) {
      ScheduleService(it->second, now, usable, starts);
    }
  }
  return starts;
}

void FairScheduler::ScheduleService(Service& service,
                                    Time now,
                                    const UsableMinion& usable,
                                    std::vector<RequestStart>& starts) {
  Grants grants;
  service.long_running_slots = 0;
  for (const FairQueue* queue : service.queues) {
    if (queue->is_long_running) {
      service.long_running_slots +=
          queue->own_slots + ledger_.LentSlots(queue->row.id).value();
    }
  }
  const std::vector<std::size_t> remote(service.remote.begin(),
                                        service.remote.end());
  for (const std::size_t position : remote) {
    FairQueue& queue = *service.queues[position];
    for (const auto& [node, demand] : queue.remote) {
      if (demand.renewal_pending && demand.valid_until > now && !stopping_) {
        RenewLoans(service, queue, node, now);
      }
    }
    std::erase_if(queue.remote, [&](const auto& it) {
      return it.second.valid_until <= now || it.second.Empty();
    });
    if (!stopping_) {
      LendLimitAndQuota(queue, now, grants);
    }
    UpdateActive(service, queue);
    if (queue.remote.empty()) {
      service.remote.erase(position);
    }
  }
  // Queues that cannot start or lend anything are skipped for the rest of the
  // run.
  std::vector<std::pair<std::int64_t, std::size_t>> blocked;
  while (!service.active.empty() && service.own_free > 0) {
    FairQueue& queue = *service.queues[service.active.begin()->second];
    const Shortage shortage =
        StartOrLend(service, queue, now, usable, starts, grants);
    if (shortage != Shortage::kNone) {
      queue.shortage = shortage;
      blocked.push_back({queue.start_tag, queue.position});
      service.active.erase(blocked.back());
    }
  }
  service.active.insert(blocked.begin(), blocked.end());
  // Without free own slots, only queues with borrowed ones can start.
  for (const std::size_t position : service.borrowing) {
    FairQueue& queue = *service.queues[position];
    while (queue.active) {
      const Shortage shortage =
          StartOrLend(service, queue, now, usable, starts, grants);
      if (shortage != Shortage::kNone) {
        queue.shortage = shortage;
        break;
      }
    }
  }
  SendGrants(grants, now);
  BorrowAndReturn(service, now);
}

void FairScheduler::BorrowAndReturn(Service& service, Time now) {
  for (FairQueue* queue : service.queues) {
    if (!queue->loans.empty() &&
        (queue->waiting.empty() || queue->shortage == Shortage::kLimit ||
         queue->shortage == Shortage::kQuota)) {
      ReturnIdle(*queue, now);
    }
    if (!queue->waiting.empty() && !stopping_) {
      if (queue->shortage == Shortage::kNone) {
        queue->shortage = Shortage::kSlots;
      }
      if (now >= queue->next_borrow_at ||
          queue->borrowed_for != queue->shortage) {
        SendBorrowRequests(service, *queue, now);
      }
    }
    if (queue->loans.empty()) {
      service.borrowing.erase(queue->position);
    }
  }
}

Shortage FairScheduler::StartOrLend(Service& service,
                                    FairQueue& queue,
                                    Time now,
                                    const UsableMinion& usable,
                                    std::vector<RequestStart>& starts,
                                    Grants& grants) {
  if (service.own_free == 0 && queue.loans.empty()) {
    return Shortage::kSlots;
  }
  // Local and remote requests are served in order of their deadlines.
  std::vector<std::pair<Time, NodeId>> order;
  for (const auto& [node, demand] : queue.remote) {
    if (demand.slots > Units() && !stopping_) {
      order.emplace_back(demand.start_by, node);
    }
  }
  std::sort(order.begin(), order.end());
  const bool has_local = !queue.waiting.empty();
  Shortage local = Shortage::kNone;
  bool tried_local = !has_local;
  const auto try_local = [&] {
    tried_local = true;
    local = StartLocal(service, queue, now, usable, starts);
    return local == Shortage::kNone;
  };
  for (const auto& [start_by, node] : order) {
    if (!tried_local && queue.waiting.begin()->first <= start_by &&
        try_local()) {
      return Shortage::kNone;
    }
    if (LendSlot(service, queue, node, now, usable, grants) ==
        Shortage::kNone) {
      return Shortage::kNone;
    }
  }
  if (!tried_local && try_local()) {
    return Shortage::kNone;
  }
  return has_local ? local : Shortage::kSlots;
}

Shortage FairScheduler::StartLocal(Service& service,
                                   FairQueue& queue,
                                   Time now,
                                   const UsableMinion& usable,
                                   std::vector<RequestStart>& starts) {
  const QueuedRequest request = waiting_.at(queue.waiting.begin()->second);
  const auto limit = FindUnit(queue, queue.limit, now);
  if (!limit) {
    return Shortage::kLimit;
  }
  const auto quota = FindUnit(queue, queue.quota, now);
  if (!quota) {
    return Shortage::kQuota;
  }
  const auto slot = ChooseSlot(service, queue, request.avoid, now, usable);
  if (!slot) {
    return Shortage::kSlots;
  }
  const ResourceId& resource = minions_.at(slot->minion).resource;
  RunningRequest run{queue.row.id,
                     slot->minion,
                     now,
                     queue.ExpectedSlotTime(),
                     {{resource, slot->loan}, *limit, *quota}};
  if (!TakeUnits(run, now)) {
    return Shortage::kSlots;
  }
  if (!slot->loan) {
    ++queue.own_slots;
    if (queue.is_long_running) {
      ++service.long_running_slots;
    }
  }
  ++queue.in_flight;
  queue.UpdatePeak(now);
  queue.shortage = Shortage::kNone;
  starts.push_back({request.id, request.queue, slot->minion});
  ChargeSlot(service, queue, run.charged);
  running_.emplace(request.id, std::move(run));
  RemoveWaiting(queue, request);
  return Shortage::kNone;
}

bool FairScheduler::TakeUnits(RunningRequest& run, Time now) {
  for (std::size_t n = 0; n < run.sources.size(); ++n) {
    if (!ledger_.Use(run.sources[n], now)) {
      run.sources.resize(n);
      ReleaseUnits(run);
      return false;
    }
  }
  RefreshMinion(run.minion);
  return true;
}

void FairScheduler::ReleaseUnits(const RunningRequest& run) {
  for (const UnitSource& it : run.sources) {
    ledger_.Release(it);
    OnUnitsFreed({it.resource});
  }
}

std::optional<UnitSource> FairScheduler::FindUnit(const FairQueue& queue,
                                                  const ResourceId& resource,
                                                  Time now) const {
  for (const LoanKey& it : queue.loans) {
    if (ledger_.BorrowedFree(it, resource, now) > Units()) {
      return UnitSource{resource, it};
    }
  }
  if (ledger_.OwnFree(resource) > Units()) {
    return UnitSource{resource, std::nullopt};
  }
  return std::nullopt;
}

std::optional<FairScheduler::SlotChoice> FairScheduler::ChooseSlot(
    const Service& service,
    const FairQueue& queue,
    const std::vector<MinionId>& avoid,
    Time now,
    const UsableMinion& usable) const {
  std::optional<SlotChoice> best;
  std::int64_t best_free = 0;
  bool best_avoided = true;
  for (const LoanKey& key : queue.loans) {
    const auto loan = ledger_.incoming().find(key);
    if (loan == ledger_.incoming().end() || loan->second.ended) {
      continue;
    }
    for (const auto& [resource, units] : loan->second.units) {
      if (resource.kind != ResourceKind::kMinionSlots) {
        continue;
      }
      const Units lent = ledger_.BorrowedFree(key, resource, now);
      const auto minion = minions_.find(MinionId(resource.name));
      if (lent <= Units() || minion == minions_.end() ||
          minion->second.entry.leaving || !usable(minion->first)) {
        continue;
      }
      const std::int64_t free = lent.value() + minion->second.own_free;
      const bool avoided = Contains(avoid, minion->first);
      if (!best ||
          std::pair(!avoided, free) > std::pair(!best_avoided, best_free)) {
        best = SlotChoice{minion->first, key};
        best_free = free;
        best_avoided = avoided;
      }
    }
  }
  const Minion* own = ChooseOwnMinion(service, queue, avoid, usable);
  if (own != nullptr) {
    const bool avoided = Contains(avoid, own->entry.id);
    if (!best || std::pair(!avoided, own->own_free) >
                     std::pair(!best_avoided, best_free)) {
      best = SlotChoice{own->entry.id, std::nullopt};
    }
  }
  return best;
}

const FairScheduler::Minion* FairScheduler::ChooseOwnMinion(
    const Service& service,
    const FairQueue& queue,
    const std::vector<MinionId>& avoid,
    const UsableMinion& usable) const {
  // A long-running batch queue could not free the idle share of urgent queues
  // in time.
  if (queue.is_long_running &&
      service.long_running_slots >= service.long_running_limit) {
    return nullptr;
  }
  const Minion* avoided = nullptr;
  for (const auto& [free, id] : service.free) {
    if (!usable(id)) {
      continue;
    }
    const Minion& minion = minions_.at(id);
    if (!Contains(avoid, id)) {
      return &minion;
    }
    if (avoided == nullptr) {
      avoided = &minion;
    }
  }
  return avoided;
}

void FairScheduler::ChargeSlot(Service& service,
                               FairQueue& queue,
                               Duration slot_time) {
  const std::int64_t credit = queue.VirtualTime(kMaxCredit);
  const std::int64_t behind = service.virtual_time - credit - queue.start_tag;
  service.virtual_time = std::max(service.virtual_time, queue.start_tag);
  if (queue.active) {
    service.active.erase({queue.start_tag, queue.position});
  }
  queue.start_tag +=
      std::max<std::int64_t>(behind, 0) + queue.VirtualTime(slot_time);
  if (queue.active) {
    service.active.insert({queue.start_tag, queue.position});
  }
}

}  // namespace baobab
