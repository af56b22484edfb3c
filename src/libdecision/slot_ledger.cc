#include "libdecision/slot_ledger.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** Retention of an ended loan, so that a grant sent before the return arrived
 * does not revive it. max_forgotten_loans_ covers later grants. */
constexpr Duration kEndedLoanRetention = 2 * kLoanTerm;

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

Units UnitsOf(const std::map<ResourceId, Units>& units,
              const ResourceId& resource) {
  const auto it = units.find(resource);
  return it == units.end() ? Units() : it->second;
}

}  // namespace

SlotLedger::SlotLedger(const NodeConfig& config, Time started)
    : config_(config),
      owners_(config, kLoanTerm, started),
      // Ids above those of earlier processes of this node, so that messages
      // about their loans match nothing here.
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
  // The new owners of a minion that changes its data centre do not learn of
  // each other's adoption, so they wait for the full time.
  if (account.units != Units() && account.data_centre != data_centre) {
    account.blocked_until = owners_.HandoverDeadline(now);
  }
  if (units == Units() && account.own_in_use == Units() &&
      account.borrowed_in_use == Units() && account.lent == Units()) {
    pending_accounts_.erase(resource);
    draining_accounts_.erase(resource);
    accounts_.erase(resource);
    return;
  }
  account.units = units;
  account.data_centre = data_centre;
  account.reserved = reserved;
  Recompute(resource, account, now);
}

ViewNumber SlotLedger::AnnouncedView(Time now) const {
  const bool hold = !draining_accounts_.empty() ||
                    now < owners_.AnnounceHoldEnd() ||
                    now < owners_.RestartWaitEnd();
  return hold ? announced_ : owners_.number();
}

