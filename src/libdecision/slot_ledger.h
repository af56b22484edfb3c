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

/** Term of a loan: the borrower may start requests on its units for this time
 * after it sent the borrow request. */
inline constexpr Duration kLoanTerm = std::chrono::seconds(1);

/** Identifies a loan at the borrower. */
struct LoanKey {
  NodeId lender;
  LoanId loan;

  auto operator<=>(const LoanKey&) const = default;
};

/** Source of a unit in use: a loan, or an own unit if `loan` is empty. */
struct UnitSource {
  ResourceId resource;
  std::optional<LoanKey> loan;

  bool operator==(const UnitSource&) const = default;
};

/** A loan granted by this node. */
struct OutgoingLoan {
  NodeId borrower;
  Incarnation incarnation;
  QueueId queue;
  /** Units as granted; a renewal does not change them. */
  std::map<ResourceId, Units> units;
  /** Units returned so far. */
  std::map<ResourceId, Units> returned;
  /** Time up to which the loan is charged to the queue. */
  Time charged_until;
  /** Time at which the units are free again even without a LoanReturn. */
  Time free_at;
};

/** A loan received by this node. */
struct IncomingLoan {
  QueueId queue;
  std::map<ResourceId, Units> units;
  std::map<ResourceId, Units> in_use;
  std::map<ResourceId, Units> returned;
  /** End of the loan: no request starts on it from this time on. Counted from
   * the sending of the borrow request, so that the delay of the grant message
   * does not prolong the loan. */
  Time expires;
  /** All units were returned; a later grant does not revive the loan. */
  bool ended = false;
};

/** Accounts for the units of minion slots, queue limits and team quotas that
 * this node may use. For each resource, units in use + units lent <= usable
 * owned units + borrowed units; an action that would break this is not carried
 * out and is reported by TakeViolations(). */
class SlotLedger {
 public:
  SlotLedger(const NodeConfig& config, Time started);

