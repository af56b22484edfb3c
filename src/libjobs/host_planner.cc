#include "libjobs/host_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "libwire/bounded_dom.h"

namespace baobab {

namespace {

/** Hosts that a wave reserves beyond its concurrency limit, so that the next
 * ones are vacated while others are in maintenance. */
constexpr int kMaxReservedAhead = 2;

/** Expected time to vacate, maintain and return one batch of a wave's hosts. */
constexpr Duration kWaveRoundDuration = std::chrono::milliseconds(4500);

/** Time after which a reserved host that is not vacated is released. */
constexpr Duration kReservationTimeout = std::chrono::seconds(6);

/** A host counts as returned, or an unanswered order as not carried out, only
 * if a list that was read at least this long after the order shows it as up. */
constexpr Duration kListDelay = std::chrono::milliseconds(100);

/** Number of lists in a row that lack a host, from which it has left. */
constexpr int kMaxMissedLists = 3;

/** Assumed cores of a host whose capacity is not known yet. */
constexpr double kDefaultHostCores = 64;

/** Returns the key of the stored record of a wave. */
std::string WaveKey(int wave) {
  return "w/" + std::to_string(wave);
}

}  // namespace

HostPlanner::HostPlanner(const PlannerTuning& tuning) : tuning_(tuning) {}

double HostPlanner::CoresOf(const HostInfo& info) {
  return info.capacity.cpu_milli > 0
             ? static_cast<double>(info.capacity.cpu_milli) / 1000.0
             : kDefaultHostCores;
}

PlannerEffects HostPlanner::Apply(const PlannerEvent& event) {
  now_ = event.at;
  wall_ms_ = event.wall_ms;
  std::visit([this](const auto& it) { Handle(it); }, event.body);
  return std::exchange(effects_, {});
}

std::map<ShardId, HostPlan> HostPlanner::Plans(Time now) const {
  std::map<ShardId, HostPlan> plans;
  for (const auto& [id, host] : hosts_) {
    if (const auto shard = division_->CellOfHost(host.info.pool, id);
        host.purpose && shard) {
      plans[*shard].reserved.insert(id);
    }
    if (const auto shard = division_->CellOfHost(host.former_pool, id);
        shard && host.former_pool != host.info.pool &&
        (IsStandby(host.info.pool) ||
         shard != division_->CellOfHost(host.info.pool, id)) &&
        now - host.left_at < tuning_.former_worker_ttl) {
      // The former pool may still list the worker, which no longer exists. An
      // owner of both cells may use the new worker of the host.
      plans[*shard].reserved.insert(id);
    }
    const bool moves = host.purpose == Purpose::kMove;
    if (!host.order_sent && !moves) {
      continue;
    }
    const auto& pool = moves ? host.target : host.info.pool;
    const auto shard = division_->CellOfHost(pool, id);
    if (shard && !IsStandby(pool)) {
      const Duration away =
          (moves ? tuning_.move_time : tuning_.maintenance_time) +
          tuning_.arrival_lag;
      const Time ordered_at =
          host.order_sent ? host.order_at : now + VacateTime(host);
      plans[*shard].arriving.push_back(
          {pool, CoresOf(host.info),
           std::max(Duration(0), ordered_at + away - now)});
    }
  }
  AddCellLoads(plans, now);
  return plans;
}

void HostPlanner::AddCellLoads(std::map<ShardId, HostPlan>& plans,
                               Time now) const {
  for (const auto& [pool, cells] : cell_usage_) {
    if (cells.size() < 2) {
      continue;
    }
    std::vector<CellLoad> loads;
    for (const auto& [shard, it] : cells) {
      if (now - it.at <= tuning_.max_usage_age) {
        loads.push_back({pool, shard, it.usage.FreeCores(), it.usage.workers});
      }
    }
    for (const auto& [shard, it] : cells) {
      auto& plan = plans[shard];
      plan.cells.insert(plan.cells.end(), loads.begin(), loads.end());
    }
  }
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
  return host.usage && host.usage->empty && host.usage->reserved &&
         !host.usage->draining &&
         now_ - host.usage_at < tuning_.max_usage_age &&
         host.usage_at >= host.reserved_at;
}

Duration HostPlanner::VacateTime(const Host& host) const {
  return host.usage && !IsStandby(host.info.pool) ? host.usage->busy_for
                                                  : Duration(0);
}

bool HostPlanner::IsBlocked(const HostId& host) const {
  return blocked_.contains(host);
}

bool HostPlanner::MayBeOrderedByFormerPlanner(const HostId& host) const {
  return IsBlocked(host) &&
         hosts_listed_at_ <= loaded_at_ + tuning_.max_order_delay +
                                 tuning_.order_timeout + kListDelay;
}

bool HostPlanner::IsAway(const Host& host) const {
  return host.order_sent || host.info.state == HostState::kMaintenance ||
         host.info.state == HostState::kMoving;
}

bool HostPlanner::HasLeft(const HostId& host) const {
  const auto it = missed_lists_.find(host);
  return it != missed_lists_.end() && it->second >= kMaxMissedLists;
}

void HostPlanner::CountMissedLists(const std::set<HostId>& listed) {
  std::set<HostId> known;
  for (const auto& [id, host] : hosts_) {
    known.insert(id);
  }
  for (const auto& [number, wave] : waves_) {
    if (!wave.completed) {
      known.insert(wave.spec.hosts.begin(), wave.spec.hosts.end());
    }
  }
  std::map<HostId, int> missed;
  for (const auto& it : known) {
    if (!listed.contains(it)) {
      missed[it] = std::min(missed_lists_[it] + 1, kMaxMissedLists);
    }
  }
  missed_lists_ = std::move(missed);
  std::erase_if(hosts_, [this](const auto& it) { return HasLeft(it.first); });
}

void HostPlanner::Release(Host& host) {
  host.purpose.reset();
  host.order_in_progress = false;
  host.order_sent = false;
  host.order_confirmed = false;
}

void HostPlanner::Handle(const PlannerLoaded& event) {
  const auto recent =
      (tuning_.FormerOrderTimeout() + tuning_.max_clock_difference).count() /
      1000;
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
      for (const auto& host : RequireMessagePack(it.value)) {
        wave.begun.insert(HostId(host.get<std::string>()));
      }
    } catch (const std::exception& error) {
      LogDecision("skip-record",
                  fmt::format("key={} fault=\"{}\"", it.key, error.what()));
    }
  }
  loaded_ = true;
  loaded_at_ = now_;
}

