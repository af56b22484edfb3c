#include "libdecision/slot_ledger.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** An ended loan is remembered that long, so that a grant that was sent before
 * the return arrived does not revive it. Later ones fall under the floor. */
constexpr Duration kEndedLoanMemory = 2 * kLoanTerm;

std::string Describe(const ResourceId& resource) {
  switch (resource.kind) {
    case ResourceKind::kMinionSlots:
      return "minion " + resource.name;
    case ResourceKind::kQueueLimit:
      return "limit of queue " + resource.name;
    case ResourceKind::kTeamQuota:
      return "quota of team " + resource.name;
  }
  return resource.name;
}

Units Find(const std::map<ResourceId, Units>& units,
           const ResourceId& resource) {
  const auto it = units.find(resource);
  return it == units.end() ? Units() : it->second;
}

}  // namespace

SlotLedger::SlotLedger(const NodeConfig& config, Time started)
    : config_(config),
      owners_(config, kLoanTerm, started),
      // Numbers above those of earlier processes of this node: messages about
      // their loans match nothing here.
      next_loan_(config.incarnation.value() + 1),
      next_borrow_(config.incarnation.value() + 1) {}

void SlotLedger::SetView(ViewNumber number,
                         const std::vector<ViewNode>& nodes,
                         const std::set<NodeId>& adopted,
                         Time now) {
  const ViewNumber announced = AnnouncedView(now);
  if (!owners_.SetView(number, nodes, adopted, now)) {
    return;
  }
  announced_ = announced;
  for (auto& [resource, account] : accounts_) {
    Recompute(resource, account, now);
  }
}

void SlotLedger::SetResource(const ResourceId& resource,
                             Units units,
                             const DataCentreId& data_centre,
                             Units reserved,
                             Time now) {
  const auto it = accounts_.find(resource);
  if (it == accounts_.end() && units == Units()) {
    return;
  }
  Account& account = accounts_[resource];
  if (account.units == units && account.data_centre == data_centre &&
      account.reserved == reserved) {
    return;
  }
  // Units of a minion that changes its data centre get owners who do not know
  // of each other's adoption.
  if (account.units != Units() && account.data_centre != data_centre) {
    account.blocked_until = owners_.FullWait(now);
  }
  if (units == Units() && account.own_in_use == Units() &&
      account.borrowed_in_use == Units() && account.lent == Units()) {
    waiting_.erase(resource);
    draining_.erase(resource);
    accounts_.erase(resource);
    return;
  }
  account.units = units;
  account.data_centre = data_centre;
  account.reserved = reserved;
  Recompute(resource, account, now);
}

ViewNumber SlotLedger::AnnouncedView(Time now) const {
  const bool hold = !draining_.empty() || now < owners_.HoldUntil() ||
                    now < owners_.RestartWaitEnd();
  return hold ? announced_ : owners_.number();
}

std::vector<ResourceId> SlotLedger::Advance(Time now) {
  std::vector<ResourceId> freed;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const ResourceId resource = *it++;
    Account& account = accounts_[resource];
    const Units before = Free(account);
    UpdateUsable(resource, account, now);
    if (Free(account) > before) {
      freed.push_back(resource);
    }
  }
  while (!given_ends_.empty() && given_ends_.begin()->first <= now) {
    EndGiven(given_.find(given_ends_.begin()->second), freed);
  }
  std::vector<LoanKey> expired;
  for (const auto& [key, loan] : taken_) {
    if (!loan.ended && now >= loan.expires) {
      expired.push_back(key);
    }
  }
  for (const LoanKey& it : expired) {
    ReturnIdle(it, now);
  }
  Forget(now);
  return freed;
}

Units SlotLedger::OwnFree(const ResourceId& resource) const {
  const auto it = accounts_.find(resource);
  return it == accounts_.end() ? Units() : Free(it->second);
}

Units SlotLedger::OwnUsable(const ResourceId& resource) const {
  const auto it = accounts_.find(resource);
  return it == accounts_.end() ? Units() : it->second.usable;
}

