#ifndef SRC_LIBDECISION_FAIR_SCHEDULER_H_
#define SRC_LIBDECISION_FAIR_SCHEDULER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libdecision/backlog.h"
#include "libdecision/fair_queue.h"
#include "libdecision/platform.h"
#include "libdecision/scheduling.h"

namespace baobab {

/** Units of a minion owned and used by this node, for MinionStatus. */
struct MinionUnits {
  MinionId minion;
  ServiceId service;
  Units owned;
  /** In use by requests of this node, on own and borrowed units. */
  Units in_use;
};

/** Request counts of a queue on this node, for QueueStatus. */
struct QueueUsage {
  QueueId queue;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
};

/** Decides which queued request starts next and on which minion. Queues of a
 * service share slot time by start-time fair queueing (SFQ) in proportion to
 * their weights; within a queue the earliest deadline goes first. Uses only the
 * units that SlotLedger grants. */
class FairScheduler : public RequestScheduler {
 public:
  FairScheduler(const NodeConfig& config, Time started);
  ~FairScheduler() override;
  FairScheduler(const FairScheduler&) = delete;
  FairScheduler& operator=(const FairScheduler&) = delete;

  /** Queues a request. Refusals: kNoTable, kUnknownQueue, kStopping, kNoMinion,
   * kOverLimit, kOverQuota, kBacklogFull, kDeadlinePassed and
   * kCannotStartInTime. The id must not be waiting or running already. */
  tl::expected<void, Refusal> Admit(const QueuedRequest& request,
                                    Time now) override;
  /** Removes a waiting request; ignores a started or unknown id. */
  void Withdraw(RequestId id) override;
  /** Starts the requests that may start now, grants and renews loans and sends
   * borrow requests. Requests past their start_by are left to TakeExpired().
   * Call this after every event, but only while the node is confirmed: no other
   * method uses or lends a unit. */
  std::vector<RequestStart> TakeStarts(Time now,
                                       const UsableMinion& usable) override;
  /** Removes the waiting requests that are past their start_by or whose queue
   * was removed from the table. */
  std::vector<RefusedRequest> TakeExpired(Time now) override;
  /** Releases the units of an attempt that TakeStarts() started. */
  void Finish(RequestId id, Time now) override;

  void SetTable(const Table& table, Time now);
  void SetMinions(const std::vector<MinionEntry>& minions, Time now);
  /** See UnitOwners::SetView() for the order of calls. */
  void SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);
  /** Returns the view to announce in heartbeats as adopted. It may lag behind
   * the view in use, see SlotLedger::AnnouncedView(). */
  ViewNumber AnnouncedView(Time now) const;

  void OnBorrow(const NodeId& from,
                Incarnation incarnation,
                const BorrowRequest& message,
                Time now);
  void OnGrant(const NodeId& from,
               Incarnation incarnation,
               const LoanGrant& message,
               Time now);
  void OnReturn(const NodeId& from,
                Incarnation incarnation,
                const LoanReturn& message,
                Time now);
  /** Sets the spare and wanted slots of a peer from its last heartbeat. */
  void SetPeerLoads(const NodeId& peer, const std::vector<ServiceLoad>& loads);
  /** Returns the spare and wanted slots of this node, for its heartbeat. */
  std::vector<ServiceLoad> Loads() const;
  /** Ends handover waits and loans that have expired; called every 50 ms. */
  void Tick(Time now);
  /** Returns idle loans and stops lending and borrowing, for a shutdown.
   * Running requests keep their units until Finish(). */
  void ReturnAll(Time now);

  /** Returns the messages to peers since the last call. */
  std::vector<SendPeer> TakeMessages();
  /** Returns the invariant violations since the last call; the unsafe actions
   * were not carried out. */
  std::vector<Error> TakeViolations();
  /** Returns the owned and used units of each minion. */
  std::vector<MinionUnits> MinionUsage() const;
  /** Returns the request counts of each queue. */
  std::vector<QueueUsage> QueueUsages() const;
  Bytes backlog_bytes() const { return backlog_.total(); }
  const SlotLedger& ledger() const { return ledger_; }

