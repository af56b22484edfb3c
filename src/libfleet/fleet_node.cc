#include "libfleet/fleet_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace baobab {

namespace {

/** Renewals of the membership in its lifetime, so that two may be lost. */
constexpr int kRenewals = 3;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/** Between readings of the workers' list; a worker that begins to leave is
 * seen after this time and the list's own lag. */
constexpr Duration kWorkerInterval = std::chrono::milliseconds(300);
/** Between readings of the owners, and after a failed call of one. */
constexpr Duration kOwnerInterval = std::chrono::milliseconds(2000);
constexpr Duration kOwnerRefresh = std::chrono::milliseconds(150);
/** Timers of the engines are multiples of this. */
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/** Without shards there is only the log to be flushed. */
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(250);
/** An owner that could not renew for this long stops giving orders, since
 * another node may own its shards by now. PoolTuning::former_owner_grace
 * exceeds it. */
constexpr Duration kOrderLimit = std::chrono::milliseconds(4000);
/** Without the store for this long the node leaves the rotation. */
constexpr Duration kReadyLimit = std::chrono::milliseconds(6000);
/** A node that fell behind with the work of its shards leaves callers to other
 * nodes for this long; the balancer asks each second and needs two answers. */
constexpr Duration kBusyPause = std::chrono::milliseconds(2500);
/** An older outlook would not be used. */
constexpr Duration kPlanTimeout = std::chrono::milliseconds(500);

}  // namespace

FleetNode::FleetNode(const Ports& ports, const FleetNodeConfig& config)
    : ports_(ports),
      config_(config),
      duty_(config.milli_cores),
      peers_(ports.client),
      peer_server_(
          ports.loop,
          [this](HttpRequest request, AsyncHttpServer::Responder respond) {
            ServePeer(
                request, [this](ShardId it) { return FindLoaded(it); },
                IsCurrentCheck(), std::move(respond));
          }),
      join_timer_(ports.loop),
      published_timer_(ports.loop),
      worker_timer_(ports.loop),
      owner_timer_(ports.loop),
      tick_timer_(ports.loop) {}

void FleetNode::Start() {
  const auto endpoint = ParseEndpoint(config_.peer_address);
  const auto listening =
      endpoint ? peer_server_.Listen(*endpoint) : Result<void>();
  ports_.log.Write("start-node", "",
                   fmt::format("peer={} listening={}", config_.peer_address,
                               endpoint && listening ? "yes" : "no"));
  store_seen_at_ = SteadyNow();
  joined_at_ = SteadyNow();
  // A former process of this node may still be a member; its shards are dealt
  // anew with a higher generation.
  ports_.store.Leave([this] {
    join_timer_.Set(duty_.JoinDelay(), [this] {
      started_ = true;
      OwnerLoop();
    });
  });
  PublishedLoop();
  WorkerLoop();
  TickLoop();
}

void FleetNode::Leave() {
  leaving_ = true;
  GiveUpShards();
  ports_.log.Write("leave-group", "", "");
}

void FleetNode::GiveUpShards() {
  join_timer_.Cancel();
  OwnPlanner(false);
  for (auto& [id, shard] : std::exchange(shards_, {})) {
    shard->Stop();
  }
  std::set<std::string> peers;
  for (const auto& [shard, holder] : owners_) {
    peers.insert(holder.peer_address);
  }
  peers.erase(config_.peer_address);
  ports_.store.Leave([this, peers] {
    for (const auto& it : peers) {
      peers_.NotifyDealt(it);
    }
  });
}

void FleetNode::FollowDuty() {
  if (leaving_ || !started_ || duty_.IsWanted() == on_duty_) {
    return;
  }
  on_duty_ = duty_.IsWanted();
  ports_.log.Write(on_duty_ ? "take-duty" : "stand-back", "",
                   fmt::format("milli_cores={}", config_.milli_cores));
  if (on_duty_) {
    JoinLoop();
  } else {
    GiveUpShards();
  }
}

bool FleetNode::IsReady() const {
  const auto now = SteadyNow();
  return policies_ && !leaving_ && now - store_seen_at_ < kReadyLimit &&
         (busy_at_ == Time() || now - busy_at_ >= kBusyPause);
}