void HostPlanner::Handle(const PlannerPolicies& event) {
  policies_ = event.policies;
}

void HostPlanner::Handle(const PlannerDivision& event) {
  division_ = event.division;
}

void HostPlanner::Handle(const WavesRead& event) {
  for (const auto& it : event.waves) {
    auto& wave = waves_[it.number];
    if (wave.spec.hosts.empty()) {
      wave.seen_at = now_;
      LogDecision("wave-seen",
                  fmt::format("wave={} hosts={} within_ms={} most_at_once={}",
                              it.number, it.hosts.size(),
                              it.time_limit.count() / 1000, it.max_concurrent));
    }
    wave.spec = it;
  }
}

void HostPlanner::Handle(const HostsRead& event) {
  reading_hosts_ = false;
  if (event.failed) {
    return;
  }
  hosts_listed_at_ = hosts_read_started_at_;
  std::set<HostId> listed;
  for (const auto& it : event.hosts) {
    auto& host = hosts_[it.host];
    listed.insert(it.host);
    if (host.info.pool != it.pool) {
      host.former_pool = host.info.pool;
      host.left_at = now_;
    }
    host.info = it;
    const bool read_after_order =
        hosts_read_started_at_ > host.order_at + kListDelay;
    if (host.order_unanswered && !read_after_order) {
      host.info.state = HostState::kMaintenance;
    } else {
      host.order_unanswered = false;
    }
    if (host.order_sent && host.order_confirmed && read_after_order &&
        it.state == HostState::kUp) {
      if (host.purpose == Purpose::kMove) {
        host.moved_at = now_;
      }
      host.usage.reset();
      host.empty_since.reset();
      Release(host);
    }
  }
  CountMissedLists(listed);
}

void HostPlanner::Handle(const PoolUsageRead& event) {
  for (const auto& it : event.usage.services) {
    cell_usage_[it.service][event.shard] = {it, now_};
  }
  for (const auto& it : event.usage.hosts) {
    const auto host = hosts_.find(it.host);
    if (host != hosts_.end() && host->second.info.pool == it.service) {
      host->second.usage = it;
      host->second.usage_at = now_;
      if (!it.empty || it.awaited) {
        host->second.empty_since.reset();
      } else if (!host->second.empty_since) {
        host->second.empty_since = now_;
      }
    }
  }
  if (loaded_ && policies_) {
    StoreIntents();
  }
}

