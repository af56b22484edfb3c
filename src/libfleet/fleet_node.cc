#include "libfleet/fleet_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace baobab {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/** Interval between reads of the worker list. A worker that starts to drain is
 * noticed after this time plus the list's own lag. */
constexpr Duration kWorkerListInterval = std::chrono::milliseconds(300);
/** Interval between reads of the list of owners, and its minimum after failed
 * calls to an owner. */
constexpr Duration kOwnerListInterval = std::chrono::milliseconds(2000);
constexpr Duration kMinOwnerRefreshInterval = std::chrono::milliseconds(150);
/** Age of a list of owners up to which it is passed on to other nodes. */
constexpr Duration kMaxOwnersAge = std::chrono::milliseconds(2500);
/** Timeout of asking another node for the list of owners. */
constexpr Duration kPeerOwnersTimeout = std::chrono::milliseconds(300);
/** Tick interval of the engines; their timers are multiples of it. */
constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/** Tick interval without shards, when only the log is flushed. */
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(250);
/** Time without an answer from the store after which the node reports that it
 * is not ready. */
constexpr Duration kMaxStoreSilence = std::chrono::milliseconds(6000);
/** Time for which a node that fell behind with its shards reports that it is
 * not ready. The load balancer polls each second and needs two answers. */
constexpr Duration kBusyBackoff = std::chrono::milliseconds(2500);
/** Timeout of a plan exchange; an older usage report would not be used. */
constexpr Duration kPlanTimeout = std::chrono::milliseconds(500);
/** Timeout of offering a job to another node, which stores it. */
constexpr Duration kOfferTimeout = std::chrono::milliseconds(900);
/** Maximum size of a request from another node. An offered job has the records
 * of up to kMaxOpenTasksPerJob tasks. */
constexpr std::size_t kMaxPeerBodyBytes = 8u << 20;

}  // namespace

FleetNode::FleetNode(const Ports& ports, const FleetNodeConfig& config)
    : ports_(ports),
      config_(config),
      eligibility_(config.milli_cores),
      keeper_({ports.loop, ports.store, ports.log,
               [this] { return OwnerMilliCores(); },
               [this](const auto& division) { OnDivision(division); }},
              config.tuning.shards),
      peers_(ports.client),
      peer_server_(
          ports.loop,
          [this](HttpRequest request, AsyncHttpServer::Responder respond) {
            if (request.target == kRebalancedTarget) {
              RenewMembershipNow();
              respond({200, {}, ""});
              return;
            }
            if (request.target == kOwnersTarget) {
              respond(SteadyNow() - owners_current_at_ < kMaxOwnersAge
                          ? OwnersAnswer(owners_)
                          : HttpResponse{503, {}, ""});
              return;
            }
            ServePeer(
                request, [this](ShardId it) { return FindCurrentShard(it); },
                MakeMembershipCheck(), std::move(respond));
          }),
      join_timer_(ports.loop),
      published_timer_(ports.loop),
      worker_timer_(ports.loop),
      owner_timer_(ports.loop),
      tick_timer_(ports.loop) {
  AsyncServerLimits limits;
  limits.max_body_bytes = kMaxPeerBodyBytes;
  peer_server_.SetLimits(limits);
}

FleetNode::~FleetNode() {
  guard_.Revoke();
  // Calls in flight keep the owners alive, but not what they use.
  StopShards();
}

void FleetNode::Start() {
  const auto endpoint = ParseEndpoint(config_.peer_address);
  const auto listening =
      endpoint ? peer_server_.Listen(*endpoint) : Result<void>();
  ports_.log.Write("start-node", "",
                   fmt::format("peer={} listening={}", config_.peer_address,
                               endpoint && listening ? "yes" : "no"));
  store_answered_at_ = SteadyNow();
  renewal_sent_at_ = SteadyNow();
  LeaveFormerMembership();
  PublishedLoop();
  WorkerLoop();
  TickLoop();
}

void FleetNode::Leave() {
  leaving_ = true;
  ReleaseShards();
  ports_.log.Write("leave-group", "", "");
}