const Ownership* SlotLedger::OwnershipOf(const ResourceId& resource) const {
  const auto it = accounts_.find(resource);
  return it == accounts_.end() ? nullptr : &it->second.ownership;
}

Units SlotLedger::InUse(const ResourceId& resource) const {
  const auto it = accounts_.find(resource);
  return it == accounts_.end()
             ? Units()
             : it->second.own_in_use + it->second.borrowed_in_use;
}

bool SlotLedger::Use(const UnitSource& source, Time now) {
  const ResourceId& resource = source.resource;
  if (source.loan) {
    if (TakenFree(*source.loan, resource, now) <= Units()) {
      Violate("use borrowed unit", source.loan->lender,
              Describe(resource) + " has no free unit in this loan");
      return false;
    }
    taken_[*source.loan].in_use[resource] += Units(1);
    accounts_[resource].borrowed_in_use += Units(1);
    return true;
  }
  if (OwnFree(resource) <= Units()) {
    Violate("use own unit", NodeId(),
            Describe(resource) + " has no free own unit");
    return false;
  }
  accounts_[resource].own_in_use += Units(1);
  return true;
}

void SlotLedger::Release(const UnitSource& source) {
  Account& account = accounts_[source.resource];
  if (!source.loan) {
    if (account.own_in_use <= Units()) {
      Violate("release own unit", NodeId(),
              Describe(source.resource) + " has no unit in use");
      return;
    }
    account.own_in_use -= Units(1);
    UpdateDraining(source.resource, account);
    return;
  }
  const auto it = taken_.find(*source.loan);
  if (it == taken_.end() ||
      Find(it->second.in_use, source.resource) <= Units()) {
    Violate("release borrowed unit", source.loan->lender,
            Describe(source.resource) + " has no unit of this loan in use");
    return;
  }
  it->second.in_use[source.resource] -= Units(1);
  account.borrowed_in_use -= Units(1);
}

std::optional<LoanId> SlotLedger::Lend(const NodeId& borrower,
                                       Incarnation incarnation,
                                       const QueueId& queue,
                                       const ResourceUnits& units,
                                       Time now) {
  const LoanId id(next_loan_++);
  const Time free_at = now + kLoanTerm + config_.request_timeout;
  given_.emplace(id,
                 GivenLoan{borrower, incarnation, queue, {}, {}, now, free_at});
  given_ends_.insert({free_at, id});
  if (!Extend(id, units)) {
    given_ends_.erase({free_at, id});
    given_.erase(id);
    return std::nullopt;
  }
  return id;
}

bool SlotLedger::Extend(LoanId id, const ResourceUnits& units) {
  const auto it = given_.find(id);
  if (it == given_.end() || units.units <= Units() ||
      OwnFree(units.resource) < units.units) {
    Violate("lend units", it == given_.end() ? NodeId() : it->second.borrower,
            Describe(units.resource) + " has too few free own units");
    return false;
  }
  it->second.units[units.resource] += units.units;
  ChangeLent(it->second, units);
  return true;
}

std::optional<LoanGrant> SlotLedger::Grant(LoanId id,
                                           BorrowId borrow,
                                           Time now) {
  const auto it = given_.find(id);
  if (it == given_.end()) {
    return std::nullopt;
  }
  for (const auto& [resource, units] : it->second.units) {
    // Units which another node owns by now must come back.
    if (draining_.contains(resource)) {
      return std::nullopt;
    }
  }
  given_ends_.erase({it->second.free_at, id});
  it->second.free_at = now + kLoanTerm + config_.request_timeout;
  given_ends_.insert({it->second.free_at, id});
  LoanGrant grant{borrow, id, it->second.queue, {}, kLoanTerm};
  for (const auto& [resource, units] : it->second.units) {
    grant.units.push_back({resource, units});
  }
  return grant;
}

Units SlotLedger::LentSlots(const QueueId& queue) const {
  const auto it = lent_slots_.find(queue);
  return it == lent_slots_.end() ? Units() : it->second;
}

