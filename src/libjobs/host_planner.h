#ifndef SRC_LIBJOBS_HOST_PLANNER_H_
#define SRC_LIBJOBS_HOST_PLANNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libjobs/policies.h"
#include "libjobs/pool_balance.h"
#include "libjobs/pool_division.h"
#include "libjobs/pool_usage.h"
#include "libjobs/stored_job.h"

namespace baobab {

/** State of a host in the list of the platform. */
enum class HostState { kUp, kMoving, kMaintenance, kDown };

/** Host as listed by the platform. */
struct HostInfo {
  HostId host;
  /** Service whose workers the host runs. */
  ServiceId pool;
  HostState state = HostState::kUp;
  Resources capacity;
};

/** Request of the platform to maintain a set of hosts. */
struct MaintenanceWave {
  int number = 0;
  std::set<HostId> hosts;
  /** Time limit for all hosts, from the publication of the wave. */
  Duration time_limit{0};
  /** Maximum number of hosts in maintenance at the same time. */
  int max_concurrent = 1;

  bool operator==(const MaintenanceWave&) const = default;
};

/** Timings and limits of the planner. */
struct PlannerTuning {
  /** How long a host is away for a move and for maintenance; set by the
   * platform. */
  Duration move_time = std::chrono::milliseconds(1500);
  Duration maintenance_time = std::chrono::milliseconds(2000);
  /** Time for which a host belongs to the planner whose order it received last;
   * set by the platform. */
  Duration order_lease = std::chrono::milliseconds(3000);
  /** Maximum time from sending an order until it arrives. */
  Duration order_timeout = std::chrono::milliseconds(900);
  /** Maximum difference between the clocks of two nodes, jumps included. */
  Duration max_clock_difference = std::chrono::milliseconds(5000);
  /** Time from the return of a host until the owner of its pool knows the new
   * worker. */
  Duration arrival_lag = std::chrono::milliseconds(700);
  /** Maximum time from storing an intent to sending the order. After that the
   * intent is stored again, since the process may have been suspended. */
  Duration max_order_delay = std::chrono::milliseconds(500);
  /** Time for which the platform may still list the worker of a host that has
   * left its pool: three heartbeats of 1.5 s, and the lag of the list. */
  Duration former_worker_ttl = std::chrono::milliseconds(6000);
  /** Minimum time that a host stays in a pool after a move. */
  Duration min_stay = std::chrono::milliseconds(1000);
  /** Time without work after which a host is returned to a standby pool. The
   * two moves, there and back, cost as much as 2.3 s of a host in a pool. */
  Duration idle_timeout = std::chrono::milliseconds(2500);
  /** Returns how long a new planner sends no orders to a host that a previous
   * planner has recently stored an intent for. */
  Duration FormerOrderTimeout() const {
    return order_lease + max_order_delay + order_timeout;
  }
  /** Maximum age of a usage report on which an order may be based. */
  Duration max_usage_age = std::chrono::milliseconds(700);
  /** Intervals between reads of the platform's list of hosts: while hosts are
   * reserved or away, and otherwise. */
  Duration active_list_interval = std::chrono::milliseconds(400);
  Duration idle_list_interval = std::chrono::milliseconds(3000);
  /** Maximum share of a pool in demand that may be away for maintenance at the
   * same time, unless the time limit of the wave requires more. */
  double max_away_share = 0.2;
};

/** Periodic event. */
struct PlannerTick {};
/** The stored records of earlier planners have been read. */
struct PlannerLoaded {
  std::vector<StoredRecord> records;
};
/** New policies are in force. */
struct PlannerPolicies {
  std::shared_ptr<const PolicySet> policies;
};
/** A division with more pools than the last one. */
struct PlannerDivision {
  std::shared_ptr<const PoolDivision> division;
};
/** The maintenance waves of the platform have been read. */
struct WavesRead {
  std::vector<MaintenanceWave> waves;
};
/** Result of ReadHosts: the platform's list of hosts. */
struct HostsRead {
  std::vector<HostInfo> hosts;
  /** The list could not be read. */
  bool failed = false;
};
/** The owner of a shard has reported the usage of its pools. */
struct PoolUsageRead {
  ShardId shard;
  PoolUsage usage;
};
/** The intent is stored, which proves that no later planner has taken over. */
struct IntentStored {
  CommitId commit;
};

/** Outcome of an order to the platform. */
enum class HostOrderResult {
  kDone,
  /** The order has had no effect and will have none. */
  kRefused,
  /** The host is not up, or is leaving. */
  kBusy,
  /** No such host, pool or wave. */
  kInvalid,
  /** No answer: the order may have been carried out or may still be. */
  kUnknown,
};

/** Outcome of MoveHost or MaintainHost. */
struct HostOrderFinished {
  HostId host;
  HostOrderResult result = HostOrderResult::kUnknown;
};

/** Input of the planner. */
struct PlannerEvent {
  Time at;
  /** Wall clock time in ms since 1970. */
  std::int64_t wall_ms = 0;
  std::variant<PlannerTick,
               PlannerLoaded,
               PlannerPolicies,
               PlannerDivision,
               WavesRead,
               HostsRead,
               PoolUsageRead,
               IntentStored,
               HostOrderFinished>
      body;
};

/** Request to store the records; answered by IntentStored. */
struct StoreIntent {
  CommitId commit;
  std::vector<StoredRecord> records;
};
/** Request to read the platform's list of hosts; answered by HostsRead. */
struct ReadHosts {};
/** Order to move the host to `pool`, which ends all runs on it; answered by
 * HostOrderFinished. */
struct MoveHost {
  HostId host;
  ServiceId pool;
};
/** Order to maintain the host, which ends all runs on it; answered by
 * HostOrderFinished. */
struct MaintainHost {
  HostId host;
  int wave = 0;
};
/** Report to the operators on the progress of a wave. */
struct ReportWave {
  int wave = 0;
  bool completed = false;
};
/** Line for the decision log. */
struct LogPlanDecision {
  std::string decision;
  std::string fields;
};

using PlannerEffect = std::variant<StoreIntent,
                                   ReadHosts,
                                   MoveHost,
                                   MaintainHost,
                                   ReportWave,
                                   LogPlanDecision>;
using PlannerEffects = std::vector<PlannerEffect>;

/** Plans the hosts of all pools: maintenance in waves, and moves to pools that
 * need more hosts. One node runs it at a time: before each order an intent is
 * stored, which only the current planner can do.
 *
 * Since demand shifts between pools within seconds, idle hosts of other pools
 * and of standby pools move to where work waits or was refused. Maintenance
 * takes empty hosts first, and leaves busy pools most of their hosts while the
 * time limit of the wave allows. */
class HostPlanner {
 public:
  explicit HostPlanner(const PlannerTuning& tuning);