bool FleetNode::IsReady() const {
  const auto now = SteadyNow();
  return policies_ && !leaving_ &&
         now - store_answered_at_ < kMaxStoreSilence &&
         (last_busy_at_ == Time() || now - last_busy_at_ >= kBusyBackoff);
}

ShardOwner* FleetNode::FindCurrentShard(ShardId shard) {
  const auto it = shards_.find(shard);
  return it == shards_.end() || !it->second->IsCurrent() ? nullptr
                                                         : it->second.get();
}

void FleetNode::PublishedLoop() {
  const auto on_read = [this](Result<FleetFeed::PublishedConfig> read) {
    if (!read) {
      ports_.log.Write("feed-failed", "",
                       fmt::format("fault=\"{}\"", ToString(read.error())));
      published_timer_.Set(kRetryDelay, [this] { PublishedLoop(); });
      return;
    }
    store_answered_at_ = SteadyNow();
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
      keeper_.SetPolicies(*policies_);
    }
    if (planner_ && (policies || waves)) {
      planner_->SetPublished(published_);
    }
    PublishedLoop();
  };
  ports_.feed.AwaitPublished(guard_.Bind(on_read));
}

void FleetNode::OnDivision(
    const std::shared_ptr<const PoolDivision>& division) {
  for (auto& [id, shard] : shards_) {
    shard->SetDivision(division);
  }
  if (planner_) {
    planner_->SetDivision(division);
  }
}

int FleetNode::OwnerMilliCores() const {
  std::map<std::string, int> nodes;
  for (const auto& [shard, owner] : owners_) {
    if (owner.milli_cores > 0) {
      nodes[owner.peer_address] = owner.milli_cores;
    }
  }
  if (nodes.empty()) {
    return config_.milli_cores;
  }
  std::vector<int> shares;
  for (const auto& [peer, milli_cores] : nodes) {
    shares.push_back(milli_cores);
  }
  std::sort(shares.begin(), shares.end());
  return shares[shares.size() / 2];
}

void FleetNode::SetPlannerOwned(bool owned) {
  keeper_.SetPlannerOwned(owned);
  if (!owned) {
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
      MakeOrderCheck(),
      MakeMembershipCheck(),
      guard_.Bind(
          [this](AppendOutcome cause) { OnFenced(kPlannerShard, cause); }),
      guard_.Bind([this](ShardId shard, HostPlan plan, auto done) {
        ExchangePlan(shard, std::move(plan), std::move(done));
      })};
  planner_ = std::make_shared<PlannerOwner>(ports, FenceToken(generation_),
                                            config_.planner);
  planner_->SetPublished(published_);
  planner_->SetDivision(keeper_.division());
  planner_->Start();
}

void FleetNode::ExchangePlan(ShardId shard,
                             HostPlan plan,
                             std::function<void(PoolUsage)> done) {
  if (auto* owner = FindCurrentShard(shard)) {
    if (auto usage = owner->ApplyPlan(std::move(plan))) {
      done(std::move(*usage));
    }
    return;
  }
  const auto owner = owners_.find(shard);
  if (owner == owners_.end() ||
      owner->second.peer_address == config_.peer_address) {
    RefreshOwners();
    return;
  }
  const auto on_usage =
      [this, done = std::move(done)](tl::expected<PoolUsage, PeerFault> usage) {
        if (usage) {
          done(std::move(*usage));
        } else {
          RefreshOwners();
        }
      };
  peers_.ApplyPlan(owner->second.peer_address, shard, plan, kPlanTimeout,
                   guard_.Bind(on_usage));
}