void FleetNode::JoinLoop() {
  if (leaving_ || !on_duty_) {
    return;
  }
  const auto sent_at = SteadyNow();
  joining_ = true;
  ports_.store.Join(generation_, [this, sent_at](Result<Membership> joined) {
    joining_ = false;
    if (leaving_ || !on_duty_) {
      return;
    }
    if (joined) {
      if (std::exchange(store_away_, false)) {
        ports_.log.Write("store-regained", "", "");
      }
      joined_at_ = sent_at;
      store_seen_at_ = SteadyNow();
      OnJoined(*joined);
    } else if (!std::exchange(store_away_, true)) {
      ports_.log.Write("store-lost", "",
                       fmt::format("fault=\"{}\"", ToString(joined.error())));
    }
    const auto interval = ports_.store.MemberLifetime() / kRenewals;
    join_timer_.Set(joined ? interval : kRetryDelay, [this] { JoinLoop(); });
  });
}

void FleetNode::JoinSoon() {
  if (!joining_ && !leaving_ && on_duty_) {
    join_timer_.Cancel();
    JoinLoop();
  }
}

void FleetNode::OnJoined(const Membership& membership) {
  if (membership.generation < generation_) {
    return;
  }
  generation_ = membership.generation;
  const std::set<ShardId> held(membership.shards.begin(),
                               membership.shards.end());
  for (auto it = shards_.begin(); it != shards_.end();) {
    if (held.contains(it->first)) {
      ++it;
      continue;
    }
    it->second->Stop();
    it = shards_.erase(it);
  }
  const ShardOwner::Ports ports{
      ports_.loop,
      ports_.store,
      ports_.workers,
      ports_.log,
      [this] { return SteadyNow() - joined_at_ < kOrderLimit; },
      [this](ShardId it) { OnFenced(it); }};
  OwnPlanner(held.contains(kPlannerShard));
  for (const auto& it : held) {
    if (shards_.contains(it)) {
      continue;
    }
    auto shard = std::make_shared<ShardOwner>(
        ports, it, FenceToken(generation_), config_.tuning);
    shards_.emplace(it, shard);
    owners_[it] = {config_.peer_address, config_.milli_cores};
    shard->Start();
    if (policies_) {
      shard->SetPolicies(policies_);
    }
    if (worker_list_) {
      shard->SetWorkers(worker_list_);
    }
  }
}

void FleetNode::OnFenced(ShardId shard) {
  ports_.log.Write("shard-fenced", "", fmt::format("shard={}", shard.value()));
  // Not called from within the shard, which is destroyed here.
  boost::asio::post(ports_.loop, [this, shard] {
    const auto it = shards_.find(shard);
    if (it != shards_.end()) {
      it->second->Stop();
      shards_.erase(it);
    }
    if (shard == kPlannerShard) {
      OwnPlanner(false);
    }
    owners_.erase(shard);
    RefreshOwners();
  });
}

std::function<bool()> FleetNode::IsCurrentCheck() const {
  return [this] {
    return SteadyNow() - joined_at_ < ports_.store.MemberLifetime();
  };
}

ShardOwner* FleetNode::FindLoaded(ShardId shard) {
  const auto it = shards_.find(shard);
  return it == shards_.end() || !it->second->IsLoaded() ? nullptr
                                                        : it->second.get();
}

void FleetNode::PublishedLoop() {
  ports_.feed.AwaitPublished([this](Result<FleetFeed::Published> read) {
    if (!read) {
      ports_.log.Write("feed-failed", "",
                       fmt::format("fault=\"{}\"", ToString(read.error())));
      published_timer_.Set(kRetryDelay, [this] { PublishedLoop(); });
      return;
    }
    store_seen_at_ = SteadyNow();
    const bool waves = published_.waves != read->waves;
    const bool policies =
        read->policies &&
        (!policies_ || read->policies->version > policies_->version);
    published_ = std::move(*read);
    if (policies) {
      policies_ = published_.policies;
      ports_.log.Write("use-policies", "",
                       fmt::format("version={} queues={}", policies_->version,
                                   policies_->queues.size()));
      for (auto& [id, shard] : shards_) {
        shard->SetPolicies(policies_);
      }
    }
    if (planner_ && (policies || waves)) {
      planner_->SetPublished(published_);
    }
    PublishedLoop();
  });
}