  /** See UnitOwners::SetView(). */
  void SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);

  /** Sets the number of units of a resource in the fleet; 0 if it was removed.
   * `data_centre` is that of a minion, otherwise empty; see
   * UnitOwners::Compute() for `reserved`. */
  void SetResource(const ResourceId& resource,
                   Units units,
                   const DataCentreId& data_centre,
                   Units reserved,
                   Time now);

  /** Returns the highest view that this node may announce to peers as adopted.
   * A view is held back while units lost in it are in use, lent or not yet
   * usable, so that the new owner may use them as soon as it learns of the
   * adoption. */
  ViewNumber AnnouncedView(Time now) const;

  /** Ends the expired waits for former owners, loans to silent borrowers and
   * received loans. Returns the resources with more free units than before. */
  std::vector<ResourceId> Advance(Time now);

  /** Returns the own units that are neither in use nor lent; never negative. */
  Units OwnFree(const ResourceId& resource) const;
  /** Returns the own units that may be used, free or not. */
  Units OwnUsable(const ResourceId& resource) const;
  /** Returns the ownership of a resource, or null if it is unknown. */
  const Ownership* OwnershipOf(const ResourceId& resource) const;
  /** Returns the units of the resource used by this node, own and borrowed. */
  Units InUse(const ResourceId& resource) const;

  /** Takes a unit for a request. Returns false and records a violation if the
   * source has no free unit. */
  bool Use(const UnitSource& source, Time now);
  /** Releases a unit taken by Use(). */
  void Release(const UnitSource& source);

  /** Lends free own units for requests of `queue`. Returns nothing and records
   * a violation if they are not free. Grant() creates the message. */
  std::optional<LoanId> Lend(const NodeId& borrower,
                             Incarnation incarnation,
                             const QueueId& queue,
                             const ResourceUnits& units,
                             Time now);
  /** Adds units to a loan for which no message was created yet. */
  bool Extend(LoanId loan, const ResourceUnits& units);
  /** Creates the message for a new loan, or renews a loan from `now`. Returns
   * nothing if the loan is unknown or fully returned, or if this node has lost
   * its units to another owner. */
  std::optional<LoanGrant> Grant(LoanId loan, BorrowId borrow, Time now);
  /** Returns the minion slots lent for requests of the queue. */
  Units LentSlots(const QueueId& queue) const;
  /** Handles returned units; returns the resources with more free units than
   * before. Ignores messages of another incarnation than the loan's: requests
   * of the borrower's earlier process may still run on the units. */
  std::vector<ResourceId> OnReturn(const NodeId& from,
                                   Incarnation incarnation,
                                   const LoanReturn& message);
  const std::map<LoanId, OutgoingLoan>& outgoing() const { return outgoing_; }
  OutgoingLoan* FindOutgoing(LoanId loan);
  /** Returns the units of one kind in a loan that are not yet returned. */
  static Units Outstanding(const OutgoingLoan& loan, ResourceKind kind);

  /** Returns an id for the next borrow request and records when it was sent. */
  BorrowId NextBorrow(const NodeId& lender, const QueueId& queue, Time now);
  /** Adds a loan or renews it. Units that cannot be used are returned through
   * TakeMessages(). Returns the key of the loan if it is new. */
  std::optional<LoanKey> OnGrant(const NodeId& from,
                                 const LoanGrant& message,
                                 Time now);
  const std::map<LoanKey, IncomingLoan>& incoming() const { return incoming_; }
  /** Returns the units of a loan on which a request may start at `now`. */
  Units BorrowedFree(const LoanKey& loan,
                     const ResourceId& resource,
                     Time now) const;
  /** Returns all units of the loan that are not in use to the lender. */
  void ReturnIdle(const LoanKey& loan, Time now);

  /** Returns the LoanReturn messages to send. */
  std::vector<SendPeer> TakeMessages();
  /** Returns the violations since the last call, with step, peer and
   * description. */
  std::vector<Error> TakeViolations();

 private:
  /** Units of one resource on this node. */
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
    /** End of the time in which no unit is usable, after the minion changed its
     * data centre. */
    Time blocked_until;
  };
  /** A borrow request that may still be granted. */
  struct SentBorrow {
    NodeId lender;
    QueueId queue;
    Time sent;
  };

  /** Recomputes ownership after a change of the view or the resource. */
  void Recompute(const ResourceId& resource, Account& account, Time now);
  /** Recomputes the usable units after a handover may have ended. */
  void UpdateUsable(const ResourceId& resource, Account& account, Time now);
  void UpdateDraining(const ResourceId& resource, const Account& account);
  static Units Free(const Account& account);
  void ChangeLent(const OutgoingLoan& loan, const ResourceUnits& change);
  void SendReturn(const LoanKey& key,
                  const std::map<ResourceId, Units>& returned);
  /** Records a violation for TakeViolations(). */
  void ReportViolation(const char* step, const NodeId& peer, std::string what);
  /** Removes an outgoing loan and frees its units that were not returned. */
  void EndOutgoing(std::map<LoanId, OutgoingLoan>::iterator it,
                   std::vector<ResourceId>& freed);
  /** Removes expired borrow requests and ended loans. */
  void PruneHistory(Time now);

  NodeConfig config_;
  UnitOwners owners_;
  std::map<ResourceId, Account> accounts_;
  /** Accounts with owned units that are not yet usable. */
  std::set<ResourceId> pending_accounts_;
  /** Accounts with more units in use or lent than are usable. */
  std::set<ResourceId> draining_accounts_;
  /** View to announce while the current one is held back. */
  ViewNumber announced_;
  /** Loans granted by this node that have not ended. */
  std::map<LoanId, OutgoingLoan> outgoing_;
  /** Outgoing loans by `free_at`. */
  std::set<std::pair<Time, LoanId>> outgoing_ends_;
  std::map<QueueId, Units> lent_slots_;
  /** Incoming loans, including ended ones within kEndedLoanRetention. */
  std::map<LoanKey, IncomingLoan> incoming_;
  /** Ended loans with their end, oldest first. */
  std::deque<std::pair<LoanKey, Time>> ended_;
  /** Highest removed loan of each lender. A lower one that is not in incoming_
   * has ended, whatever messages arrive later. */
  std::map<NodeId, LoanId> max_forgotten_loans_;
  std::map<BorrowId, SentBorrow> sent_borrows_;
  std::uint64_t next_loan_;
  std::uint64_t next_borrow_;
  std::vector<SendPeer> messages_;
  std::vector<Error> violations_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_SLOT_LEDGER_H_
