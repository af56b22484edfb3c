// Updates of FairScheduler for changes of the table, the minions and the view.

#include <algorithm>
#include <utility>

#include "libdecision/fair_scheduler.h"

namespace baobab {

void FairScheduler::Rebuild(Time now) {
  if (!has_table_) {
    return;
  }
  backlog_.SetQueues(table_.queues);
  RebuildQueues(now);
  RebuildServices();
  for (auto& [id, minion] : minions_) {
    const auto it = services_.find(minion.entry.service);
    std::int64_t reserved = 0;
    if (it != services_.end() && it->second.total_weight > 0) {
      std::int64_t urgent = 0;
      for (const FairQueue* queue : it->second.queues) {
        if (queue->row.urgency == Urgency::kUrgent) {
          urgent += queue->row.weight.value();
        }
      }
      // One slot of each minion stays unreserved, so that long-running batch
      // queues can make progress.
      reserved =
          std::min(kSlotsPerMinion.value() * urgent / it->second.total_weight,
                   kSlotsPerMinion.value() - 1);
    }
    ledger_.SetResource(minion.resource, kSlotsPerMinion,
                        minion.entry.data_centre, Units(reserved), now);
  }
  RefreshUnits();
}

void FairScheduler::RebuildQueues(Time now) {
  std::set<ResourceId> caps;
  for (auto it = queues_.begin(); it != queues_.end();) {
    FairQueue& queue = *it->second;
    caps.insert(queue.limit);
    caps.insert(queue.quota);
    if (table_.queues.contains(it->first)) {
      ++it;
    } else {
      DropQueue(queue, now);
      it = queues_.erase(it);
    }
  }
  quota_services_.clear();
  for (const auto& [id, row] : table_.queues) {
    std::unique_ptr<FairQueue>& queue = queues_[id];
    if (!queue) {
      queue = std::make_unique<FairQueue>();
    }
    if (queue->row.service != row.service) {
      // Virtual times of different services are not comparable.
      queue->start_tag = 0;
    }
    queue->row = row;
    queue->limit = {ResourceKind::kQueueLimit, id.value()};
    queue->quota = {ResourceKind::kTeamQuota, row.team.value()};
    caps.erase(queue->limit);
    caps.erase(queue->quota);
    quota_services_[queue->quota].insert(row.service);
    ledger_.SetResource(queue->limit, row.limit, DataCentreId(), Units(), now);
    const auto team = table_.teams.find(row.team);
    ledger_.SetResource(
        queue->quota, team == table_.teams.end() ? Units() : team->second.quota,
        DataCentreId(), Units(), now);
  }
  for (const ResourceId& it : caps) {
    ledger_.SetResource(it, Units(), DataCentreId(), Units(), now);
  }
}

void FairScheduler::DropQueue(FairQueue& queue, Time now) {
  while (!queue.waiting.empty()) {
    const RequestId id = queue.waiting.begin()->second;
    RemoveWaiting(queue, waiting_.at(id));
    refused_.push_back({id, {Reason::kUnknownQueue, Duration::zero()}});
  }
  ReturnIdle(queue, now);
}

void FairScheduler::RebuildServices() {
  std::map<ServiceId, Service> before = std::exchange(services_, {});
  for (const auto& [id, queue] : queues_) {
    Service& service = services_[queue->row.service];
    queue->position = service.queues.size();
    service.queues.push_back(queue.get());
    service.total_weight += queue->row.weight.value();
    if (queue->row.urgency == Urgency::kUrgent &&
        (service.shortest_urgent_deadline == Duration::zero() ||
         queue->row.deadline < service.shortest_urgent_deadline)) {
      service.shortest_urgent_deadline = queue->row.deadline;
    }
  }
  for (const auto& [id, minion] : minions_) {
    const auto it = services_.find(minion.entry.service);
    if (it != services_.end()) {
      it->second.minions.push_back(id);
    }
  }
  for (auto& [id, service] : services_) {
    const auto old = before.find(id);
    if (old != before.end()) {
      service.virtual_time = old->second.virtual_time;
      service.peer_spare_slots = std::move(old->second.peer_spare_slots);
    }
    for (FairQueue* queue : service.queues) {
      queue->active = false;
      UpdateLongRunning(service, *queue);
      UpdateActive(service, *queue);
      service.waiting += static_cast<std::int64_t>(queue->waiting.size());
      if (!queue->loans.empty()) {
        service.borrowing.insert(queue->position);
      }
      if (!queue->remote.empty()) {
        service.remote.insert(queue->position);
      }
    }
    dirty_services_.insert(id);
  }
}

void FairScheduler::RefreshMinion(const MinionId& id) {
  const auto it = minions_.find(id);
  if (it == minions_.end()) {
    return;
  }
  Minion& minion = it->second;
  const auto found = services_.find(minion.entry.service);
  if (found == services_.end()) {
    return;
  }
  Service& service = found->second;
  const bool usable = !minion.entry.leaving;
  const std::int64_t free =
      usable ? ledger_.OwnFree(minion.resource).value() : 0;
  const std::int64_t own =
      usable ? ledger_.OwnUsable(minion.resource).value() : 0;
  if (free != minion.own_free) {
    if (minion.own_free > 0) {
      service.free.erase({-minion.own_free, id});
    }
    if (free > 0) {
      service.free.insert({-free, id});
    }
  }
  service.own_free += free - minion.own_free;
  service.own_usable += own - minion.own_usable;
  minion.own_free = free;
  minion.own_usable = own;
}

void FairScheduler::RefreshUnits() {
  for (auto& [id, service] : services_) {
    service.free.clear();
    service.own_free = 0;
    service.own_usable = 0;
    service.long_running_limit = 0;
    service.units_by_owner.clear();
    for (const MinionId& minion_id : service.minions) {
      Minion& minion = minions_.at(minion_id);
      minion.own_free = 0;
      minion.own_usable = 0;
      RefreshMinion(minion_id);
      const Ownership* ownership = ledger_.OwnershipOf(minion.resource);
      if (ownership == nullptr || minion.entry.leaving) {
        continue;
      }
      service.long_running_limit += ownership->owned_unreserved.value();
      for (const auto& [node, units] : ownership->by_node) {
        service.units_by_owner[node] += units;
      }
    }
    dirty_services_.insert(id);
  }
}

void FairScheduler::OnUnitsFreed(const std::vector<ResourceId>& freed) {
  for (const ResourceId& it : freed) {
    switch (it.kind) {
      case ResourceKind::kMinionSlots: {
        const MinionId id(it.name);
        RefreshMinion(id);
        const auto minion = minions_.find(id);
        if (minion != minions_.end() &&
            services_.contains(minion->second.entry.service)) {
          dirty_services_.insert(minion->second.entry.service);
        }
        break;
      }
      case ResourceKind::kQueueLimit:
        if (const FairQueue* queue = FindQueue(QueueId(it.name))) {
          dirty_services_.insert(queue->row.service);
        }
        break;
      case ResourceKind::kTeamQuota:
        MarkQuotaDirty(it);
        break;
    }
  }
}

void FairScheduler::MarkQuotaDirty(const ResourceId& quota) {
  const auto it = quota_services_.find(quota);
  if (it == quota_services_.end()) {
    return;
  }
  for (const ServiceId& id : it->second) {
    const Service& service = services_.at(id);
    if (!service.active.empty() || !service.remote.empty()) {
      dirty_services_.insert(id);
    }
  }
}

}  // namespace baobab
