// Lending and borrowing of units by FairScheduler.

#include <algorithm>
#include <utility>

#include "libdecision/fair_scheduler.h"

namespace baobab {
namespace {

/** Interval of the borrow requests of a queue with waiting requests; they also
 * renew its loans well before the loan term ends. */
constexpr Duration kBorrowInterval = std::chrono::milliseconds(300);

/** Validity of a borrow request. A later grant would leave less than half of
 * the loan term, which starts when the request was sent. */
constexpr Duration kBorrowRequestTtl = std::chrono::milliseconds(500);

/** Bounds the deadline that a faulty peer may send. */
constexpr Duration kMaxDeadlineIn = std::chrono::hours(24);

/** Maximum number of peers asked in one round; the next one asks others. */
constexpr std::size_t kMaxLenders = 8;

/** Maximum number of units in one round of borrow requests. */
constexpr std::int64_t kMaxUnitsPerBorrow = 64;

/** Maximum number of slots in one loan; a loan is renewed completely or not at
 * all. */
constexpr Units kMaxSlotsPerLoan{4};

/** Units to request from one lender: those that it has lent already, to renew
 * the loans, plus a share of the missing ones. */
struct RequestedUnits {
  std::int64_t slots = 0;
  std::int64_t limit_units = 0;
  std::int64_t quota_units = 0;
};

/** Adds `need` units of one kind to `wanted`: first from owners with known
 * spare units, then evenly from some of the others, which rotate. */
void Spread(std::int64_t need,
            const std::map<NodeId, Units>& units_by_owner,
            const std::map<NodeId, Units>& spare,
            const NodeId& self,
            std::size_t rotation,
            std::map<NodeId, RequestedUnits>& wanted,
            std::int64_t RequestedUnits::*kind) {
  std::vector<std::pair<NodeId, std::int64_t>> others;
  std::size_t lenders = 0;
  for (const auto& [node, units] : units_by_owner) {
    if (node == self) {
      continue;
    }
    const auto it = spare.find(node);
    if (it == spare.end() || it->second <= Units() || need <= 0) {
      others.emplace_back(node, units.value());
      continue;
    }
    const std::int64_t part = std::min(need, it->second.value());
    wanted[node].*kind += part;
    need -= part;
    ++lenders;
  }
  if (need <= 0 || others.empty()) {
    return;
  }
  const std::size_t max_lenders =
      std::min(others.size(), kMaxLenders - std::min(kMaxLenders, lenders));
  for (std::size_t n = 0; n < max_lenders && need > 0; ++n) {
    const auto& [node, units] = others[(rotation + n) % others.size()];
    const auto left = static_cast<std::int64_t>(max_lenders - n);
    const std::int64_t part = std::min(units, (need + left - 1) / left);
    wanted[node].*kind += part;
    need -= part;
  }
}

}  // namespace

void FairScheduler::OnBorrow(const NodeId& from,
                             Incarnation incarnation,
                             const BorrowRequest& message,
                             Time now) {
  FairQueue* queue = FindQueue(message.queue);
  if (queue == nullptr || stopping_) {
    return;
  }
  const auto known = queue->remote.find(from);
  if (known != queue->remote.end() && known->second.borrow >= message.id) {
    return;
  }
  // Only TakeStarts() makes and renews loans, so that a node that may not use
  // its units does not lend them either.
  queue->remote[from] = {
      incarnation,
      message.id,
      message.slots,
      message.limit_units,
      message.quota_units,
      true,
      now + std::clamp(message.deadline_in, Duration::zero(), kMaxDeadlineIn),
      now + kBorrowRequestTtl};
  Service& service = *ServiceOf(*queue);
  service.remote.insert(queue->position);
  UpdateActive(service, *queue);
  dirty_services_.insert(queue->row.service);
}

void FairScheduler::RenewLoans(Service& service,
                               FairQueue& queue,
                               const NodeId& borrower,
                               Time now) {
  RemoteDemand& demand = queue.remote.at(borrower);
  Units slots;
  Units limit_units;
  Units quota_units;
  std::set<LoanId>& loans = queue.outgoing[borrower];
  for (auto it = loans.begin(); it != loans.end();) {
    OutgoingLoan* loan = ledger_.FindOutgoing(*it);
    if (loan == nullptr) {
      it = loans.erase(it);
      continue;
    }
    const LoanId id = *it++;
    if (loan->incarnation != demand.incarnation) {
      continue;
    }
    const Units held =
        SlotLedger::Outstanding(*loan, ResourceKind::kMinionSlots);
    slots += held;
    limit_units += SlotLedger::Outstanding(*loan, ResourceKind::kQueueLimit);
    quota_units += SlotLedger::Outstanding(*loan, ResourceKind::kTeamQuota);
    if (slots > demand.slots || limit_units > demand.limit_units ||
        quota_units > demand.quota_units) {
      continue;
    }
    const std::int64_t start_tag = queue.start_tag;
    ChargeLoan(service, queue, *loan, held, now);
    if (!MayRenew(service, queue, held, demand.start_by)) {
      continue;
    }
    if (auto grant = ledger_.Grant(id, demand.borrow, now)) {
      messages_.push_back({borrower, std::move(*grant)});
      if (held > Units()) {
        // As for a start: a queue that uses idle slots must not be charged for
        // them in favour of a queue that becomes active later.
        service.virtual_time = std::max(service.virtual_time, start_tag);
      }
    }
  }
  demand.renewal_pending = false;
  demand.slots = std::max(Units(), demand.slots - slots);
  demand.limit_units = std::max(Units(), demand.limit_units - limit_units);
  demand.quota_units = std::max(Units(), demand.quota_units - quota_units);
}

void FairScheduler::OnGrant(const NodeId& from,
                            Incarnation /*incarnation*/,
                            const LoanGrant& message,
                            Time now) {
  const auto key = ledger_.OnGrant(from, message, now);
  if (!key) {
    return;
  }
  FairQueue* queue = FindQueue(message.queue);
  if (queue == nullptr || stopping_) {
    ledger_.ReturnIdle(*key, now);
    return;
  }
  queue->loans.insert(*key);
  ServiceOf(*queue)->borrowing.insert(queue->position);
  dirty_services_.insert(queue->row.service);
}

void FairScheduler::OnReturn(const NodeId& from,
                             Incarnation incarnation,
                             const LoanReturn& message,
                             Time now) {
  OutgoingLoan* loan = ledger_.FindOutgoing(message.loan);
  if (loan == nullptr) {
    return;
  }
  FairQueue* queue = FindQueue(loan->queue);
  const Units before =
      SlotLedger::Outstanding(*loan, ResourceKind::kMinionSlots);
  const OutgoingLoan copy = *loan;
  const auto freed = ledger_.OnReturn(from, incarnation, message);
  loan = ledger_.FindOutgoing(message.loan);
  const Units after = loan == nullptr ? Units()
                                      : SlotLedger::Outstanding(
                                            *loan, ResourceKind::kMinionSlots);
  if (queue != nullptr && before > after) {
    OutgoingLoan charged = copy;
    ChargeLoan(*ServiceOf(*queue), *queue, charged, before - after, now);
  }
  OnUnitsFreed(freed);
}

void FairScheduler::SetPeerLoads(const NodeId& peer,
                                 const std::vector<ServiceLoad>& loads) {
  for (auto& [id, service] : services_) {
    service.peer_spare_slots.erase(peer);
  }
  for (const ServiceLoad& it : loads) {
    const auto service = services_.find(it.service);
    if (service != services_.end() && it.spare > Units()) {
      service->second.peer_spare_slots[peer] = it.spare;
    }
  }
}

void FairScheduler::ReturnAll(Time now) {
  stopping_ = true;
  for (auto& [id, queue] : queues_) {
    ReturnIdle(*queue, now);
    queue->remote.clear();
    UpdateActive(*ServiceOf(*queue), *queue);
  }
  for (auto& [id, service] : services_) {
    service.remote.clear();
  }
}

Shortage FairScheduler::LendSlot(Service& service,
                                 FairQueue& queue,
                                 const NodeId& borrower,
                                 Time now,
                                 const UsableMinion& usable,
                                 Grants& grants) {
  const Minion* minion = ChooseOwnMinion(service, queue, {}, usable);
  if (minion == nullptr) {
    return Shortage::kSlots;
  }
  const MinionId id = minion->entry.id;
  if (!LendUnits(queue, borrower, {minion->resource, Units(1)}, now, grants)) {
    return Shortage::kSlots;
  }
  RefreshMinion(id);
  if (queue.is_long_running) {
    ++service.long_running_slots;
  }
  RemoteDemand& demand = queue.remote.at(borrower);
  demand.slots -= Units(1);
  // Only the deadline of the borrower's most urgent request is known; the next
  // request is assumed to be a little less urgent, so that borrowers alternate.
  demand.start_by += queue.ExpectedSlotTime();
  ChargeSlot(service, queue, queue.ExpectedSlotTime());
  UpdateActive(service, queue);
  return Shortage::kNone;
}

void FairScheduler::LendLimitAndQuota(FairQueue& queue,
                                      Time now,
                                      Grants& grants) {
  const auto waiting = static_cast<std::int64_t>(queue.waiting.size());
  const auto lend = [&](const NodeId& node, const RemoteDemand& demand,
                        const ResourceId& resource, Units& wanted) {
    const std::int64_t free = ledger_.OwnFree(resource).value();
    std::int64_t units = std::min(wanted.value(), free - waiting);
    // Local requests take precedence unless a remote one is more urgent.
    if (units <= 0 && free > 0 && wanted > Units() && waiting > 0 &&
        demand.start_by < queue.waiting.begin()->first) {
      units = 1;
    }
    if (units > 0 &&
        LendUnits(queue, node, {resource, Units(units)}, now, grants)) {
      wanted -= Units(units);
    }
  };
  for (auto& [node, demand] : queue.remote) {
    lend(node, demand, queue.limit, demand.limit_units);
    lend(node, demand, queue.quota, demand.quota_units);
  }
}

bool FairScheduler::LendUnits(FairQueue& queue,
                              const NodeId& borrower,
                              const ResourceUnits& units,
                              Time now,
                              Grants& grants) {
  const std::pair key(queue.row.id, borrower);
  const auto it = grants.find(key);
  if (it != grants.end()) {
    const OutgoingLoan* loan = ledger_.FindOutgoing(it->second);
    if (loan != nullptr &&
        SlotLedger::Outstanding(*loan, ResourceKind::kMinionSlots) <
            kMaxSlotsPerLoan) {
      return ledger_.Extend(it->second, units);
    }
    SendGrants({*it}, now);
    grants.erase(it);
  }
  const auto loan =
      ledger_.Lend(borrower, queue.remote.at(borrower).incarnation,
                   queue.row.id, units, now);
  if (!loan) {
    return false;
  }
  // ChargeSlot() charges the expected slot time.
  ledger_.FindOutgoing(*loan)->charged_until = now + queue.ExpectedSlotTime();
  queue.outgoing[borrower].insert(*loan);
  grants[key] = *loan;
  return true;
}

bool FairScheduler::MayRenew(const Service& service,
                             const FairQueue& queue,
                             Units held,
                             Time remote_start_by) const {
  if (!queue.waiting.empty() &&
      queue.waiting.begin()->first < remote_start_by) {
    return false;
  }
  if (held == Units()) {
    return true;
  }
  if (queue.is_long_running &&
      service.long_running_slots > service.long_running_limit) {
    return false;
  }
  const std::int64_t slack = queue.VirtualTime(queue.ExpectedSlotTime());
  for (const auto& [start_tag, position] : service.active) {
    const FairQueue& other = *service.queues[position];
    if (start_tag + slack >= queue.start_tag) {
      return true;
    }
    // A queue at its limit or quota could not use the slots.
    if (&other != &queue && other.shortage != Shortage::kLimit &&
        other.shortage != Shortage::kQuota) {
      return false;
    }
  }
  return true;
}

void FairScheduler::ChargeLoan(Service& service,
                               FairQueue& queue,
                               OutgoingLoan& loan,
                               Units slots,
                               Time now) {
  Charge(service, queue, (now - loan.charged_until) * slots.value());
  loan.charged_until = now;
}

void FairScheduler::SendGrants(const Grants& grants, Time now) {
  for (const auto& [key, loan] : grants) {
    const auto& [queue, borrower] = key;
    const auto demand = queues_.at(queue)->remote.find(borrower);
    if (demand == queues_.at(queue)->remote.end()) {
      continue;
    }
    if (auto grant = ledger_.Grant(loan, demand->second.borrow, now)) {
      messages_.push_back({borrower, std::move(*grant)});
    }
  }
}

void FairScheduler::ReturnIdle(FairQueue& queue, Time now) {
  for (auto it = queue.loans.begin(); it != queue.loans.end();) {
    ledger_.ReturnIdle(*it, now);
    const auto loan = ledger_.incoming().find(*it);
    const bool over = loan == ledger_.incoming().end() || loan->second.ended;
    it = over ? queue.loans.erase(it) : std::next(it);
  }
}

Units FairScheduler::FreeUnits(const FairQueue& queue,
                               const ResourceId& resource,
                               Time now) const {
  Units free = ledger_.OwnFree(resource);
  for (const LoanKey& it : queue.loans) {
    free += ledger_.BorrowedFree(it, resource, now);
  }
  return free;
}

void FairScheduler::SendBorrowRequests(const Service& service,
                                       FairQueue& queue,
                                       Time now) {
  std::map<NodeId, RequestedUnits> wanted;
  for (auto it = queue.loans.begin(); it != queue.loans.end();) {
    const auto loan = ledger_.incoming().find(*it);
    if (loan == ledger_.incoming().end() || loan->second.ended) {
      it = queue.loans.erase(it);
      continue;
    }
    RequestedUnits& held = wanted[it->lender];
    for (const auto& [resource, units] : loan->second.units) {
      const auto returned = loan->second.returned.find(resource);
      const std::int64_t out =
          units.value() - (returned == loan->second.returned.end()
                               ? 0
                               : returned->second.value());
      switch (resource.kind) {
        case ResourceKind::kMinionSlots:
          held.slots += out;
          break;
        case ResourceKind::kQueueLimit:
          held.limit_units += out;
          break;
        case ResourceKind::kTeamQuota:
          held.quota_units += out;
          break;
      }
    }
    ++it;
  }
  const std::int64_t want = std::min<std::int64_t>(
      static_cast<std::int64_t>(queue.waiting.size()), kMaxUnitsPerBorrow);
  const auto spread_cap = [&](const ResourceId& resource,
                              std::int64_t RequestedUnits::*kind) {
    const std::int64_t need = want - FreeUnits(queue, resource, now).value();
    const Ownership* ownership = ledger_.OwnershipOf(resource);
    if (need > 0 && ownership != nullptr) {
      Spread(need, ownership->by_node, {}, config_.id, queue.lender_rotation,
             wanted, kind);
    }
  };
  spread_cap(queue.limit, &RequestedUnits::limit_units);
  spread_cap(queue.quota, &RequestedUnits::quota_units);
  if (queue.shortage == Shortage::kSlots) {
    Spread(want, service.units_by_owner, service.peer_spare_slots, config_.id,
           queue.lender_rotation, wanted, &RequestedUnits::slots);
  }
  for (const auto& [node, units] : wanted) {
    messages_.push_back(
        {node, BorrowRequest{ledger_.NextBorrow(node, queue.row.id, now),
                             queue.row.id, Units(units.slots),
                             Units(units.limit_units), Units(units.quota_units),
                             queue.waiting.begin()->first - now}});
  }
  queue.lender_rotation += kMaxLenders;
  queue.borrowed_for = queue.shortage;
  queue.next_borrow_at = now + kBorrowInterval;
}

}  // namespace baobab
