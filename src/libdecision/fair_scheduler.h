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

/** Own units of a minion, for MinionStatus. */
struct MinionUnits {
  MinionId minion;
  ServiceId service;
  Units owned;
  /** Used by requests of this node, on own and borrowed units. */
  Units in_use;
};

/** Requests of a queue on this node, for QueueStatus. */
struct QueueUse {
  QueueId queue;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
};

/** Decides which queued request starts next and on which minion: start-time
 * fair queueing by weight over slot time among the queues of a service,
 * earliest deadline first inside a queue, within the units of SlotLedger. */
class FairScheduler : public RequestScheduler {
 public:
  FairScheduler(const NodeConfig& config, Time started);
  ~FairScheduler() override;
  FairScheduler(const FairScheduler&) = delete;
  FairScheduler& operator=(const FairScheduler&) = delete;

  /** Queues a request. Refusals: kNoTable, kUnknownQueue, kStopping, kNoMinion,
   * kOverLimit, kOverQuota, kBacklogFull, kDeadlinePassed and
   * kCannotStartInTime. The id must not be in the scheduler. */
  tl::expected<void, Refusal> Admit(const QueuedRequest& request,
                                    Time now) override;
  /** Drops a waiting request; does nothing if it has started or is unknown. */
  void Withdraw(RequestId id) override;
  /** Starts what may start now, gives and renews loans and asks peers for
   * units. Requests past their start_by are not started; TakeExpired() has
   * them. To be called after every event, but only while the node is confirmed:
   * no other method uses or lends a unit. */
  std::vector<RequestStart> TakeStarts(Time now,
                                       const UsableMinion& usable) override;
  /** Removes waiting requests that are past their start_by, or whose queue has
   * left the table. */
  std::vector<RefusedRequest> TakeExpired(Time now) override;
  /** The attempt that TakeStarts() started has ended. */
  void Finish(RequestId id, Time now) override;

