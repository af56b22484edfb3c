#include "libjobs/host_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "libjobs/sharding.h"

namespace baobab {

namespace {

/** Hosts reserved beyond those that may be away at once, so that the next are
 * vacated while others are in maintenance. */
constexpr int kReservedAhead = 2;

/** Time for one round of hosts of a wave: vacating, maintenance, return. */
constexpr Duration kWaveRound = std::chrono::milliseconds(4500);

/** A reserved host that was not vacated by then is released. */
constexpr Duration kReservationLimit = std::chrono::seconds(6);

/** An ordered host that the list shows up again is taken as returned only
 * after a list that was read this long after the answer. */
constexpr Duration kListMargin = std::chrono::milliseconds(100);

/** A host that is busy for less is worth waiting for. */
constexpr Duration kVacatedSoon = std::chrono::milliseconds(1500);

/** Cores of a host whose capacity is not known yet. */
constexpr double kDefaultCores = 64;

std::string WaveKey(int wave) {
  return "w/" + std::to_string(wave);
}

double CoresOf(const HostInfo& info) {
  return info.capacity.cpu_milli > 0
             ? static_cast<double>(info.capacity.cpu_milli) / 1000.0
             : kDefaultCores;
}

}  // namespace

HostPlanner::HostPlanner(const PlannerTuning& tuning, int shards)
    : tuning_(tuning), shards_(shards) {}

PlannerEffects HostPlanner::Apply(const PlannerEvent& event) {
  now_ = event.at;
  wall_ms_ = event.wall_ms;
  std::visit([this](const auto& it) { Handle(it); }, event.body);
  return std::exchange(effects_, {});
}

HostPlan HostPlanner::PlanFor(ShardId shard, Time now) const {
  HostPlan plan;
  for (const auto& [id, host] : hosts_) {
    if (host.purpose && ShardOf(host.info.pool, shards_) == shard) {
      plan.reserved.insert(id);
    }
    const bool moves = host.purpose == Purpose::kMove;
    if (!host.ordered && !moves) {
      continue;
    }
    const auto& pool = moves ? host.target : host.info.pool;
    if (ShardOf(pool, shards_) == shard && !IsStandby(pool)) {
      const Duration away =
          (moves ? tuning_.move_time : tuning_.maintenance_time) +
          tuning_.arrival_lag;
      plan.arriving.push_back(
          {pool, CoresOf(host.info),
           std::max(Duration(0), host.ordered_at + away - now)});
    }
  }
  return plan;
}

bool HostPlanner::IsStandby(const ServiceId& pool) const {
  if (!policies_) {
    return false;
  }
  const auto it = policies_->services.find(pool);
  return it != policies_->services.end() && it->second.standby;
}

bool HostPlanner::IsVacated(const Host& host) const {
  if (IsStandby(host.info.pool)) {
    return host.info.state == HostState::kUp ||
           host.info.state == HostState::kDown;
  }
  return host.outlook && host.outlook->empty && host.outlook->reserved &&
         !host.outlook->draining &&
         now_ - host.outlook_at < tuning_.outlook_kept &&
         host.outlook_at >= host.reserved_at;
}

bool HostPlanner::IsBlocked(const HostId& host) const {
  return blocked_.contains(host);
}

bool HostPlanner::IsAway(const Host& host) const {
  return host.ordered || host.info.state == HostState::kMaintenance ||
         host.info.state == HostState::kMoving;
}

void HostPlanner::Release(Host& host) {
  host.purpose.reset();
  host.ordering = false;
  host.ordered = false;
  host.answered = false;
}

void HostPlanner::Handle(const PlannerLoaded& event) {
  const auto recent =
      (tuning_.former_planner + tuning_.clock_difference).count() / 1000;
  for (const auto& it : event.records) {
    if (it.value.empty() ||
        (!it.key.starts_with("w/") && !it.key.starts_with("h/"))) {
      continue;
    }
    try {
      if (it.key.starts_with("h/")) {
        if (std::stoll(it.value) > wall_ms_ - recent) {
          blocked_.insert(HostId(it.key.substr(2)));
        }
        continue;
      }
      auto& wave = waves_[std::stoi(it.key.substr(2))];
      for (const auto& host : nlohmann::json::from_msgpack(it.value)) {
        wave.begun.insert(HostId(host.get<std::string>()));
      }
    } catch (const std::exception& error) {
      Explain("skip-record",
              fmt::format("key={} fault=\"{}\"", it.key, error.what()));
    }
  }
  loaded_ = true;
  loaded_at_ = now_;
}

void HostPlanner::Handle(const PlannerPolicies& event) {
  policies_ = event.policies;
}

void HostPlanner::Handle(const WavesRead& event) {
  for (const auto& it : event.waves) {
    auto& wave = waves_[it.number];
    if (wave.order.hosts.empty()) {
      wave.seen_at = now_;
      Explain("wave-seen",
              fmt::format("wave={} hosts={} within_ms={} most_at_once={}",
                          it.number, it.hosts.size(), it.within.count() / 1000,
                          it.most_at_once));
    }
    wave.order = it;
  }
}

void HostPlanner::Handle(const HostsRead& event) {
  reading_hosts_ = false;
  if (event.failed) {
    return;
  }
  for (auto& [id, host] : hosts_) {
    host.listed = false;
  }
  for (const auto& it : event.hosts) {
    auto& host = hosts_[it.host];
    host.listed = true;
    host.info = it;
    if (host.ordered && host.answered &&
        hosts_read_at_ > host.ordered_at + kListMargin &&
        it.state == HostState::kUp) {
      if (host.purpose == Purpose::kMove) {
        host.moved_at = now_;
      }
      host.outlook.reset();
      host.empty_since.reset();
      Release(host);
    }
  }
  std::erase_if(hosts_, [](const auto& it) { return !it.second.listed; });
}

void HostPlanner::Handle(const OutlookRead& event) {
  for (const auto& it : event.outlook.services) {
    demand_[it.service] = it;
    demand_at_[it.service] = now_;
  }
  for (const auto& it : event.outlook.hosts) {
    const auto host = hosts_.find(it.host);
    if (host != hosts_.end() && host->second.info.pool == it.service) {
      host->second.outlook = it;
      host->second.outlook_at = now_;
      if (!it.empty) {
        host->second.empty_since.reset();
      } else if (!host->second.empty_since) {
        host->second.empty_since = now_;
      }
    }
  }
  if (loaded_ && policies_) {
    GiveOrders();
  }
}

void HostPlanner::Handle(const PlannerTick&) {
  if (!loaded_ || !policies_) {
    return;
  }
  const bool busy =
      std::any_of(hosts_.begin(), hosts_.end(), [this](const auto& it) {
        return IsAway(it.second) || it.second.purpose;
      });
  const auto interval = busy ? tuning_.list_busy : tuning_.list_idle;
  if (!reading_hosts_ && (hosts_.empty() || now_ - hosts_read_at_ > interval)) {
    reading_hosts_ = true;
    hosts_read_at_ = now_;
    effects_.emplace_back(ReadHosts{});
  }
  for (auto& [id, host] : hosts_) {
    if (host.purpose && !host.ordering && !host.ordered &&
        now_ - host.reserved_at > kReservationLimit) {
      Release(host);
    }
  }
  if (now_ - loaded_at_ >= tuning_.former_planner) {
    blocked_.clear();
  }
  PlanWaves();
  PlanMoves();
  GiveOrders();
}

void HostPlanner::PlanWaves() {
  for (auto& [number, wave] : waves_) {
    if (!wave.order.hosts.empty() && !wave.completed) {
      PlanWave(wave);
    }
  }
}

void HostPlanner::PlanWave(Wave& wave) {
  std::vector<Host*> open;
  std::map<ServiceId, int> away;
  int taken = 0;
  int left = 0;
  for (const auto& id : wave.order.hosts) {
    const auto found = hosts_.find(id);
    if (found == hosts_.end()) {
      continue;
    }
    Host& host = found->second;
    const bool begun = wave.begun.contains(id);
    left += begun ? 0 : 1;
    if (host.purpose == Purpose::kMaintenance || (begun && IsAway(host))) {
      ++taken;
      ++away[host.info.pool];
    } else if (!begun && !host.purpose && host.info.state == HostState::kUp) {
      open.push_back(&host);
    }
  }
  if (!wave.reported_running) {
    wave.reported_running = true;
    effects_.emplace_back(ReportWave{wave.order.number, false});
  }
  if (left == 0 && !hosts_.empty()) {
    wave.completed = true;
    Explain("wave-completed", fmt::format("wave={}", wave.order.number));
    effects_.emplace_back(ReportWave{wave.order.number, true});
    return;
  }
  const auto rounds = (left + wave.order.most_at_once - 1) /
                      std::max(1, wave.order.most_at_once);
  const bool hurry =
      now_ + kWaveRound * (rounds + 1) > wave.seen_at + wave.order.within;
  const auto cost = [&](const Host& host) {
    if (IsStandby(host.info.pool)) {
      return 0.0;
    }
    if (!host.outlook || now_ - host.outlook_at > tuning_.outlook_kept) {
      return 1e6;
    }
    return (host.outlook->empty ? 1.0 : 2.0) + host.outlook->used +
           (host.outlook->long_running ? 1000.0 : 0.0);
  };
  std::stable_sort(open.begin(), open.end(), [&](const Host* a, const Host* b) {
    return cost(*a) < cost(*b);
  });
  std::map<ServiceId, int> size;
  for (const auto& [id, host] : hosts_) {
    ++size[host.info.pool];
  }
  for (Host* it : open) {
    if (taken >= wave.order.most_at_once + kReservedAhead) {
      return;
    }
    const auto& pool = it->info.pool;
    const auto& demand = demand_[pool];
    const bool pressed = demand.waiting + demand.refused > 0;
    const double share = pressed ? tuning_.away_share : 2 * tuning_.away_share;
    const int most =
        std::max(1, static_cast<int>(std::lround(share * size[pool])));
    if (!hurry && !IsStandby(pool) && away[pool] >= most) {
      continue;
    }
    it->purpose = Purpose::kMaintenance;
    it->wave = wave.order.number;
    it->reserved_at = now_;
    ++taken;
    ++away[pool];
    Explain("reserve-host", fmt::format("host={} pool={} wave={} hurry={}",
                                        it->info.host.value(), pool.value(),
                                        wave.order.number, hurry));
  }
}

PoolBalance HostPlanner::Balance() const {
  std::map<ServiceId, double> moving_in;
  for (const auto& [id, host] : hosts_) {
    if (host.purpose == Purpose::kMove) {
      moving_in[host.target] += CoresOf(host.info);
    } else if (host.ordered) {
      moving_in[host.info.pool] += CoresOf(host.info);
    }
  }
  PoolBalance balance;
  for (const auto& [id, at] : demand_at_) {
    if (!IsStandby(id) && now_ - at <= tuning_.outlook_kept) {
      balance.Add(demand_.at(id), moving_in[id]);
    }
  }
  for (const auto& [id, host] : hosts_) {
    if (host.purpose && host.outlook && !host.outlook->reserved) {
      // Its owner still counts it as room for new runs.
      balance.Take(host.info.pool, CoresOf(host.info));
    }
  }
  return balance;
}

std::vector<HostPlanner::Host*> HostPlanner::Donors() {
  std::set<HostId> due;
  for (const auto& [number, wave] : waves_) {
    for (const auto& it : wave.order.hosts) {
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
                          : host.info.state == HostState::kUp && host.outlook &&
                                (host.outlook->empty ||
                                 (!host.outlook->long_running &&
                                  host.outlook->busy_for < kVacatedSoon)) &&
                                !host.outlook->draining;
    if (free && !host.purpose && !IsBlocked(id) &&
        now_ - host.moved_at > tuning_.least_stay) {
      donors.push_back(&host);
    }
  }
  std::stable_sort(
      donors.begin(), donors.end(), [&](const Host* a, const Host* b) {
        const auto cost = [&](const Host& it) {
          const bool empty = IsStandby(it.info.pool) || it.outlook->empty;
          return std::tuple(!empty, due.contains(it.info.host),
                            !IsStandby(it.info.pool),
                            empty ? Duration(0) : it.outlook->busy_for);
        };
        return cost(*a) < cost(*b);
      });
  return donors;
}

void HostPlanner::PlanMoves() {
  auto balance = Balance();
  auto donors = Donors();
  auto deficits = balance.deficits();
  // One host each in turn, so that no pool takes all.
  while (!deficits.empty()) {
    for (auto it = deficits.begin(); it != deficits.end();) {
      auto& [target, deficit] = *it;
      Host* donor = TakeDonor(donors, balance, target);
      if (donor) {
        deficit -= CoresOf(donor->info);
        Explain("reserve-host",
                fmt::format("host={} pool={} target={} deficit={:.0f}",
                            donor->info.host.value(), donor->info.pool.value(),
                            target.value(), deficit));
      }
      it = !donor || deficit <= 0 ? deficits.erase(it) : std::next(it);
    }
  }
  ReturnIdle(donors, balance);
}

HostPlanner::Host* HostPlanner::TakeDonor(std::vector<Host*>& donors,
                                          PoolBalance& balance,
                                          const ServiceId& target) {
  for (auto it = donors.begin(); it != donors.end(); ++it) {
    Host* donor = *it;
    const auto& pool = donor->info.pool;
    const double cores = CoresOf(donor->info);
    if (pool == target ||
        (!IsStandby(pool) && !balance.CanSpare(pool, cores))) {
      continue;
    }
    if (!IsStandby(pool)) {
      balance.Take(pool, cores);
    }
    donors.erase(it);
    donor->purpose = Purpose::kMove;
    donor->target = target;
    donor->reserved_at = now_;
    return donor;
  }
  return nullptr;
}

void HostPlanner::ReturnIdle(const std::vector<Host*>& donors,
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
        now_ - *it->empty_since < tuning_.idle_return ||
        !balance.CanSpare(pool, cores)) {
      continue;
    }
    balance.Take(pool, cores);
    it->purpose = Purpose::kMove;
    it->target = standby->first;
    it->reserved_at = now_;
    Explain(
        "return-host",
        fmt::format("host={} pool={} target={} idle_ms={}",
                    it->info.host.value(), pool.value(), standby->first.value(),
                    (now_ - *it->empty_since).count() / 1000));
  }
}

