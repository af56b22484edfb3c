#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "libjobs/host_planner.h"

namespace baobab {

namespace {

/** Interval of the log lines on the demand of each pool. */
constexpr Duration kDemandLogInterval = std::chrono::milliseconds(1000);

/** Maximum remaining busy time of a host that is reserved for a move. */
constexpr Duration kMaxVacateTime = std::chrono::milliseconds(1500);

}  // namespace

std::optional<ServiceUsage> HostPlanner::PoolUsageOf(
    const ServiceId& pool) const {
  const auto cells = cell_usage_.find(pool);
  if (cells == cell_usage_.end()) {
    return std::nullopt;
  }
  std::optional<ServiceUsage> sum;
  for (const auto& [shard, it] : cells->second) {
    if (now_ - it.at > tuning_.max_usage_age) {
      continue;
    }
    if (!sum) {
      sum.emplace();
      sum->service = pool;
    }
    *sum += it.usage;
  }
  return sum;
}

std::map<ShardId, double> HostPlanner::CoresMovingTo(
    const ServiceId& pool) const {
  std::map<ShardId, double> cores;
  for (const auto& [id, host] : hosts_) {
    const bool moves = host.purpose == Purpose::kMove;
    const auto& target = moves ? host.target : host.info.pool;
    if (target != pool || (!moves && !host.order_sent)) {
      continue;
    }
    if (const auto shard = division_->CellOfHost(pool, id)) {
      cores[*shard] += CoresOf(host.info);
    }
  }
  return cores;
}

PoolBalance HostPlanner::ComputeBalance() const {
  std::map<ServiceId, double> moving_in;
  for (const auto& [id, host] : hosts_) {
    if (host.purpose == Purpose::kMove) {
      moving_in[host.target] += CoresOf(host.info);
    } else if (host.order_sent) {
      moving_in[host.info.pool] += CoresOf(host.info);
    }
  }
  PoolBalance balance;
  for (const auto& [pool, cells] : cell_usage_) {
    if (IsStandby(pool)) {
      continue;
    }
    if (const auto usage = PoolUsageOf(pool)) {
      balance.Add(*usage, moving_in[pool]);
    }
  }
  for (const auto& [id, host] : hosts_) {
    if (host.purpose && host.usage && !host.usage->reserved) {
      // The pool's owner still counts the host as capacity for new runs.
      balance.RemoveCores(host.info.pool, CoresOf(host.info));
    }
  }
  return balance;
}

std::map<ServiceId, HostPlanner::Deficit> HostPlanner::ComputeDeficits(
    const PoolBalance& balance) const {
  std::map<ServiceId, Deficit> deficits;
  for (const auto& [pool, cells] : cell_usage_) {
    const auto usage = PoolUsageOf(pool);
    if (IsStandby(pool) || !usage) {
      continue;
    }
    const auto of_pool = balance.deficits().find(pool);
    Deficit deficit;
    deficit.cells_only = of_pool == balance.deficits().end();
    const auto moving_in = CoresMovingTo(pool);
    double accepted = 0;
    for (const auto& [shard, it] : cells) {
      if (now_ - it.at > tuning_.max_usage_age) {
        continue;
      }
      const auto moving = moving_in.find(shard);
      const double cores = moving == moving_in.end() ? 0 : moving->second;
      const double lacking = PoolBalance::AcceptedDeficitOf(it.usage) - cores;
      accepted += std::max(0.0, lacking);
      deficit.cells[shard] =
          deficit.cells_only
              ? lacking
              : std::max(lacking, PoolBalance::DeficitOf(it.usage) - cores);
    }
    deficit.cores =
        std::max(accepted, deficit.cells_only ? 0 : of_pool->second);
    if (deficit.cores > 0) {
      deficits.emplace(pool, std::move(deficit));
    }
  }
  return deficits;
}

std::map<ServiceId, HostPlanner::Deficit> HostPlanner::ComputeLateDeficits()
    const {
  std::map<ServiceId, Deficit> deficits;
  for (const auto& [pool, cells] : cell_usage_) {
    if (IsStandby(pool)) {
      continue;
    }
    Deficit deficit;
    deficit.cells_only = true;
    deficit.of_late_work = true;
    const auto moving_in = CoresMovingTo(pool);
    for (const auto& [shard, it] : cells) {
      if (now_ - it.at > tuning_.max_usage_age) {
        continue;
      }
      const auto moving = moving_in.find(shard);
      const double lacking = PoolBalance::LateDeficitOf(it.usage) -
                             (moving == moving_in.end() ? 0 : moving->second);
      if (lacking > 0) {
        deficit.cells[shard] = lacking;
        deficit.cores += lacking;
      }
    }
    if (deficit.cores > 0) {
      deficits.emplace(pool, std::move(deficit));
    }
  }
  return deficits;
}

std::vector<HostPlanner::Host*> HostPlanner::FindDonors() {
  std::set<HostId> due;
  for (const auto& [number, wave] : waves_) {
    for (const auto& it : wave.spec.hosts) {
      if (!wave.begun.contains(it)) {
        due.insert(it);
      }
    }
  }
  std::vector<Host*> donors;
  for (auto& [id, host] : hosts_) {
    const bool free = IsStandby(host.info.pool)
                          ? host.info.state == HostState::kUp ||
                                host.info.state == HostState::kDown
                          : host.info.state == HostState::kUp && host.usage &&
                                (host.usage->empty ||
                                 (!host.usage->long_running &&
                                  host.usage->busy_for < kMaxVacateTime)) &&
                                !host.usage->draining;
    if (free && !host.purpose && !IsBlocked(id) &&
        now_ - host.moved_at > tuning_.min_stay) {
      donors.push_back(&host);
    }
  }
  std::stable_sort(
      donors.begin(), donors.end(), [&](const Host* a, const Host* b) {
        const auto cost = [&](const Host& it) {
          const bool empty = IsStandby(it.info.pool) || it.usage->empty;
          return std::tuple(!empty, due.contains(it.info.host),
                            !IsStandby(it.info.pool),
                            empty ? Duration(0) : it.usage->busy_for);
        };
        return cost(*a) < cost(*b);
      });
  return donors;
}

void HostPlanner::LogDemand(std::size_t donors) {
  if (now_ - demand_logged_at_ < kDemandLogInterval) {
    return;
  }
  demand_logged_at_ = now_;
  std::map<ServiceId, int> hosts;
  for (const auto& [id, host] : hosts_) {
    ++hosts[host.info.pool];
  }
  for (const auto& [pool, cells] : cell_usage_) {
    const auto usage = PoolUsageOf(pool);
    if (!usage) {
      continue;
    }
    double moving_in = 0;
    for (const auto& [shard, cores] : CoresMovingTo(pool)) {
      moving_in += cores;
    }
    LogDecision(
        "pool-demand",
        fmt::format("pool={} hosts={} cores={:.0f} used={:.0f} late={:.0f} "
                    "long_running={:.0f} waiting={:.0f} waiting_late={:.0f} "
                    "refused={:.0f} expected={:.0f} moving_in={:.0f} "
                    "missing_hosts={} missing_hosts_late={} donors={}",
                    pool.value(), hosts[pool], usage->cores, usage->used,
                    usage->late, usage->long_running, usage->waiting,
                    usage->waiting_late, usage->refused,
                    usage->arriving.ExpectedCores(), moving_in,
                    usage->missing_hosts, usage->missing_hosts_late, donors));
  }
}

void HostPlanner::PlanMoves() {
  auto balance = ComputeBalance();
  auto donors = FindDonors();
  LogDemand(donors.size());
  ReserveDonors(donors, balance, ComputeDeficits(balance));
  ReserveDonors(donors, balance, ComputeLateDeficits());
  ReturnIdleHosts(donors, balance);
}

void HostPlanner::ReserveDonors(std::vector<Host*>& donors,
                                PoolBalance& balance,
                                std::map<ServiceId, Deficit> deficits) {
  // Pools take turns with one host each, so that no pool takes all donors.
  while (!deficits.empty()) {
    for (auto it = deficits.begin(); it != deficits.end();) {
      auto& [target, deficit] = *it;
      Host* donor = ReserveDonor(donors, balance, target, deficit);
      if (donor) {
        LogDecision(
            "reserve-host",
            fmt::format("host={} pool={} target={} deficit={:.0f} late={}",
                        donor->info.host.value(), donor->info.pool.value(),
                        target.value(), deficit.cores, deficit.of_late_work));
      }
      it = !donor || deficit.cores <= 0 ? deficits.erase(it) : std::next(it);
    }
  }
}

HostPlanner::Host* HostPlanner::ReserveDonor(std::vector<Host*>& donors,
                                             PoolBalance& balance,
                                             const ServiceId& target,
                                             Deficit& deficit) {
  const auto kind_of = [this](const Host& it) {
    const bool standby = IsStandby(it.info.pool);
    return std::pair(standby, standby || it.usage->empty);
  };
  const auto deficit_of = [&](const Host& it) {
    const auto shard = division_->CellOfHost(target, it.info.host);
    const auto found = shard ? deficit.cells.find(*shard) : deficit.cells.end();
    return found == deficit.cells.end() ? 0.0 : found->second;
  };
  auto best = donors.end();
  double best_deficit = 0;
  for (auto it = donors.begin(); it != donors.end(); ++it) {
    const auto& pool = (*it)->info.pool;
    if (pool == target ||
        (!IsStandby(pool) && !balance.CanSpare(pool, CoresOf((*it)->info)))) {
      continue;
    }
    if (best != donors.end() && kind_of(**it) != kind_of(**best)) {
      // Donors are sorted by preference; the rest are of a worse kind.
      break;
    }
    if (deficit.of_late_work && !kind_of(**it).second) {
      continue;
    }
    const double lacking = deficit_of(**it);
    if (deficit.cells_only && lacking <= 0) {
      continue;
    }
    if (best == donors.end() || lacking > best_deficit) {
      best = it;
      best_deficit = lacking;
    }
  }
  if (best == donors.end()) {
    return nullptr;
  }
  Host* donor = *best;
  const auto& pool = donor->info.pool;
  const double cores = CoresOf(donor->info);
  if (!IsStandby(pool)) {
    balance.RemoveCores(pool, cores);
  }
  if (const auto shard = division_->CellOfHost(target, donor->info.host)) {
    deficit.cells[*shard] -= cores;
  }
  deficit.cores -= cores;
  donors.erase(best);
  donor->purpose = Purpose::kMove;
  donor->target = target;
  donor->reserved_at = now_;
  return donor;
}

void HostPlanner::ReturnIdleHosts(const std::vector<Host*>& donors,
                                  PoolBalance& balance) {
  const auto standby =
      std::find_if(policies_->services.begin(), policies_->services.end(),
                   [](const auto& it) { return it.second.standby; });
  if (standby == policies_->services.end()) {
    return;
  }
  for (Host* it : donors) {
    const auto& pool = it->info.pool;
    const double cores = CoresOf(it->info);
    if (IsStandby(pool) || !it->empty_since ||
        now_ - *it->empty_since < tuning_.idle_timeout ||
        !balance.CanSpare(pool, cores)) {
      continue;
    }
    if (const auto usage = PoolUsageOf(pool);
        usage && usage->missing_hosts_late > 0) {
      continue;
    }
    balance.RemoveCores(pool, cores);
    it->purpose = Purpose::kMove;
    it->target = standby->first;
    it->reserved_at = now_;
    LogDecision(
        "return-host",
        fmt::format("host={} pool={} target={} idle_ms={}",
                    it->info.host.value(), pool.value(), standby->first.value(),
                    (now_ - *it->empty_since).count() / 1000));
  }
}

}  // namespace baobab