void FleetNode::OfferJob(ShardId cell,
                         JobOffer offer,
                         std::function<void(bool)> done) {
  // Posted, because the other cell may be one of this node, and its events must
  // not begin while one of the offering cell is handled.
  boost::asio::post(
      ports_.loop, guard_.Bind([this, cell, offer = std::move(offer),
                                done = std::move(done)]() mutable {
        if (auto* owner = FindCurrentShard(cell)) {
          owner->TakeJob(std::move(offer), std::move(done));
          return;
        }
        const auto owner = owners_.find(cell);
        if (owner == owners_.end() ||
            owner->second.peer_address == config_.peer_address) {
          RefreshOwners();
          done(false);
          return;
        }
        peers_.OfferJob(owner->second.peer_address, cell, offer, kOfferTimeout,
                        guard_.Bind([this, done = std::move(done)](
                                        tl::expected<bool, PeerFault> stored) {
                          if (!stored) {
                            RefreshOwners();
                          }
                          done(stored.value_or(false));
                        }));
      }));
}

void FleetNode::WorkerLoop() {
  const auto schedule_next = [this] {
    worker_timer_.Set(kWorkerListInterval, [this] { WorkerLoop(); });
  };
  if (shards_.empty()) {
    // Shards that this node gets later must not begin with an old list.
    worker_list_.reset();
    schedule_next();
    return;
  }
  const auto on_read =
      [this,
       schedule_next](const Result<std::shared_ptr<const WorkerList>>& read) {
        if (read) {
          worker_list_ = *read;
          workers_read_at_ = SteadyNow();
          keeper_.SetWorkers(worker_list_->entries);
          for (auto& [id, shard] : shards_) {
            shard->SetWorkers(worker_list_, workers_read_at_);
          }
        } else {
          ports_.log.Write("workers-unread", "",
                           fmt::format("fault=\"{}\"", ToString(read.error())));
        }
        schedule_next();
      };
  ports_.feed.ReadWorkers(guard_.Bind(on_read));
}

void FleetNode::OwnerLoop() {
  RefreshOwners();
  owner_timer_.Set(kOwnerListInterval, [this] { OwnerLoop(); });
}

void FleetNode::RefreshOwners() {
  if (owners_read_pending_ ||
      SteadyNow() - owners_read_at_ < kMinOwnerRefreshInterval) {
    return;
  }
  owners_read_pending_ = true;
  owners_read_at_ = SteadyNow();
  const auto on_read = [this](Result<std::map<ShardId, OwnerNode>> owners) {
    if (!owners) {
      ReadOwnersFromPeer();
      return;
    }
    owners_read_pending_ = false;
    owners_ = std::move(*owners);
    owners_current_at_ = SteadyNow();
    store_answered_at_ = owners_current_at_;
    eligibility_.Observe(owners_);
    ApplyEligibility();
  };
  ports_.store.ReadOwners(guard_.Bind(on_read));
}

void FleetNode::ReadOwnersFromPeer() {
  auto peers = OwnerNodes();
  peers.erase(config_.peer_address);
  if (peers.empty()) {
    owners_read_pending_ = false;
    return;
  }
  auto peer = peers.upper_bound(asked_peer_);
  asked_peer_ = peer == peers.end() ? *peers.begin() : *peer;
  const auto on_read =
      [this](tl::expected<std::map<ShardId, OwnerNode>, PeerFault> owners) {
        owners_read_pending_ = false;
        if (owners) {
          ports_.log.Write(
              "owners-from-peer", "",
              fmt::format("peer={} shards={}", asked_peer_, owners->size()));
          owners_ = std::move(*owners);
        }
      };
  peers_.ReadOwners(asked_peer_, kPeerOwnersTimeout, guard_.Bind(on_read));
}

void FleetNode::TickLoop() {
  const auto now = SteadyNow();
  const auto lag = tick_due_ == Time() ? Duration(0) : now - tick_due_;
  owner_load_.Observe(shards_.empty() ? Duration(0) : lag);
  if (owner_load_.IsBusy()) {
    last_busy_at_ = now;
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
        "workers {} usable {} runs {} set-aside {}\n",
        id.value(), shard->token().value(), shard->IsLoaded() ? "yes" : "no",
        report.open_jobs, report.ended_jobs, report.waiting_steps,
        report.workers, report.usable_workers, report.runs,
        report.set_aside_jobs);
  }
  return text;
}

}  // namespace baobab