void HostPlanner::GiveOrders() {
  if (storing_) {
    return;
  }
  std::map<int, int> away;
  for (const auto& [number, wave] : waves_) {
    for (const auto& id : wave.order.hosts) {
      const auto host = hosts_.find(id);
      if (host != hosts_.end() &&
          (host->second.ordering ||
           (host->second.purpose != Purpose::kMove && IsAway(host->second)))) {
        ++away[number];
      }
    }
  }
  std::set<int> changed;
  for (auto& [id, host] : hosts_) {
    if (!host.purpose || host.ordering || host.ordered || !IsVacated(host)) {
      continue;
    }
    if (host.purpose == Purpose::kMaintenance) {
      int& n = away[host.wave];
      if (n >= waves_[host.wave].order.most_at_once) {
        continue;
      }
      ++n;
      changed.insert(host.wave);
    }
    host.ordering = true;
    intents_.push_back(id);
  }
  if (intents_.empty()) {
    return;
  }
  StoreIntent intent;
  commit_ = CommitId(commit_.value() + 1);
  intent.commit = commit_;
  for (const auto& it : intents_) {
    intent.records.push_back({"h/" + it.value(), std::to_string(wall_ms_)});
  }
  for (const int it : changed) {
    auto begun = nlohmann::json::array();
    for (const auto& host : waves_[it].begun) {
      begun.push_back(host.value());
    }
    std::string value;
    nlohmann::json::to_msgpack(begun, value);
    intent.records.push_back({WaveKey(it), std::move(value)});
  }
  storing_ = true;
  stored_at_ = now_;
  effects_.push_back(std::move(intent));
}

