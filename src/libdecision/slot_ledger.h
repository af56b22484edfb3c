#ifndef SRC_LIBDECISION_SLOT_LEDGER_H_
#define SRC_LIBDECISION_SLOT_LEDGER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/node_config.h"
#include "libdecision/unit_owners.h"

namespace baobab {

/** Time for which a lent unit may start requests. */
inline constexpr Duration kLoanTerm = std::chrono::seconds(1);

/** A loan as the borrower names it. */
struct LoanKey {
  NodeId lender;
  LoanId loan;

  auto operator<=>(const LoanKey&) const = default;
};

/** Where a unit in use comes from: an own unit if `loan` is empty. */
struct UnitSource {
  ResourceId resource;
  std::optional<LoanKey> loan;

  bool operator==(const UnitSource&) const = default;
};

/** Units of a loan that this node gave. */
struct OutgoingLoan {
  NodeId borrower;
  Incarnation incarnation;
  QueueId queue;
  /** As granted; never changed by a renewal. */
  std::map<ResourceId, Units> units;
  /** Given back so far. */
  std::map<ResourceId, Units> returned;
  /** Start of the time not yet charged to the queue. */
  Time charged_until;
  /** From then on the units are free even without a LoanReturn. */
  Time free_at;
};

/** Units of a loan that this node got. */
struct IncomingLoan {
  QueueId queue;
  std::map<ResourceId, Units> units;
  std::map<ResourceId, Units> in_use;
  std::map<ResourceId, Units> returned;
  /** No request starts on the loan from then on. Counted from the time at
   * which the borrow request was sent, so that the age of the grant message
   * does not prolong the loan. */
  Time expires;
  /** All units were given back; a later grant does not revive the loan. */
  bool ended = false;
};

/** Which units of minion slots, queue limits and team quotas this node may use
 * now. For each resource, units in use + units lent <= usable owned units +
 * borrowed units; an action that would break this does not happen and is
 * reported by TakeViolations(). */
class SlotLedger {
 public:
  SlotLedger(const NodeConfig& config, Time started);

  /** See UnitOwners::SetView(). */
  void SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);

  /** Sets the units a resource has fleet-wide; 0 if it is gone. The data centre
   * is that of a minion, otherwise empty. */
  void SetResource(const ResourceId& resource,
                   Units units,
                   const DataCentreId& data_centre,
                   Units reserved,
                   Time now);

  /** Highest view which this node may tell peers it has adopted. A view is
   * held back while units lost in it are in use, lent or not yet usable, so
   * that a new owner may use them at once when it hears of the adoption. */
  ViewNumber AnnouncedView(Time now) const;

  /** Lets waiting times end: units of former owners, silent borrowers and
   * loans got. Returns resources with more free units than before. */
  std::vector<ResourceId> Advance(Time now);

  /** Own units that are neither in use nor lent; never negative. */
  Units OwnFree(const ResourceId& resource) const;
  /** Own units that may be used, free or not. */
  Units OwnUsable(const ResourceId& resource) const;
  const Ownership* OwnershipOf(const ResourceId& resource) const;
  /** Units of the resource in use by this node, own and borrowed. */
  Units InUse(const ResourceId& resource) const;

  /** Takes a unit for a request; false and a violation if there is none. */
  bool Use(const UnitSource& source, Time now);
  void Release(const UnitSource& source);