void HostPlanner::Handle(const PlannerTick&) {
  if (!loaded_ || !policies_) {
    return;
  }
  const bool busy =
      std::any_of(hosts_.begin(), hosts_.end(),
                  [this](const auto& it) {
                    return IsAway(it.second) || it.second.purpose;
                  }) ||
      std::any_of(missed_lists_.begin(), missed_lists_.end(),
                  [](const auto& it) { return it.second < kMaxMissedLists; });
  const auto interval =
      busy ? tuning_.active_list_interval : tuning_.idle_list_interval;
  if (!reading_hosts_ &&
      (hosts_.empty() || now_ - hosts_read_started_at_ > interval)) {
    reading_hosts_ = true;
    hosts_read_started_at_ = now_;
    effects_.emplace_back(ReadHosts{});
  }
  for (auto& [id, host] : hosts_) {
    if (host.purpose && !host.order_in_progress && !host.order_sent &&
        now_ - host.reserved_at > kReservationTimeout) {
      Release(host);
    }
  }
  if (now_ - loaded_at_ >= tuning_.FormerOrderTimeout()) {
    blocked_.clear();
  }
  if (IsStoreAway()) {
    ReleaseReservations();
    return;
  }
  PlanWaves();
  PlanMoves();
  StoreIntents();
}

bool HostPlanner::IsStoreAway() const {
  return storing_ && now_ - store_started_at_ > tuning_.max_order_delay;
}

void HostPlanner::ReleaseReservations() {
  int n = 0;
  for (auto& [id, host] : hosts_) {
    if (host.purpose && !host.order_sent) {
      Release(host);
      ++n;
    }
  }
  if (n > 0) {
    LogDecision("release-hosts", fmt::format("hosts={} why=store-away", n));
  }
}

void HostPlanner::PlanWaves() {
  for (auto& [number, wave] : waves_) {
    if (!wave.spec.hosts.empty() && !wave.completed) {
      PlanWave(wave);
    }
  }
}

void HostPlanner::PlanWave(Wave& wave) {
  std::vector<Host*> open;
  std::map<ServiceId, int> away;
  int in_progress = 0;
  int left = 0;
  for (const auto& id : wave.spec.hosts) {
    const auto found = hosts_.find(id);
    const bool begun = wave.begun.contains(id);
    left += begun || HasLeft(id) ? 0 : 1;
    if (found == hosts_.end()) {
      continue;
    }
    Host& host = found->second;
    if (host.purpose == Purpose::kMaintenance || (begun && IsAway(host))) {
      ++in_progress;
      ++away[host.info.pool];
    } else if (!begun && !host.purpose && !IsBlocked(id) &&
               host.info.state == HostState::kUp) {
      open.push_back(&host);
    }
  }
  if (!wave.reported_running) {
    wave.reported_running = true;
    effects_.emplace_back(ReportWave{wave.spec.number, false});
  }
  if (left == 0 && !hosts_.empty()) {
    wave.completed = true;
    LogDecision("wave-completed", fmt::format("wave={}", wave.spec.number));
    effects_.emplace_back(ReportWave{wave.spec.number, true});
    return;
  }
  const auto rounds = (left + wave.spec.max_concurrent - 1) /
                      std::max(1, wave.spec.max_concurrent);
  const bool urgent = now_ + kWaveRoundDuration * (rounds + 1) >
                      wave.seen_at + wave.spec.time_limit;
  const auto cost = [&](const Host& host) {
    if (IsStandby(host.info.pool)) {
      return 0.0;
    }
    if (!host.usage || now_ - host.usage_at > tuning_.max_usage_age) {
      return 1e6;
    }
    return (host.usage->empty ? 1.0 : 2.0) + host.usage->used +
           (host.usage->long_running ? 1000.0 : 0.0);
  };
  std::stable_sort(open.begin(), open.end(), [&](const Host* a, const Host* b) {
    return cost(*a) < cost(*b);
  });
  std::map<ServiceId, int> size;
  for (const auto& [id, host] : hosts_) {
    ++size[host.info.pool];
  }
  std::set<ServiceId> in_demand;
  for (const auto& [pool, cells] : cell_usage_) {
    const auto usage = PoolUsageOf(pool);
    if (usage && usage->waiting + usage->refused > 0) {
      in_demand.insert(pool);
    }
  }
  for (Host* it : open) {
    if (in_progress >= wave.spec.max_concurrent + kMaxReservedAhead) {
      return;
    }
    const auto& pool = it->info.pool;
    const double share = in_demand.contains(pool) ? tuning_.max_away_share
                                                  : 2 * tuning_.max_away_share;
    const int max_away =
        std::max(1, static_cast<int>(std::lround(share * size[pool])));
    if (!urgent && !IsStandby(pool) && away[pool] >= max_away) {
      continue;
    }
    it->purpose = Purpose::kMaintenance;
    it->wave = wave.spec.number;
    it->reserved_at = now_;
    ++in_progress;
    ++away[pool];
    LogDecision("reserve-host", fmt::format("host={} pool={} wave={} hurry={}",
                                            it->info.host.value(), pool.value(),
                                            wave.spec.number, urgent));
  }
}