void HostPlanner::Handle(const IntentStored& event) {
  if (!storing_ || event.commit != commit_) {
    return;
  }
  storing_ = false;
  const bool fresh = now_ - stored_at_ < tuning_.order_delay;
  for (const auto& id : std::exchange(intents_, {})) {
    const auto found = hosts_.find(id);
    if (found == hosts_.end()) {
      continue;
    }
    Host& host = found->second;
    if (!fresh || !IsVacated(host)) {
      host.ordering = false;
      continue;
    }
    host.ordered = true;
    host.answered = false;
    host.ordered_at = now_;
    if (host.purpose == Purpose::kMove) {
      Explain("move-host",
              fmt::format("host={} from={} to={}", id.value(),
                          host.info.pool.value(), host.target.value()));
      effects_.emplace_back(MoveHost{id, host.target});
    } else {
      Explain("maintain-host",
              fmt::format("host={} pool={} wave={}", id.value(),
                          host.info.pool.value(), host.wave));
      effects_.emplace_back(MaintainHost{id, host.wave});
    }
  }
}

void HostPlanner::Handle(const HostOrderFinished& event) {
  const auto found = hosts_.find(event.host);
  if (found == hosts_.end() || !found->second.ordering) {
    return;
  }
  Host& host = found->second;
  switch (event.result) {
    case HostOrderResult::kDone:
      host.answered = true;
      host.ordered_at = now_;
      if (host.purpose == Purpose::kMaintenance) {
        waves_[host.wave].begun.insert(event.host);
      }
      break;
    case HostOrderResult::kUnknown:
      // Both orders may be repeated. Until one is answered the host counts as
      // away.
      host.ordering = false;
      host.ordered = false;
      host.info.state = HostState::kMaintenance;
      break;
    default:
      Explain("host-order-refused",
              fmt::format("host={} result={}", event.host.value(),
                          static_cast<int>(event.result)));
      host.moved_at = now_;
      Release(host);
      break;
  }
}

void HostPlanner::Explain(const std::string& decision, std::string fields) {
  effects_.emplace_back(ExplainPlan{decision, std::move(fields)});
}

}  // namespace baobab