 private:
  /** A minion with this node's free and usable units of it. */
  struct Minion {
    MinionEntry entry;
    ResourceId resource;
    std::int64_t own_free = 0;
    std::int64_t own_usable = 0;
  };
  /** Sort key of a minion: negated number of free own units, then id. */
  using FreeKey = std::pair<std::int64_t, MinionId>;
  /** Scheduling state of one service. */
  struct Service {
    /** Queues of the service; the index of each is its position. */
    std::vector<FairQueue*> queues;
    std::vector<MinionId> minions;
    /** Queues with demand by start tag and position. */
    std::set<std::pair<std::int64_t, std::size_t>> active;
    /** Minions with free own units, most free units first. */
    std::set<FreeKey> free;
    /** Free own units of all minions. */
    std::int64_t own_free = 0;
    /** Waiting requests of all queues. */
    std::int64_t waiting = 0;
    /** SFQ virtual time: highest start tag at which a queue got a slot. */
    std::int64_t virtual_time = 0;
    /** Sum of the weights of the queues. */
    std::int64_t total_weight = 0;
    /** Shortest deadline of the urgent queues; 0 if there are none. */
    Duration shortest_urgent_deadline{0};
    /** Own slots that long-running batch queues may hold, and hold now. */
    std::int64_t long_running_limit = 0;
    std::int64_t long_running_slots = 0;
    /** Positions of the queues with loans from other nodes. */
    std::set<std::size_t> borrowing;
    /** Positions of the queues for which other nodes request units. */
    std::set<std::size_t> remote;
    /** Minion slots of the service by owning node. */
    std::map<NodeId, Units> units_by_owner;
    /** Usable own units of all minions, free or not. */
    std::int64_t own_usable = 0;
    /** Spare slots of peers by their last heartbeats. */
    std::map<NodeId, Units> peer_spare_slots;
  };
  /** A started request and the units that it uses. */
  struct RunningRequest {
    QueueId queue;
    MinionId minion;
    Time started;
    /** Slot time charged at the start. */
    Duration charged{0};
    /** Units of the slot, the limit and the quota. */
    std::vector<UnitSource> sources;
  };
  /** Minion for a request, and the loan whose slot it uses; an own slot if
   * empty. */
  struct SlotChoice {
    MinionId minion;
    std::optional<LoanKey> loan;
  };
  /** Loans made in one scheduling run of a service, by queue and borrower. */
  using Grants = std::map<std::pair<QueueId, NodeId>, LoanId>;

  FairQueue* FindQueue(const QueueId& id);
  Service* ServiceOf(const FairQueue& queue);
  /** Rebuilds queues and services after the table or the minions changed. */
  void Rebuild(Time now);
  void RebuildQueues(Time now);
  void RebuildServices();
  /** Refuses the waiting requests of a removed queue and returns its loans. */
  void DropQueue(FairQueue& queue, Time now);
  /** Updates the free and usable own units of a minion. */
  void RefreshMinion(const MinionId& id);
  /** Recomputes the units of all services after a change of ownership. */
  void RefreshUnits();
  /** Marks the services that may use the freed units for scheduling. */
  void OnUnitsFreed(const std::vector<ResourceId>& freed);
  /** Marks the services with demand whose queues share the quota for
   * scheduling. */
  void MarkQuotaDirty(const ResourceId& quota);
  /** Adds the queue to the queues with demand or removes it. */
  void UpdateActive(Service& service, FairQueue& queue);
  /** Charges slot time to the queue and reorders it among the active ones. */
  void Charge(Service& service, FairQueue& queue, Duration slot_time);
  /** Recomputes whether the queue counts as long-running batch. */
  void UpdateLongRunning(const Service& service, FairQueue& queue);
  /** Refuses the waiting requests that are past their start_by. */
  void ExpireWaiting(Time now);
  void RemoveWaiting(FairQueue& queue, const QueuedRequest& request);
  /** Refuses a request whose estimated waiting time exceeds its deadline. */
  std::optional<Refusal> EstimateRefusal(const Service& service,
                                         const FairQueue& queue,
                                         const QueuedRequest& request,
                                         Time now) const;