std::vector<ResourceId> SlotLedger::OnReturn(const NodeId& from,
                                             Incarnation incarnation,
                                             const LoanReturn& message) {
  std::vector<ResourceId> freed;
  const auto it = given_.find(message.loan);
  if (it == given_.end() || it->second.borrower != from ||
      it->second.incarnation != incarnation) {
    return freed;
  }
  GivenLoan& loan = it->second;
  bool all = true;
  for (const ResourceUnits& got : message.units) {
    const Units lent = Find(loan.units, got.resource);
    const Units before = Find(loan.returned, got.resource);
    // The message holds all units given back so far, so that a repeated,
    // late or lost one does no harm.
    const Units after = std::clamp(got.units, before, lent);
    if (after > before) {
      loan.returned[got.resource] = after;
      ChangeLent(loan, {got.resource, before - after});
      freed.push_back(got.resource);
    }
  }
  for (const auto& [resource, units] : loan.units) {
    all = all && Find(loan.returned, resource) == units;
  }
  if (all) {
    EndGiven(it, freed);
  }
  return freed;
}

GivenLoan* SlotLedger::FindGiven(LoanId id) {
  const auto it = given_.find(id);
  return it == given_.end() ? nullptr : &it->second;
}

Units SlotLedger::Outstanding(const GivenLoan& loan, ResourceKind kind) {
  Units sum;
  for (const auto& [resource, units] : loan.units) {
    if (resource.kind == kind) {
      sum += units - Find(loan.returned, resource);
    }
  }
  return sum;
}

BorrowId SlotLedger::NextBorrow(const NodeId& lender,
                                const QueueId& queue,
                                Time now) {
  const BorrowId id(next_borrow_++);
  sent_.emplace(id, SentBorrow{lender, queue, now});
  return id;
}

std::optional<LoanKey> SlotLedger::OnGrant(const NodeId& from,
                                           const LoanGrant& message,
                                           Time now) {
  // An earlier process of this node asked; its requests may still run on the
  // units, so they must not be returned.
  if (message.borrow.value() <= config_.incarnation.value()) {
    return std::nullopt;
  }
  const LoanKey key{from, message.loan};
  const auto sent = sent_.find(message.borrow);
  const bool known = sent != sent_.end() && sent->second.lender == from &&
                     sent->second.queue == message.queue;
  const Time expires =
      known ? sent->second.sent + std::min(message.term, kLoanTerm)
            : Time::min();
  const auto old = taken_.find(key);
  if (old != taken_.end()) {
    if (old->second.ended) {
      // The lender renews what was returned: the LoanReturn was lost.
      SendReturn(key, old->second.returned);
    } else {
      old->second.expires = std::max(old->second.expires, expires);
    }
    return std::nullopt;
  }
  TakenLoan loan{message.queue, {}, {}, {}, expires, false};
  for (const ResourceUnits& it : message.units) {
    loan.units[it.resource] += it.units;
  }
  const auto floor = ended_floor_.find(from);
  if (floor != ended_floor_.end() && message.loan <= floor->second) {
    SendReturn(key, loan.units);
    return std::nullopt;
  }
  taken_.emplace(key, std::move(loan));
  if (now >= expires) {
    // Kept as ended: a renewal may be on its way already.
    ReturnIdle(key, now);
    return std::nullopt;
  }
  return key;
}

Units SlotLedger::TakenFree(const LoanKey& key,
                            const ResourceId& resource,
                            Time now) const {
  const auto it = taken_.find(key);
  if (it == taken_.end() || it->second.ended || now >= it->second.expires) {
    return Units();
  }
  const TakenLoan& loan = it->second;
  return Find(loan.units, resource) - Find(loan.in_use, resource) -
         Find(loan.returned, resource);
}