  void SetTable(const Table& table, Time now);
  void SetMinions(const std::vector<MinionEntry>& minions, Time now);
  /** See UnitOwners::SetView() for the order of calls. */
  void SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);
  /** The view to announce in heartbeats as adopted. It may lag behind the view
   * in use, see SlotLedger::AnnouncedView(). */
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
  /** Spare and wanted slots of a peer by its last heartbeat. */
  void SetPeerLoads(const NodeId& peer, const std::vector<ServiceLoad>& loads);
  /** Spare and wanted slots of this node, for its heartbeat. */
  std::vector<ServiceLoad> Loads() const;
  /** Lets waiting times and loans end; every 50 ms. */
  void Tick(Time now);
  /** Returns idle loans, gives and takes no more; for a stop. Requests that
   * run keep their units until Finish(). */
  void ReturnAll(Time now);

  std::vector<SendPeer> TakeMessages();
  /** Violated invariants since the last call; the unsafe action was not done.
   */
  std::vector<Error> TakeViolations();
  std::vector<MinionUnits> MinionUse() const;
  std::vector<QueueUse> QueueUses() const;
  Bytes backlog_bytes() const { return backlog_.total(); }
  const SlotLedger& ledger() const { return ledger_; }

 private:
  struct Minion {
    MinionEntry entry;
    ResourceId resource;
    std::int64_t own_free = 0;
    std::int64_t own_usable = 0;
  };
  /** A minion by free own units, most first. */
  using FreeKey = std::pair<std::int64_t, MinionId>;
  struct Service {
    std::vector<FairQueue*> queues;
    std::vector<MinionId> minions;
    /** Queues with demand by tag and position. */
    std::set<std::pair<std::int64_t, std::size_t>> active;
    /** Minions with free own units; the key is negative. */
    std::set<FreeKey> free;
    std::int64_t own_free = 0;
    std::int64_t waiting = 0;
    std::int64_t virtual_time = 0;
    std::int64_t total_weight = 0;
    Duration shortest_urgent_deadline{0};
    /** Own slots that long-running batch queues may hold, and hold now. */
    std::int64_t long_running_limit = 0;
    std::int64_t long_running_slots = 0;
    /** Positions of queues with loans from other nodes. */
    std::set<std::size_t> borrowing;
    /** Positions of queues with units to lend to other nodes. */
    std::set<std::size_t> remote;
    /** Units by owner over the minions of the service. */
    std::map<NodeId, Units> units_by_owner;
    std::int64_t own_usable = 0;
    /** Spare slots of peers as they last told. */
    std::map<NodeId, Units> peer_spare_slots;
  };
  struct RunningRequest {
    QueueId queue;
    MinionId minion;
    Time started;
    Duration charged{0};
    std::vector<UnitSource> sources;
  };
  struct SlotChoice {
    MinionId minion;
    std::optional<LoanKey> loan;
  };
  /** Loans made in one run of a service, by queue and borrower. */
  using Grants = std::map<std::pair<QueueId, NodeId>, LoanId>;

  FairQueue* FindQueue(const QueueId& id);
  Service* ServiceOf(const FairQueue& queue);
  void Rebuild(Time now);
  void RebuildQueues(Time now);
  void RebuildServices();
  void DropQueue(FairQueue& queue, Time now);
  void RefreshMinion(const MinionId& id);
  void RefreshUnits();
  void OnUnitsFreed(const std::vector<ResourceId>& freed);
  void MarkQuotaDirty(const ResourceId& quota);
  void UpdateActive(Service& service, FairQueue& queue);
  void Charge(Service& service, FairQueue& queue, Duration slot_time);
  void UpdateLongRunning(const Service& service, FairQueue& queue);
  void ExpireWaiting(Time now);
  void RemoveWaiting(FairQueue& queue, const QueuedRequest& request);
  std::optional<Refusal> EstimateRefusal(const Service& service,
                                         const FairQueue& queue,
                                         const QueuedRequest& request,
                                         Time now) const;

  void ScheduleService(Service& service,
                       Time now,
                       const UsableMinion& usable,
                       std::vector<RequestStart>& starts);
  void BorrowAndReturn(Service& service, Time now);
  Shortage StartOrLend(Service& service,
                       FairQueue& queue,
                       Time now,
                       const UsableMinion& usable,
                       std::vector<RequestStart>& starts,
                       Grants& grants);
  Shortage StartLocal(Service& service,
                      FairQueue& queue,
                      Time now,
                      const UsableMinion& usable,
                      std::vector<RequestStart>& starts);
  bool TakeUnits(RunningRequest& run, Time now);
  void ReleaseUnits(const RunningRequest& run);
  std::optional<UnitSource> FindUnit(const FairQueue& queue,
                                     const ResourceId& resource,
                                     Time now) const;
  std::optional<SlotChoice> ChooseSlot(const Service& service,
                                       const FairQueue& queue,
                                       const std::vector<MinionId>& avoid,
                                       Time now,
                                       const UsableMinion& usable) const;
  const Minion* ChooseOwnMinion(const Service& service,
                                const FairQueue& queue,
                                const std::vector<MinionId>& avoid,
                                const UsableMinion& usable) const;
  void ChargeSlot(Service& service, FairQueue& queue, Duration slot_time);

  void RenewLoans(Service& service,
                  FairQueue& queue,
                  const NodeId& borrower,
                  Time now);
  Shortage LendSlot(Service& service,
                    FairQueue& queue,
                    const NodeId& borrower,
                    Time now,
                    const UsableMinion& usable,
                    Grants& grants);
  void LendLimitAndQuota(FairQueue& queue, Time now, Grants& grants);
  bool LendUnits(FairQueue& queue,
                 const NodeId& borrower,
                 const ResourceUnits& units,
                 Time now,
                 Grants& grants);
  bool MayRenew(const Service& service,
                const FairQueue& queue,
                Units held,
                Time remote_start_by) const;
  void ChargeLoan(Service& service,
                  FairQueue& queue,
                  OutgoingLoan& loan,
                  Units slots,
                  Time now);
  void SendGrants(const Grants& grants, Time now);
  void ReturnIdle(FairQueue& queue, Time now);
  Units FreeUnits(const FairQueue& queue,
                  const ResourceId& resource,
                  Time now) const;
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
  /** Queues which compete for the quota, by quota. */
  std::map<ResourceId, std::set<ServiceId>> quota_services_;
  std::unordered_map<RequestId, QueuedRequest> waiting_;
  std::set<std::pair<Time, RequestId>> expiry_;
  std::unordered_map<RequestId, RunningRequest> running_;
  /** Refused, but not yet taken by TakeExpired(). */
  std::vector<RefusedRequest> refused_;
  std::set<ServiceId> dirty_services_;
  std::uint64_t service_rotation_ = 0;
  std::vector<SendPeer> messages_;
  std::vector<Error> violations_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FAIR_SCHEDULER_H_