  /** Handles an event and returns the effects for the caller to carry out. */
  PlannerEffects Apply(const PlannerEvent& event);

  /** Returns the current plans for the owners of all shards with cells that
   * have hosts or get some. */
  std::map<ShardId, HostPlan> Plans(Time now) const;

 private:
  /** Adds the free cores of the cells of each pool to the plans of their
   * owners. */
  void AddCellLoads(std::map<ShardId, HostPlan>& plans, Time now) const;

  /** Why a host is reserved. */
  enum class Purpose { kMove, kMaintenance };

  struct Host {
    HostInfo info;
    /** Last report from the owner of the pool, and when it came. */
    std::optional<HostUsage> usage;
    Time usage_at;
    /** Start of the period in which all usage reports show the host as empty
     * and not awaited; unset while it is not. */
    std::optional<Time> empty_since;

    /** Set while the host is reserved. */
    std::optional<Purpose> purpose;
    /** Pool to move to, for Purpose::kMove. */
    ServiceId target;
    /** Wave of the maintenance, for Purpose::kMaintenance. */
    int wave = 0;
    Time reserved_at;
    /** Set from the storing of the intent until the host has returned or the
     * order has failed. */
    bool order_in_progress = false;
    bool order_sent = false;
    /** When the order was sent; once it is confirmed or the wait for its answer
     * has ended, when that was. */
    Time order_at;
    bool order_confirmed = false;
    /** The last order got no answer. The host counts as away until a list that
     * was read later shows otherwise. */
    bool order_unanswered = false;
    /** When the last move ended or the last order was refused. */
    Time moved_at;
    /** Pool that the host left last, and when. */
    ServiceId former_pool;
    Time left_at;
  };

  /** Progress of a maintenance wave. */
  struct Wave {
    MaintenanceWave spec;
    /** When the wave was first read. */
    Time seen_at;
    /** Hosts whose maintenance is confirmed to have begun. */
    std::set<HostId> begun;
    bool reported_running = false;
    bool completed = false;
  };

  void Handle(const PlannerTick& event);
  void Handle(const PlannerLoaded& event);
  void Handle(const PlannerPolicies& event);
  void Handle(const PlannerDivision& event);
  void Handle(const WavesRead& event);
  void Handle(const HostsRead& event);
  void Handle(const PoolUsageRead& event);
  void Handle(const IntentStored& event);
  void Handle(const HostOrderFinished& event);