std::vector<ResourceId> SlotLedger::Advance(Time now) {
  std::vector<ResourceId> freed;
  for (auto it = pending_accounts_.begin(); it != pending_accounts_.end();) {
    const ResourceId resource = *it++;
    Account& account = accounts_[resource];
    const Units before = Free(account);
    UpdateUsable(resource, account, now);
    if (Free(account) > before) {
      freed.push_back(resource);
    }
  }
  while (!outgoing_ends_.empty() && outgoing_ends_.begin()->first <= now) {
    EndOutgoing(outgoing_.find(outgoing_ends_.begin()->second), freed);
  }
  std::vector<LoanKey> expired;
  for (const auto& [key, loan] : incoming_) {
    if (!loan.ended && now >= loan.expires) {
      expired.push_back(key);
    }
  }
  for (const LoanKey& it : expired) {
    ReturnIdle(it, now);
  }
  PruneHistory(now);
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
    if (BorrowedFree(*source.loan, resource, now) <= Units()) {
      ReportViolation("use borrowed unit", source.loan->lender,
                      Describe(resource) + " has no free unit in this loan");
      return false;
    }
    incoming_[*source.loan].in_use[resource] += Units(1);
    accounts_[resource].borrowed_in_use += Units(1);
    return true;
  }
  if (OwnFree(resource) <= Units()) {
    ReportViolation("use own unit", NodeId(),
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
      ReportViolation("release own unit", NodeId(),
                      Describe(source.resource) + " has no unit in use");
      return;
    }
    account.own_in_use -= Units(1);
    UpdateDraining(source.resource, account);
    return;
  }
  const auto it = incoming_.find(*source.loan);
  if (it == incoming_.end() ||
      UnitsOf(it->second.in_use, source.resource) <= Units()) {
    ReportViolation(
        "release borrowed unit", source.loan->lender,
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
  outgoing_.emplace(
      id, OutgoingLoan{borrower, incarnation, queue, {}, {}, now, free_at});
  outgoing_ends_.insert({free_at, id});
  if (!Extend(id, units)) {
    outgoing_ends_.erase({free_at, id});
    outgoing_.erase(id);
    return std::nullopt;
  }
  return id;
}

bool SlotLedger::Extend(LoanId id, const ResourceUnits& units) {
  const auto it = outgoing_.find(id);
  if (it == outgoing_.end() || units.units <= Units() ||
      OwnFree(units.resource) < units.units) {
    ReportViolation("lend units",
                    it == outgoing_.end() ? NodeId() : it->second.borrower,
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
  const auto it = outgoing_.find(id);
  if (it == outgoing_.end()) {
    return std::nullopt;
  }
  for (const auto& [resource, units] : it->second.units) {
    // Units that another node owns now must be returned.
    if (draining_accounts_.contains(resource)) {
      return std::nullopt;
    }
  }
  outgoing_ends_.erase({it->second.free_at, id});
  it->second.free_at = now + kLoanTerm + config_.request_timeout;
  outgoing_ends_.insert({it->second.free_at, id});
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
  const auto it = outgoing_.find(message.loan);
  if (it == outgoing_.end() || it->second.borrower != from ||
      it->second.incarnation != incarnation) {
    return freed;
  }
  OutgoingLoan& loan = it->second;
  bool all = true;
  for (const ResourceUnits& got : message.units) {
    const Units lent = UnitsOf(loan.units, got.resource);
    const Units before = UnitsOf(loan.returned, got.resource);
    // The message holds the total returned so far, so that repeated, delayed or
    // lost messages do not matter.
    const Units after = std::clamp(got.units, before, lent);
    if (after > before) {
      loan.returned[got.resource] = after;
      ChangeLent(loan, {got.resource, before - after});
      freed.push_back(got.resource);
    }
  }
  for (const auto& [resource, units] : loan.units) {
    all = all && UnitsOf(loan.returned, resource) == units;
  }
  if (all) {
    EndOutgoing(it, freed);
  }
  return freed;
}

OutgoingLoan* SlotLedger::FindOutgoing(LoanId id) {
  const auto it = outgoing_.find(id);
  return it == outgoing_.end() ? nullptr : &it->second;
}

Units SlotLedger::Outstanding(const OutgoingLoan& loan, ResourceKind kind) {
  Units sum;
  for (const auto& [resource, units] : loan.units) {
    if (resource.kind == kind) {
      sum += units - UnitsOf(loan.returned, resource);
    }
  }
  return sum;
}

BorrowId SlotLedger::NextBorrow(const NodeId& lender,
                                const QueueId& queue,
                                Time now) {
  const BorrowId id(next_borrow_++);
  sent_borrows_.emplace(id, SentBorrow{lender, queue, now});
  return id;
}

std::optional<LoanKey> SlotLedger::OnGrant(const NodeId& from,
                                           const LoanGrant& message,
                                           Time now) {
  // Requested by an earlier process of this node, whose requests may still run
  // on the units, so they must not be returned.
  if (message.borrow.value() <= config_.incarnation.value()) {
    return std::nullopt;
  }
  const LoanKey key{from, message.loan};
  const auto sent = sent_borrows_.find(message.borrow);
  const bool known = sent != sent_borrows_.end() &&
                     sent->second.lender == from &&
                     sent->second.queue == message.queue;
  const Time expires =
      known ? sent->second.sent + std::min(message.term, kLoanTerm)
            : Time::min();
  const auto old = incoming_.find(key);
  if (old != incoming_.end()) {
    if (old->second.ended) {
      // The lender renews a returned loan: the LoanReturn was lost.
      SendReturn(key, old->second.returned);
    } else {
      old->second.expires = std::max(old->second.expires, expires);
    }
    return std::nullopt;
  }
  IncomingLoan loan{message.queue, {}, {}, {}, expires, false};
  for (const ResourceUnits& it : message.units) {
    loan.units[it.resource] += it.units;
  }
  const auto floor = max_forgotten_loans_.find(from);
  if (floor != max_forgotten_loans_.end() && message.loan <= floor->second) {
    SendReturn(key, loan.units);
    return std::nullopt;
  }
  incoming_.emplace(key, std::move(loan));
  if (now >= expires) {
    // Keeps the loan as ended, since a renewal may already be on its way.
    ReturnIdle(key, now);
    return std::nullopt;
  }
  return key;
}

Units SlotLedger::BorrowedFree(const LoanKey& key,
                               const ResourceId& resource,
                               Time now) const {
  const auto it = incoming_.find(key);
  if (it == incoming_.end() || it->second.ended || now >= it->second.expires) {
    return Units();
  }
  const IncomingLoan& loan = it->second;
  return UnitsOf(loan.units, resource) - UnitsOf(loan.in_use, resource) -
         UnitsOf(loan.returned, resource);
}

void SlotLedger::ReturnIdle(const LoanKey& key, Time now) {
  const auto it = incoming_.find(key);
  if (it == incoming_.end() || it->second.ended) {
    return;
  }
  IncomingLoan& loan = it->second;
  bool changed = false;
  bool all = true;
  for (const auto& [resource, units] : loan.units) {
    const Units used = UnitsOf(loan.in_use, resource);
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
  for (const Ownership::PendingUnits& it : account.ownership.waiting) {
    account.usable -= it.units;
  }
  const bool blocked = now < account.blocked_until;
  if (blocked) {
    account.usable = Units();
  }
  if (blocked || !account.ownership.waiting.empty()) {
    pending_accounts_.insert(resource);
  } else {
    pending_accounts_.erase(resource);
  }
  UpdateDraining(resource, account);
}

void SlotLedger::UpdateDraining(const ResourceId& resource,
                                const Account& account) {
  if (account.own_in_use + account.lent > account.usable) {
    draining_accounts_.insert(resource);
  } else {
    draining_accounts_.erase(resource);
  }
}

Units SlotLedger::Free(const Account& account) {
  return std::max(Units(), account.usable - account.own_in_use - account.lent);
}

void SlotLedger::ChangeLent(const OutgoingLoan& loan,
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

void SlotLedger::ReportViolation(const char* step,
                                 const NodeId& peer,
                                 std::string what) {
  violations_.push_back({step, peer.value(), std::move(what)});
}

void SlotLedger::EndOutgoing(std::map<LoanId, OutgoingLoan>::iterator it,
                             std::vector<ResourceId>& freed) {
  for (const auto& [resource, units] : it->second.units) {
    const Units left = units - UnitsOf(it->second.returned, resource);
    if (left > Units()) {
      ChangeLent(it->second, {resource, Units() - left});
      freed.push_back(resource);
    }
  }
  outgoing_ends_.erase({it->second.free_at, it->first});
  outgoing_.erase(it);
}

void SlotLedger::PruneHistory(Time now) {
  while (!sent_borrows_.empty() &&
         sent_borrows_.begin()->second.sent + kLoanTerm <= now) {
    sent_borrows_.erase(sent_borrows_.begin());
  }
  while (!ended_.empty() &&
         ended_.front().second + kEndedLoanRetention <= now) {
    const LoanKey& key = ended_.front().first;
    LoanId& floor = max_forgotten_loans_[key.lender];
    floor = std::max(floor, key.loan);
    incoming_.erase(key);
    ended_.pop_front();
  }
}

}  // namespace baobab
