#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/post.hpp>

#include "libfleet/fleet_node.h"

// Membership of the group of owners: joining, renewing and leaving, and the
// shards that the store assigns.

namespace baobab {

namespace {

/** Membership renewals per lifetime, so that two may be lost. */
constexpr int kRenewalsPerLifetime = 3;
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/** Renewal interval while shards change hands, and how long that is assumed
 * after a change of the generation. A shard has no owner from the renewal at
 * which its former owner learns of the change to the next one of the new
 * owner. */
constexpr Duration kRebalanceRenewalInterval = std::chrono::milliseconds(150);
constexpr Duration kRebalanceDuration = std::chrono::milliseconds(1000);
/** Delay before a node joins the owners again after it failed with a shard. It
 * lets the others take over the shard. */
constexpr Duration kRejoinDelay = std::chrono::milliseconds(1000);
/** Age of the last membership renewal at which an owner stops sending orders,
 * since another node may own its shards by then. PoolTuning::former_owner_grace
 * exceeds it. */
constexpr Duration kMaxRenewalAgeForOrders = std::chrono::milliseconds(4000);

}  // namespace

void FleetNode::LeaveFormerMembership() {
  // Joining a membership of a former process would return its generation, and
  // so a token with which that process has stored records.
  ports_.store.Leave(guard_.Bind([this](bool left) {
    if (leaving_) {
      return;
    }
    if (left) {
      join_timer_.Set(eligibility_.JoinDelay(), [this] {
        started_ = true;
        OwnerLoop();
      });
      return;
    }
    RefreshOwners();
    join_timer_.Set(kRetryDelay, [this] { LeaveFormerMembership(); });
  }));
}

void FleetNode::ReleaseShards(std::function<void(bool left)> done) {
  ++releases_;
  join_timer_.Cancel();
  is_member_ = false;
  rejoin_.Reset();
  StopShards();
  auto peers = OwnerNodes();
  peers.erase(config_.peer_address);
  ports_.store.Leave(
      guard_.Bind([this, peers, done = std::move(done)](bool left) {
        for (const auto& it : peers) {
          peers_.NotifyRebalanced(it);
        }
        if (done) {
          done(left);
        }
      }));
}

void FleetNode::StopShards() {
  SetPlannerOwned(false);
  for (auto it = shards_.begin(); it != shards_.end();) {
    it = StopShard(it);
  }
}

std::map<ShardId, std::shared_ptr<ShardOwner>>::iterator FleetNode::StopShard(
    std::map<ShardId, std::shared_ptr<ShardOwner>>::iterator shard) {
  const auto owner = shard->second;
  stopped_owners_[shard->first] = {owner->token(), SteadyNow()};
  const auto next = shards_.erase(shard);
  owner->Stop();
  return next;
}

bool FleetNode::WouldReuseToken(ShardId shard) const {
  const auto it = stopped_owners_.find(shard);
  return !shards_.contains(shard) && it != stopped_owners_.end() &&
         FenceToken(generation_) <= it->second.token;
}

void FleetNode::ApplyEligibility() {
  if (leaving_ || !started_ || eligibility_.IsEligible() == participating_) {
    return;
  }
  participating_ = eligibility_.IsEligible();
  ports_.log.Write(participating_ ? "take-duty" : "stand-back", "",
                   fmt::format("milli_cores={}", config_.milli_cores));
  if (participating_) {
    MembershipLoop();
  } else {
    ReleaseShards();
  }
}

void FleetNode::MembershipLoop() {
  if (leaving_ || !participating_) {
    return;
  }
  if (StaysOutAfterExpiry()) {
    join_timer_.Set(kRetryDelay, [this] { MembershipLoop(); });
    return;
  }
  const auto sent_at = SteadyNow();
  renewal_pending_ = true;
  const auto on_joined = [this, sent_at, releases = releases_](
                             const Result<Membership>& joined) {
    renewal_pending_ = false;
    if (leaving_ || !participating_ || releases != releases_) {
      return;
    }
    if (joined) {
      if (std::exchange(store_unreachable_, false)) {
        ports_.log.Write("store-regained", "", "");
      }
      if (!MakeMembershipCheck()() && joined->generation > generation_) {
        // Others may have owned the shards meanwhile, and stored records.
        StopShards();
      }
      renewal_sent_at_ = sent_at;
      store_answered_at_ = SteadyNow();
      is_member_ = true;
      rejoin_.Reset();
      OnMembership(*joined, sent_at);
      if (releases != releases_) {
        return;
      }
      owners_at_renewal_ = OwnerNodes().size();
    } else {
      if (!std::exchange(store_unreachable_, true)) {
        ports_.log.Write("store-lost", "",
                         fmt::format("fault=\"{}\"", ToString(joined.error())));
      }
      // Other nodes take over the shards of this one.
      RefreshOwners();
    }
    join_timer_.Set(joined ? RenewalInterval() : kRetryDelay,
                    [this] { MembershipLoop(); });
  };
  ports_.store.Join(generation_, guard_.Bind(on_joined));
}

std::set<std::string> FleetNode::OwnerNodes() const {
  std::set<std::string> nodes;
  for (const auto& [shard, owner] : owners_) {
    nodes.insert(owner.peer_address);
  }
  return nodes;
}

bool FleetNode::StaysOutAfterExpiry() {
  const Time now = SteadyNow();
  const Time expiry = renewal_sent_at_ + ports_.store.MemberLifetime();
  if (!is_member_ || now < expiry) {
    return false;
  }
  rejoin_.Expire(owners_at_renewal_);
  RefreshOwners();
  if (owners_current_at_ < expiry) {
    // The list may be from before the expiry.
    return now - expiry < RejoinPolicy::kDelay;
  }
  const auto nodes = OwnerNodes();
  if (nodes.contains(config_.peer_address) ||
      rejoin_.MayJoin(nodes.size(), now)) {
    return false;
  }
  if (std::exchange(store_unreachable_, false)) {
    ports_.log.Write("store-regained", "",
                     fmt::format("owners={} rejoins=later", nodes.size()));
  }
  StopShards();
  return true;
}

Duration FleetNode::RenewalInterval() {
  if (std::exchange(unconfirmed_release_, false)) {
    // Only the next renewal lets the store give the shards to other nodes.
    return Duration(0);
  }
  const auto interval = ports_.store.MemberLifetime() / kRenewalsPerLifetime;
  return SteadyNow() - rebalanced_at_ < kRebalanceDuration
             ? std::min(interval, kRebalanceRenewalInterval)
             : interval;
}

void FleetNode::RenewMembershipNow() {
  if (!renewal_pending_ && !leaving_ && participating_) {
    join_timer_.Cancel();
    MembershipLoop();
  }
}

void FleetNode::OnMembership(const Membership& membership, Time sent_at) {
  if (membership.generation < generation_) {
    return;
  }
  if (generation_ != membership.generation) {
    rebalanced_at_ = SteadyNow();
    RefreshOwners();
  }
  // Each change raises the generation, so that after two or more of them a
  // shard may have been with another node in between.
  const bool missed_any = membership.generation > generation_ + 1;
  generation_ = membership.generation;
  const std::set<ShardId> held(membership.shards.begin(),
                               membership.shards.end());
  for (auto it = shards_.begin(); it != shards_.end();) {
    if (held.contains(it->first)) {
      ++it;
      continue;
    }
    it = StopShard(it);
    unconfirmed_release_ = true;
  }
  if (missed_any && !shards_.empty()) {
    VerifyKeptShards();
  }
  SetPlannerOwned(held.contains(kPlannerShard) &&
                  !WouldReuseToken(kPlannerShard));
  bool reused = false;
  for (const auto& it : held) {
    if (shards_.contains(it)) {
      continue;
    }
    if (WouldReuseToken(it)) {
      // An answer to an earlier renewal may be from before another node got the
      // shard.
      reused = reused || sent_at > stopped_owners_.at(it).at;
      continue;
    }
    StartShard(it);
  }
  if (reused) {
    Rejoin();
  }
}

void FleetNode::StartShard(ShardId id) {
  const ShardOwner::Ports ports{
      ports_.loop,
      ports_.store,
      ports_.workers,
      ports_.log,
      MakeOrderCheck(),
      guard_.Bind(
          [this](ShardId it, AppendOutcome cause) { OnFenced(it, cause); }),
      guard_.Bind([this](ShardId cell, JobOffer offer, auto done) {
        OfferJob(cell, std::move(offer), std::move(done));
      }),
      guard_.Bind([this](ShardId it) { OnFailed(it); }),
      guard_.Bind([this](ShardId it) { OnOutdated(it); })};
  auto shard = std::make_shared<ShardOwner>(ports, id, FenceToken(generation_),
                                            config_.tuning);
  shards_.emplace(id, shard);
  owners_[id] = {config_.peer_address, config_.milli_cores};
  shard->Start();
  if (policies_) {
    shard->SetPolicies(policies_);
  }
  shard->SetDivision(keeper_.division());
  if (worker_list_) {
    shard->SetWorkers(worker_list_, workers_read_at_);
  }
}

void FleetNode::VerifyKeptShards() {
  ports_.log.Write(
      "generations-missed", "",
      fmt::format("generation={} shards={}", generation_, shards_.size()));
  for (auto it = shards_.begin(); it != shards_.end();) {
    // The planner and the owner both write to the planner's shard, so that its
    // end says nothing about other nodes. Both load their state again.
    if (it->first == kPlannerShard || !it->second->HasLoaded()) {
      it = StopShard(it);
    } else {
      it->second->Verify(FenceToken(generation_));
      ++it;
    }
  }
  SetPlannerOwned(false);
}

void FleetNode::OnOutdated(ShardId shard) {
  // Posted, because the caller is a shard that is destroyed here.
  boost::asio::post(ports_.loop, guard_.Bind([this, shard] {
    const auto it = shards_.find(shard);
    if (leaving_ || !participating_ || it == shards_.end()) {
      return;
    }
    StopShard(it);
    StartShard(shard);
  }));
}

void FleetNode::OnFenced(ShardId shard, AppendOutcome cause) {
  ports_.log.Write(
      "shard-fenced", "",
      fmt::format("shard={} cause={}", shard.value(), ToString(cause)));
  // Posted, because the caller may be the shard that is destroyed here.
  boost::asio::post(ports_.loop, guard_.Bind([this, shard] {
    const auto it = shards_.find(shard);
    if (it != shards_.end()) {
      StopShard(it);
    }
    if (shard == kPlannerShard) {
      SetPlannerOwned(false);
    }
    owners_.erase(shard);
    RefreshOwners();
  }));
}

void FleetNode::OnFailed(ShardId shard) {
  // Posted, because the caller is a shard that is destroyed here.
  boost::asio::post(ports_.loop, guard_.Bind([this, shard] {
    if (leaving_ || !participating_ || !shards_.contains(shard)) {
      return;
    }
    Rejoin();
  }));
}

void FleetNode::Rejoin() {
  ports_.log.Write("rejoin-group", "",
                   fmt::format("generation={}", generation_));
  ReleaseShards([this, releases = releases_ + 1](bool left) {
    if (leaving_ || releases != releases_) {
      return;
    }
    // Joining a membership that has not ended would return its generation.
    join_timer_.Set(left ? kRejoinDelay : kRetryDelay, [this, left] {
      if (left) {
        MembershipLoop();
      } else {
        Rejoin();
      }
    });
  });
}

std::function<bool()> FleetNode::MakeMembershipCheck() const {
  return guard_.Bind([this] {
    return SteadyNow() - renewal_sent_at_ < ports_.store.MemberLifetime();
  });
}

std::function<bool()> FleetNode::MakeOrderCheck() const {
  return guard_.Bind([this] {
    return SteadyNow() - renewal_sent_at_ < kMaxRenewalAgeForOrders;
  });
}

}  // namespace baobab