  /** Starts requests, lends and borrows for the queues of a service. */
  void ScheduleService(Service& service,
                       Time now,
                       const UsableMinion& usable,
                       std::vector<RequestStart>& starts);
  /** Returns idle loans and sends borrow requests for a service's queues. */
  void BorrowAndReturn(Service& service, Time now);
  /** Starts one local request of the queue or lends one slot, whichever is more
   * urgent; returns the shortage that prevents both, or kNone. */
  Shortage StartOrLend(Service& service,
                       FairQueue& queue,
                       Time now,
                       const UsableMinion& usable,
                       std::vector<RequestStart>& starts,
                       Grants& grants);
  /** Starts the first waiting request of the queue; returns the shortage that
   * prevents it, or kNone. */
  Shortage StartLocal(Service& service,
                      FairQueue& queue,
                      Time now,
                      const UsableMinion& usable,
                      std::vector<RequestStart>& starts);
  /** Takes all units in `run.sources` or none; returns whether it did. */
  bool TakeUnits(RunningRequest& run, Time now);
  void ReleaseUnits(const RunningRequest& run);
  /** Returns a free unit of a limit or quota, preferably a borrowed one. */
  std::optional<UnitSource> FindUnit(const FairQueue& queue,
                                     const ResourceId& resource,
                                     Time now) const;
  /** Returns a free slot of a usable minion, preferably not one of `avoid`. */
  std::optional<SlotChoice> ChooseSlot(const Service& service,
                                       const FairQueue& queue,
                                       const std::vector<MinionId>& avoid,
                                       Time now,
                                       const UsableMinion& usable) const;
  /** Returns the usable minion with the most free own units, preferably not one
   * of `avoid`; null if there is none. */
  const Minion* ChooseOwnMinion(const Service& service,
                                const FairQueue& queue,
                                const std::vector<MinionId>& avoid,
                                const UsableMinion& usable) const;
  /** Advances the service's virtual time to the queue's start tag and charges
   * the queue for a slot; limits the credit of a queue that fell behind. */
  void ChargeSlot(Service& service, FairQueue& queue, Duration slot_time);

  /** Renews the loans of the queue to the borrower as its open borrow request
   * asks, and reduces the request to the units beyond them. */
  void RenewLoans(Service& service,
                  FairQueue& queue,
                  const NodeId& borrower,
                  Time now);
  /** Lends one slot for the queue to the borrower; returns kSlots if none is
   * free. */
  Shortage LendSlot(Service& service,
                    FairQueue& queue,
                    const NodeId& borrower,
                    Time now,
                    const UsableMinion& usable,
                    Grants& grants);
  /** Lends the limit and quota units that local requests do not need. */
  void LendLimitAndQuota(FairQueue& queue, Time now, Grants& grants);
  /** Adds units to a loan of this scheduling run, or to a new one. */
  bool LendUnits(FairQueue& queue,
                 const NodeId& borrower,
                 const ResourceUnits& units,
                 Time now,
                 Grants& grants);
  /** Returns true if deadlines and fairness between the queues allow the
   * renewal of a loan. */
  bool MayRenew(const Service& service,
                const FairQueue& queue,
                Units held,
                Time remote_start_by) const;
  /** Charges the queue for the time that lent slots were out since the last
   * charge. */
  void ChargeLoan(Service& service,
                  FairQueue& queue,
                  OutgoingLoan& loan,
                  Units slots,
                  Time now);
  /** Sends the borrowers the grants of their new loans. */
  void SendGrants(const Grants& grants, Time now);
  /** Returns the idle units of the queue's loans to the lenders. */
  void ReturnIdle(FairQueue& queue, Time now);
  /** Free units of a limit or quota, own and borrowed. */
  Units FreeUnits(const FairQueue& queue,
                  const ResourceId& resource,
                  Time now) const;
  /** Sends borrow requests for the units that the queue lacks. */
  void SendBorrowRequests(const Service& service, FairQueue& queue, Time now);

  NodeConfig config_;
  SlotLedger ledger_;
  BacklogBytes backlog_;
  bool has_table_ = false;
  bool stopping_ = false;
  Table table_;
  std::map<QueueId, std::unique_ptr<FairQueue>> queues_;
  std::map<ServiceId, Service> services_;
  std::vector<MinionEntry> minion_list_;
  std::map<MinionId, Minion> minions_;
  /** Services whose queues share a quota, by quota. */
  std::map<ResourceId, std::set<ServiceId>> quota_services_;
  std::unordered_map<RequestId, QueuedRequest> waiting_;
  /** Waiting requests by start_by. */
  std::set<std::pair<Time, RequestId>> expiry_;
  std::unordered_map<RequestId, RunningRequest> running_;
  /** Refused requests not yet returned by TakeExpired(). */
  std::vector<RefusedRequest> refused_;
  /** Services to schedule in the next TakeStarts(). */
  std::set<ServiceId> dirty_services_;
  /** Rotates which service is scheduled first. */
  std::uint64_t service_rotation_ = 0;
  std::vector<SendPeer> messages_;
  std::vector<Error> violations_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FAIR_SCHEDULER_H_