  /** Returns the cores of a host, or an assumed number if it is unknown. */
  static double CoresOf(const HostInfo& info);
  bool IsStandby(const ServiceId& pool) const;
  /** Returns whether nothing runs on the host, so an order would end no run. */
  bool IsVacated(const Host& host) const;
  /** Returns the expected time until nothing runs on the host. */
  Duration VacateTime(const Host& host) const;
  /** Returns whether an order of a previous planner may still take effect. */
  bool IsBlocked(const HostId& host) const;
  /** Returns whether the host may have got an order of a previous planner that
   * the last list does not show yet. */
  bool MayBeOrderedByFormerPlanner(const HostId& host) const;
  /** Returns whether the store does not answer, so that no order can be given.
   */
  bool IsStoreAway() const;
  /** Ends all reservations without an order, so that the hosts get work. */
  void ReleaseReservations();
  /** Returns whether the host is or may be in a move or in maintenance. */
  bool IsAway(const Host& host) const;
  /** Returns whether several lists in a row have lacked the host. Pages of a
   * list are read one after the other, so a single list may lack a host that
   * is there. */
  bool HasLeft(const HostId& host) const;
  /** Counts the lists that lack a known host or one of a wave, and forgets
   * hosts that have left. */
  void CountMissedLists(const std::set<HostId>& listed);
  /** Ends the reservation of the host. */
  void Release(Host& host);
  void PlanWaves();
  /** Reserves hosts of the wave and reports its progress. */
  void PlanWave(Wave& wave);

  // Moves between pools (host_planner_moves.cc).
  /** Returns the hosts that may be moved to another pool, in order of
   * preference. */
  std::vector<Host*> FindDonors();
  /** Returns the sum of the reports on the pool's cells that are recent; empty
   * if there is none. */
  std::optional<ServiceUsage> PoolUsageOf(const ServiceId& pool) const;
  /** Returns the cores that are on their way to each cell of the pool. */
  std::map<ShardId, double> CoresMovingTo(const ServiceId& pool) const;
  /** Returns the balance of the pools with recent usage reports. */
  PoolBalance ComputeBalance() const;
  /** Cores that a pool and each of its cells lack. */
  struct Deficit {
    double cores = 0;
    /** Negative for a cell with free cores. */
    std::map<ShardId, double> cells;
    /** The pool as a whole lacks none: only hosts that join a cell which lacks
     * cores are of use. */
    bool cells_only = false;
    /** The cores are for late work, which gets only idle hosts. */
    bool of_late_work = false;
  };
  /** Returns the deficits of all pools that lack cores as a whole or have a
   * cell whose accepted work lacks some. */
  std::map<ServiceId, Deficit> ComputeDeficits(
      const PoolBalance& balance) const;
  /** Returns the deficits of the late work of all cells. It runs behind all
   * other work, so the hosts of its cell may leave before it is done. */
  std::map<ServiceId, Deficit> ComputeLateDeficits() const;
  /** Reserves donors for the pools in turn until no deficit can be lowered. */
  void ReserveDonors(std::vector<Host*>& donors,
                     PoolBalance& balance,
                     std::map<ServiceId, Deficit> deficits);
  /** Reserves a donor that `target` can get and removes it from `donors`: the
   * first one, or one that is as good and joins a cell that lacks more cores.
   * Lowers the deficit. Returns null if there is none. */
  Host* ReserveDonor(std::vector<Host*>& donors,
                     PoolBalance& balance,
                     const ServiceId& target,
                     Deficit& deficit);
  /** Reserves hosts that no pool needs for a move to a standby pool, where they
   * cost nothing. */
  void ReturnIdleHosts(const std::vector<Host*>& donors, PoolBalance& balance);
  /** Reserves hosts for moves to the pools that lack cores. */
  void PlanMoves();
  /** Logs the demand of each pool, at most once a second. */
  void LogDemand(std::size_t donors);
  /** Stores intents for the reserved hosts that are vacated. */
  void StoreIntents();
  /** Emits a line for the decision log. */
  void LogDecision(const std::string& decision, std::string fields);

  const PlannerTuning tuning_;
  bool loaded_ = false;
  Time loaded_at_;
  /** Hosts with a recent order of a previous planner. */
  std::set<HostId> blocked_;
  std::shared_ptr<const PolicySet> policies_;
  std::shared_ptr<const PoolDivision> division_ =
      std::make_shared<const PoolDivision>();
  std::map<HostId, Host> hosts_;
  /** Number of lists in a row, up to the last one, that lack a host. */
  std::map<HostId, int> missed_lists_;
  std::map<int, Wave> waves_;
  /** Last usage report on one cell of a pool, and when it came. */
  struct CellUsage {
    ServiceUsage usage;
    Time at;
  };
  /** By pool and shard. */
  std::map<ServiceId, std::map<ShardId, CellUsage>> cell_usage_;
  Time demand_logged_at_;
  bool reading_hosts_ = false;
  /** When the last read of the host list was started, and the last one that was
   * finished. */
  Time hosts_read_started_at_;
  Time hosts_listed_at_;

  /** Last commit of intents; `intents_` are its hosts until it is stored. */
  CommitId commit_;
  bool storing_ = false;
  /** When storing was started. */
  Time store_started_at_;
  std::vector<HostId> intents_;

  Time now_;
  std::int64_t wall_ms_ = 0;
  PlannerEffects effects_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_HOST_PLANNER_H_