void HostPlanner::StoreIntents() {
  if (storing_) {
    return;
  }
  std::map<int, int> away;
  for (const auto& [number, wave] : waves_) {
    for (const auto& id : wave.spec.hosts) {
      const auto host = hosts_.find(id);
      if (host != hosts_.end() &&
          (host->second.order_in_progress || MayBeOrderedByFormerPlanner(id) ||
           (host->second.purpose != Purpose::kMove && IsAway(host->second)))) {
        ++away[number];
      }
    }
  }
  std::set<int> changed;
  for (auto& [id, host] : hosts_) {
    if (!host.purpose || host.order_in_progress || host.order_sent ||
        !IsVacated(host) || IsBlocked(id)) {
      continue;
    }
    if (host.purpose == Purpose::kMaintenance) {
      int& n = away[host.wave];
      if (n >= waves_[host.wave].spec.max_concurrent) {
        continue;
      }
      ++n;
      changed.insert(host.wave);
    }
    host.order_in_progress = true;
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
    auto begun = Json::array();
    for (const auto& host : waves_[it].begun) {
      begun.push_back(host.value());
    }
    std::string value;
    Json::to_msgpack(begun, value);
    intent.records.push_back({WaveKey(it), std::move(value)});
  }
  storing_ = true;
  store_started_at_ = now_;
  effects_.push_back(std::move(intent));
}

void HostPlanner::Handle(const IntentStored& event) {
  if (!storing_ || event.commit != commit_) {
    return;
  }
  storing_ = false;
  const bool in_time = now_ - store_started_at_ < tuning_.max_order_delay;
  for (const auto& id : std::exchange(intents_, {})) {
    const auto found = hosts_.find(id);
    if (found == hosts_.end()) {
      continue;
    }
    Host& host = found->second;
    if (!in_time || !IsVacated(host)) {
      host.order_in_progress = false;
      continue;
    }
    host.order_sent = true;
    host.order_confirmed = false;
    host.order_at = now_;
    if (host.purpose == Purpose::kMove) {
      LogDecision("move-host",
                  fmt::format("host={} from={} to={}", id.value(),
                              host.info.pool.value(), host.target.value()));
      effects_.emplace_back(MoveHost{id, host.target});
    } else {
      LogDecision("maintain-host",
                  fmt::format("host={} pool={} wave={}", id.value(),
                              host.info.pool.value(), host.wave));
      effects_.emplace_back(MaintainHost{id, host.wave});
    }
  }
}

void HostPlanner::Handle(const HostOrderFinished& event) {
  const auto found = hosts_.find(event.host);
  if (found == hosts_.end() || !found->second.order_in_progress) {
    return;
  }
  Host& host = found->second;
  switch (event.result) {
    case HostOrderResult::kDone:
      host.order_confirmed = true;
      host.order_unanswered = false;
      host.order_at = now_;
      if (host.purpose == Purpose::kMaintenance) {
        waves_[host.wave].begun.insert(event.host);
      }
      break;
    case HostOrderResult::kUnknown:
      // Both kinds of order may be repeated.
      host.order_in_progress = false;
      host.order_sent = false;
      host.order_unanswered = true;
      host.order_at = now_;
      host.info.state = HostState::kMaintenance;
      break;
    default:
      LogDecision("host-order-refused",
                  fmt::format("host={} result={}", event.host.value(),
                              static_cast<int>(event.result)));
      host.moved_at = now_;
      Release(host);
      break;
  }
}

void HostPlanner::LogDecision(const std::string& decision, std::string fields) {
  effects_.emplace_back(LogPlanDecision{decision, std::move(fields)});
}

}  // namespace baobab