void FleetNode::OwnPlanner(bool own) {
  if (!own) {
    if (planner_) {
      planner_->Stop();
      planner_.reset();
    }
    return;
  }
  if (planner_) {
    return;
  }
  const PlannerOwner::Ports ports{
      ports_.loop,
      ports_.store,
      ports_.feed,
      ports_.hosts,
      ports_.log,
      [this] { return SteadyNow() - joined_at_ < kOrderLimit; },
      [this](ShardId shard, HostPlan plan, auto done) {
        ExchangePlan(shard, std::move(plan), std::move(done));
      }};
  planner_ = std::make_shared<PlannerOwner>(
      ports, FenceToken(generation_), config_.planner, config_.tuning.shards);
  planner_->SetPublished(published_);
  planner_->Start();
}

void FleetNode::ExchangePlan(ShardId shard,
                             HostPlan plan,
                             std::function<void(PoolOutlook)> done) {
  if (auto* owner = FindLoaded(shard)) {
    done(owner->Plan(std::move(plan)));
    return;
  }
  const auto owner = owners_.find(shard);
  if (owner == owners_.end() ||
      owner->second.peer_address == config_.peer_address) {
    RefreshOwners();
    return;
  }
  peers_.Plan(owner->second.peer_address, shard, plan, kPlanTimeout,
              [this, done = std::move(done)](
                  tl::expected<PoolOutlook, PeerFault> outlook) {
                if (outlook) {
                  done(std::move(*outlook));
                } else {
                  RefreshOwners();
                }
              });
}

void FleetNode::WorkerLoop() {
  const auto again = [this] {
    worker_timer_.Set(kWorkerInterval, [this] { WorkerLoop(); });
  };
  if (shards_.empty()) {
    again();
    return;
  }
  ports_.feed.ReadWorkers(
      [this,
       again](Result<std::shared_ptr<const std::vector<WorkerEntry>>> read) {
        if (read) {
          worker_list_ = *read;
          for (auto& [id, shard] : shards_) {
            shard->SetWorkers(worker_list_);
          }
        }
        again();
      });
}

void FleetNode::OwnerLoop() {
  RefreshOwners();
  owner_timer_.Set(kOwnerInterval, [this] { OwnerLoop(); });
}

void FleetNode::RefreshOwners() {
  if (reading_owners_ || SteadyNow() - owners_read_at_ < kOwnerRefresh) {
    return;
  }
  reading_owners_ = true;
  owners_read_at_ = SteadyNow();
  ports_.store.ReadOwners(
      [this](Result<std::map<ShardId, ShardHolder>> owners) {
        reading_owners_ = false;
        if (owners) {
          owners_ = std::move(*owners);
          duty_.Observe(owners_);
        }
        FollowDuty();
      });
}

void FleetNode::TickLoop() {
  const auto now = SteadyNow();
  const auto lag = tick_due_ == Time() ? Duration(0) : now - tick_due_;
  load_.Observe(shards_.empty() ? Duration(0) : lag);
  if (load_.IsBusy()) {
    busy_at_ = now;
  }
  for (auto& [id, shard] : shards_) {
    if (shard->IsLoaded()) {
      shard->Tick(lag);
    }
  }
  ports_.log.Flush();
  const auto interval = shards_.empty() ? kIdleTickInterval : kTickInterval;
  tick_due_ = now + interval;
  tick_timer_.Set(interval, [this] { TickLoop(); });
}

std::string FleetNode::StatusText() const {
  std::string text =
      fmt::format("node {} ready {} generation {} policies {}\n",
                  config_.node.value(), IsReady() ? "yes" : "no", generation_,
                  policies_ ? policies_->version : 0);
  const auto now = SteadyNow();
  for (const auto& [id, shard] : shards_) {
    const auto report = shard->engine().Report(now);
    text += fmt::format(
        "shard {} token {} loaded {} jobs {} ended {} waiting-steps {} "
        "workers {} usable {} runs {}\n",
        id.value(), shard->token().value(), shard->IsLoaded() ? "yes" : "no",
        report.open_jobs, report.ended_jobs, report.waiting_steps,
        report.workers, report.usable_workers, report.runs);
  }
  return text;
}

}  // namespace baobab
