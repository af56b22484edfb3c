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
#include "libjobs/pool_usage.h"
#include "libjobs/stored_job.h"

namespace baobab {

enum class HostState { kUp, kMoving, kMaintenance, kDown };

/** A host as the platform lists it. */
struct HostInfo {
  HostId host;
  /** Service whose workers the host runs. */
  ServiceId pool;
  HostState state = HostState::kUp;
  Resources capacity;
};

/** Hosts that are due for maintenance. */
struct MaintenanceWave {
  int number = 0;
  std::set<HostId> hosts;
  /** From the publication of the wave. */
  Duration time_limit{0};
  int max_concurrent = 1;

  bool operator==(const MaintenanceWave&) const = default;
};

struct PlannerTuning {
  /** How long a host is away for a move, or for maintenance; of the platform.
   */
  Duration move_time = std::chrono::milliseconds(1500);
  Duration maintenance_time = std::chrono::milliseconds(2000);
  /** A host to which a former planner gave an order gets none from the present
   * one for this long. */
  Duration former_order_timeout = std::chrono::milliseconds(3300);
  /** Clocks of two nodes differ by at most this, jumps included. */
  Duration max_clock_difference = std::chrono::milliseconds(5000);
  /** From the end of a move until the owner of the pool knows the new worker.
   */
  Duration arrival_lag = std::chrono::milliseconds(700);
  /** An order that was stored but not sent within this time is stored again,
   * since the process may have been stopped between. */
  Duration max_order_delay = std::chrono::milliseconds(500);
  /** A host that was moved stays at least this long. */
  Duration min_stay = std::chrono::milliseconds(3000);
  /** A host without work for this long is returned to a standby pool. Two
   * moves, there and back, are paid like a host of a pool for about 2.3 s. */
  Duration idle_timeout = std::chrono::milliseconds(2500);
  /** An outlook that is older does not allow an order. */
  Duration max_usage_age = std::chrono::milliseconds(700);
  /** Between readings of the platform's list of hosts, while hosts are away
   * and otherwise. */
  Duration active_list_interval = std::chrono::milliseconds(400);
  Duration idle_list_interval = std::chrono::milliseconds(3000);
  /** Share of a pool with demand that may be away for maintenance at once, as
   * long as there is time. */
  double max_away_share = 0.2;
};

struct PlannerTick {};
struct PlannerLoaded {
  std::vector<StoredRecord> records;
};
struct PlannerPolicies {
  std::shared_ptr<const PolicySet> policies;
};
struct WavesRead {
  std::vector<MaintenanceWave> waves;
};
struct HostsRead {
  std::vector<HostInfo> hosts;
  /** The list could not be read. */
  bool failed = false;
};
struct PoolUsageRead {
  ShardId shard;
  PoolUsage usage;
};
/** The intent is stored, so that no later planner exists. */
struct IntentStored {
  CommitId commit;
};

enum class HostOrderResult {
  kDone,
  /** Certainly not done. */
  kRefused,
  /** The host is not up, or leaves. */
  kBusy,
  /** No such host, pool or wave. */
  kInvalid,
  /** No answer; it may be done, or be done later. */
  kUnknown,
};

struct HostOrderFinished {
  HostId host;
  HostOrderResult result = HostOrderResult::kUnknown;
};

struct PlannerEvent {
  Time at;
  /** Wall clock in ms since 1970. */
  std::int64_t wall_ms = 0;
  std::variant<PlannerTick,
               PlannerLoaded,
               PlannerPolicies,
               WavesRead,
               HostsRead,
               PoolUsageRead,
               IntentStored,
               HostOrderFinished>
      body;
};

/** Stores the records and reports IntentStored. */
struct StoreIntent {
  CommitId commit;
  std::vector<StoredRecord> records;
};
/** Reports HostsRead. */
struct ReadHosts {};
/** Both end all that runs on the host; they report HostOrderFinished. */
struct MoveHost {
  HostId host;
  ServiceId pool;
};
struct MaintainHost {
  HostId host;
  int wave = 0;
};
/** Tells the operators how far a wave is. */
struct ReportWave {
  int wave = 0;
  bool completed = false;
};
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

/** Decides on the hosts of all pools: maintenance in waves, and moves to pools
 * that need more. One node runs it at a time; each order follows a record that
 * only the present planner can store.
 *
 * Answers queues whose demand turns within seconds: idle hosts of other pools,
 * and of standby pools, go to where work waits or was refused. Maintenance
 * takes empty hosts first and leaves busy pools most of their hosts while there
 * is time. */
class HostPlanner {
 public:
  HostPlanner(const PlannerTuning& tuning, int shards);

  PlannerEffects Apply(const PlannerEvent& event);

  /** What the owner of a shard is to do now. */
  HostPlan PlanFor(ShardId shard, Time now) const;

 private:
  enum class Purpose { kMove, kMaintenance };

  struct Host {
    HostInfo info;
    std::optional<HostUsage> usage;
    Time usage_at;
    /** Since when each outlook showed it empty; unset while it is not. */
    std::optional<Time> empty_since;
    bool listed = true;

    std::optional<Purpose> purpose;
    ServiceId target;
    int wave = 0;
    Time reserved_at;
    /** An intent is being stored, or an order has no answer yet. */
    bool order_in_progress = false;
    bool order_sent = false;
    Time order_at;
    bool order_confirmed = false;
    Time moved_at;
  };

  struct Wave {
    MaintenanceWave spec;
    Time seen_at;
    /** Whose maintenance certainly began. */
    std::set<HostId> begun;
    bool reported_running = false;
    bool completed = false;
  };

  void Handle(const PlannerTick& event);
  void Handle(const PlannerLoaded& event);
  void Handle(const PlannerPolicies& event);
  void Handle(const WavesRead& event);
  void Handle(const HostsRead& event);
  void Handle(const PoolUsageRead& event);
  void Handle(const IntentStored& event);
  void Handle(const HostOrderFinished& event);

  bool IsStandby(const ServiceId& pool) const;
  /** Vacated, or without workers; an order harms nobody. */
  bool IsVacated(const Host& host) const;
  /** A former planner's order may still be under way. */
  bool IsBlocked(const HostId& host) const;
  /** Hosts that may be moved, in the order in which they are taken. */
  std::vector<Host*> Donors();
  PoolBalance ComputeBalance() const;
  Host* ReserveDonor(std::vector<Host*>& donors,
                     PoolBalance& balance,
                     const ServiceId& target);
  /** Moves hosts that nobody needs to a standby pool, where they cost nothing.
   */
  void ReturnIdleHosts(const std::vector<Host*>& donors, PoolBalance& balance);
  bool IsAway(const Host& host) const;
  void Release(Host& host);
  void PlanWaves();
  void PlanWave(Wave& wave);
  void PlanMoves();
  void StoreIntents();
  void LogDecision(const std::string& decision, std::string fields);

  const PlannerTuning tuning_;
  const int shards_;
  bool loaded_ = false;
  Time loaded_at_;
  /** Hosts with a recent order of a former planner. */
  std::set<HostId> blocked_;
  std::shared_ptr<const PolicySet> policies_;
  std::map<HostId, Host> hosts_;
  std::map<int, Wave> waves_;
  std::map<ServiceId, ServiceUsage> pool_usage_;
  std::map<ServiceId, Time> pool_usage_at_;
  bool reading_hosts_ = false;
  Time hosts_read_started_at_;

  CommitId commit_;
  bool storing_ = false;
  Time store_started_at_;
  std::vector<HostId> intents_;

  Time now_;
  std::int64_t wall_ms_ = 0;
  PlannerEffects effects_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_HOST_PLANNER_H_