void SlotLedger::ReturnIdle(const LoanKey& key, Time now) {
  const auto it = taken_.find(key);
  if (it == taken_.end() || it->second.ended) {
    return;
  }
  TakenLoan& loan = it->second;
  bool changed = false;
  bool all = true;
  for (const auto& [resource, units] : loan.units) {
    const Units used = Find(loan.in_use, resource);
    Units& returned = loan.returned[resource];
    changed = changed || returned != units - used;
    returned = units - used;
    all = all && used == Units();
  }
  if (changed) {
    SendReturn(key, loan.returned);
  }
  if (all) {
    loan.ended = true;
    ended_.emplace_back(key, now);
  }
}

std::vector<SendPeer> SlotLedger::TakeMessages() {
  return std::exchange(messages_, {});
}

std::vector<Error> SlotLedger::TakeViolations() {
  return std::exchange(violations_, {});
}

void SlotLedger::Recompute(const ResourceId& resource,
                           Account& account,
                           Time now) {
  account.ownership = owners_.Compute(
      resource, account.units, account.data_centre, account.reserved, now);
  UpdateUsable(resource, account, now);
  UpdateDraining(resource, account);
}

void SlotLedger::UpdateUsable(const ResourceId& resource,
                              Account& account,
                              Time now) {
  std::erase_if(account.ownership.waiting,
                [&](const auto& it) { return owners_.Ready(it, now); });
  account.usable = account.ownership.owned;
  for (const Ownership::Waiting& it : account.ownership.waiting) {
    account.usable -= it.units;
  }
  const bool blocked = now < account.blocked_until;
  if (blocked) {
    account.usable = Units();
  }
  if (blocked || !account.ownership.waiting.empty()) {
    waiting_.insert(resource);
  } else {
    waiting_.erase(resource);
  }
  UpdateDraining(resource, account);
}

void SlotLedger::UpdateDraining(const ResourceId& resource,
                                const Account& account) {
  if (account.own_in_use + account.lent > account.usable) {
    draining_.insert(resource);
  } else {
    draining_.erase(resource);
  }
}

Units SlotLedger::Free(const Account& account) {
  return std::max(Units(), account.usable - account.own_in_use - account.lent);
}

void SlotLedger::ChangeLent(const GivenLoan& loan,
                            const ResourceUnits& change) {
  Account& account = accounts_[change.resource];
  account.lent += change.units;
  UpdateDraining(change.resource, account);
  if (change.resource.kind == ResourceKind::kMinionSlots) {
    lent_slots_[loan.queue] += change.units;
    if (lent_slots_[loan.queue] == Units()) {
      lent_slots_.erase(loan.queue);
    }
  }
}

void SlotLedger::SendReturn(const LoanKey& key,
                            const std::map<ResourceId, Units>& returned) {
  LoanReturn message{key.loan, {}};
  for (const auto& [resource, units] : returned) {
    if (units > Units()) {
      message.units.push_back({resource, units});
    }
  }
  messages_.push_back({key.lender, std::move(message)});
}

void SlotLedger::Violate(const char* step,
                         const NodeId& peer,
                         std::string what) {
  violations_.push_back({step, peer.value(), std::move(what)});
}

void SlotLedger::EndGiven(std::map<LoanId, GivenLoan>::iterator it,
                          std::vector<ResourceId>& freed) {
  for (const auto& [resource, units] : it->second.units) {
    const Units left = units - Find(it->second.returned, resource);
    if (left > Units()) {
      ChangeLent(it->second, {resource, Units() - left});
      freed.push_back(resource);
    }
  }
  given_ends_.erase({it->second.free_at, it->first});
  given_.erase(it);
}

void SlotLedger::Forget(Time now) {
  while (!sent_.empty() && sent_.begin()->second.sent + kLoanTerm <= now) {
    sent_.erase(sent_.begin());
  }
  while (!ended_.empty() && ended_.front().second + kEndedLoanMemory <= now) {
    const LoanKey& key = ended_.front().first;
    LoanId& floor = ended_floor_[key.lender];
    floor = std::max(floor, key.loan);
    taken_.erase(key);
    ended_.pop_front();
  }
}

}  // namespace baobab