  /** Lends free own units for requests of `queue`; empty and a violation if
   * they are not free. Grant() makes the message. */
  std::optional<LoanId> Lend(const NodeId& borrower,
                             Incarnation incarnation,
                             const QueueId& queue,
                             const ResourceUnits& units,
                             Time now);
  /** Adds units to a loan for which no message was made yet. */
  bool Extend(LoanId loan, const ResourceUnits& units);
  /** The message for a new loan, or for a loan that is prolonged from now;
   * empty if it is unknown, all returned, or of units that this node has lost
   * to another owner. */
  std::optional<LoanGrant> Grant(LoanId loan, BorrowId borrow, Time now);
  /** Minion slots lent for requests of the queue. */
  Units LentSlots(const QueueId& queue) const;
  /** Takes units back; returns resources with more free units than before.
   * Messages of another incarnation than the loan's are ignored: requests of
   * the earlier process may still run on the units. */
  std::vector<ResourceId> OnReturn(const NodeId& from,
                                   Incarnation incarnation,
                                   const LoanReturn& message);
  const std::map<LoanId, OutgoingLoan>& outgoing() const { return outgoing_; }
  OutgoingLoan* FindOutgoing(LoanId loan);
  /** Units of a given loan that are not returned, of one kind. */
  static Units Outstanding(const OutgoingLoan& loan, ResourceKind kind);

  /** Number for the next borrow request; remembers when it was sent. */
  BorrowId NextBorrow(const NodeId& lender, const QueueId& queue, Time now);
  /** Enters a loan or its renewal. Units that cannot be used are returned by
   * TakeMessages(). Returns the loan if it is new. */
  std::optional<LoanKey> OnGrant(const NodeId& from,
                                 const LoanGrant& message,
                                 Time now);
  const std::map<LoanKey, IncomingLoan>& incoming() const { return incoming_; }
  /** Units of a loan that may start a request at `now`. */
  Units BorrowedFree(const LoanKey& loan,
                     const ResourceId& resource,
                     Time now) const;
  /** Gives back all units of the loan that are not in use. */
  void ReturnIdle(const LoanKey& loan, Time now);

  /** LoanReturn messages that wait to be sent. */
  std::vector<SendPeer> TakeMessages();
  /** Violations since the last call, with step, peer and what. */
  std::vector<Error> TakeViolations();

 private:
  struct Account {
    Units units;
    DataCentreId data_centre;
    Units reserved;
    Ownership ownership;
    /** Owned units that may be used now. */
    Units usable;
    Units own_in_use;
    Units borrowed_in_use;
    Units lent;
    /** Nothing is usable until then: the minion changed its data centre. */
    Time blocked_until;
  };
  struct SentBorrow {
    NodeId lender;
    QueueId queue;
    Time sent;
  };

  void Recompute(const ResourceId& resource, Account& account, Time now);
  void UpdateUsable(const ResourceId& resource, Account& account, Time now);
  void UpdateDraining(const ResourceId& resource, const Account& account);
  static Units Free(const Account& account);
  void ChangeLent(const OutgoingLoan& loan, const ResourceUnits& change);
  void SendReturn(const LoanKey& key,
                  const std::map<ResourceId, Units>& returned);
  void ReportViolation(const char* step, const NodeId& peer, std::string what);
  void EndOutgoing(std::map<LoanId, OutgoingLoan>::iterator it,
                   std::vector<ResourceId>& freed);
  void PruneHistory(Time now);

  NodeConfig config_;
  UnitOwners owners_;
  std::map<ResourceId, Account> accounts_;
  /** Accounts with units that wait for their former owner. */
  std::set<ResourceId> pending_accounts_;
  /** Accounts that may use or lend more than they own now. */
  std::set<ResourceId> draining_accounts_;
  ViewNumber announced_;
  std::map<LoanId, OutgoingLoan> outgoing_;
  std::set<std::pair<Time, LoanId>> outgoing_ends_;
  std::map<QueueId, Units> lent_slots_;
  /** Includes ended loans, which are kept for a while. */
  std::map<LoanKey, IncomingLoan> incoming_;
  std::deque<std::pair<LoanKey, Time>> ended_;
  /** Highest loan of each lender that ended and was forgotten. A lower one that
   * is not in incoming_ is over, whatever messages arrive later. */
  std::map<NodeId, LoanId> max_forgotten_loans_;
  std::map<BorrowId, SentBorrow> sent_borrows_;
  std::uint64_t next_loan_;
  std::uint64_t next_borrow_;
  std::vector<SendPeer> messages_;
  std::vector<Error> violations_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_SLOT_LEDGER_H_
