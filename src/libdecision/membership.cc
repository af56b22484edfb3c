#include "libdecision/membership.h"

#include <algorithm>
#include <string>

#include <tuple>
#include <utility>

#include "libdecision/text_hash.h"

namespace baobab {
namespace {

// Maximum age of a heartbeat that confirms this node: two intervals plus delay.
constexpr Duration kNearMaxReportAge = std::chrono::seconds(3);
constexpr Duration kFarMaxReportAge = std::chrono::seconds(12);

/** Returns the heartbeat offset of a pair of nodes within the interval; the
 * same in each incarnation. */
Duration Stagger(const NodeId& from, const NodeId& to, Duration interval) {
  const std::string key = from.value() + ">" + to.value();
  const auto part =
      HashText(key) % static_cast<std::uint64_t>(interval.count());
  return Duration(static_cast<std::int64_t>(part));
}

}  // namespace

Membership::Membership(const NodeConfig& config, Time now)
    : config_(config), last_tick_(now) {
  for (const auto& it : config_.peers) {
    if (it.id == config_.id) {
      continue;
    }
    targets_[it.id] = it.data_centre;
    const Duration interval = IsSameDataCentre(it.data_centre)
                                  ? kNearHeartbeatInterval
                                  : kFarHeartbeatInterval;
    phase_[it.id] = now + Stagger(config_.id, it.id, interval);
    // The first heartbeat to each peer follows within one second.
    next_heartbeat_at_[it.id] =
        now + Stagger(config_.id, it.id, kNearHeartbeatInterval);
  }
}

bool Membership::IsSameDataCentre(const DataCentreId& data_centre) const {
  return data_centre == config_.data_centre;
}

HeartbeatOutcome Membership::OnHeartbeat(const NodeId& from,
                                         Incarnation incarnation,
                                         const Heartbeat& heartbeat,
                                         Time now) {
  const auto it = peers_.find(from);
  if (it != peers_.end() && incarnation < it->second.incarnation) {
    return HeartbeatOutcome::kOldIncarnation;
  }
  auto outcome = HeartbeatOutcome::kAccepted;
  if (it == peers_.end()) {
    outcome = HeartbeatOutcome::kNewPeer;
  } else if (incarnation > it->second.incarnation) {
    outcome = HeartbeatOutcome::kRestarted;
  }
  const Time known_since =
      outcome == HeartbeatOutcome::kAccepted ? it->second.known_since : now;
  peers_[from] = {heartbeat.data_centre, incarnation, now,      now,
                  known_since,           false,       heartbeat};
  if (outcome != HeartbeatOutcome::kAccepted && targets_.contains(from)) {
    // The new incarnation does not know its peers yet.
    next_heartbeat_at_[from] = now;
  }
  return outcome;
}

void Membership::OnPeerLost(const NodeId& peer) {
  const auto it = peers_.find(peer);
  if (it != peers_.end()) {
    it->second.link_lost = true;
  }
}

void Membership::OnLogRead(Time now) {
  log_read_at_ = now;
  log_ever_read_ = true;
}

bool Membership::IsLogFresh(Time now) const {
  return log_ever_read_ && now - log_read_at_ < kMaxLogReadAge;
}

Heartbeat Membership::MakeHeartbeat(Time now,
                                    const LocalStatus& local,
                                    const NodeId& to) const {
  const bool near = IsSameDataCentre(targets_.at(to));
  Heartbeat it;
  it.data_centre = config_.data_centre;
  it.view = local.view;
  it.released_view = local.released_view;
  it.next_offset = local.next_offset;
  it.version = local.version;
  it.stopping = local.stopping;
  for (const auto& [id, peer] : peers_) {
    // Listing all nodes would cost 5.4 KB/s at 81 nodes. The list decides only
    // on nodes of the own data centre, and has to show the receiver whether it
    // is heard.
    if (IsAlive(id, now) && (IsSameDataCentre(peer.data_centre) || id == to)) {
      it.hears.push_back(id);
    }
  }
  if (near) {
    it.loads = local.loads;
  }
  it.leaving = local.leaving;
  return it;
}

void Membership::AdjustForPause(Time now) {
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap <= kMaxTickGap) {
    return;
  }
  for (auto& [id, peer] : peers_) {
    peer.silent_since = std::min(now, peer.silent_since + gap);
  }
}

void Membership::Tick(Time now, const LocalStatus& local, Effects& effects) {
  AdjustForPause(now);
  const bool at_once =
      local.version > sent_version_ || (local.stopping && !sent_stopping_);
  sent_version_ = std::max(sent_version_, local.version);
  sent_stopping_ = local.stopping;
  for (const auto& [id, data_centre] : targets_) {
    auto& due = next_heartbeat_at_[id];
    if (now < due && !at_once) {
      continue;
    }
    const bool near = IsSameDataCentre(data_centre);
    const Duration interval =
        near ? kNearHeartbeatInterval : kFarHeartbeatInterval;
    effects.push_back(SendPeer{id, MakeHeartbeat(now, local, id)});
    // Keeps the phase and skips the heartbeats missed during a pause.
    due = phase_[id];
    if (due <= now) {
      due += interval * ((now - due) / interval + 1);
    }
  }
}

void Membership::SendFinal(Time now,
                           const LocalStatus& local,
                           Effects& effects) {
  for (const auto& [id, data_centre] : targets_) {
    effects.push_back(SendPeer{id, MakeHeartbeat(now, local, id)});
  }
}

bool Membership::IsAlive(const NodeId& peer, Time now) const {
  const auto it = peers_.find(peer);
  return it != peers_.end() &&
         now - it->second.silent_since <
             (IsSameDataCentre(it->second.data_centre) ? kNearSilenceTimeout
                                                       : kFarSilenceTimeout);
}

bool Membership::ConfirmsSelf(const NodeId& peer,
                              Time now,
                              ViewNumber view) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) {
    return false;
  }
  const PeerState& state = it->second;
  const Duration max_age = IsSameDataCentre(state.data_centre)
                               ? kNearMaxReportAge
                               : kFarMaxReportAge;
  const auto& hears = state.last.hears;
  return now - state.heard_at < max_age && state.last.view <= view &&
         std::find(hears.begin(), hears.end(), config_.id) != hears.end();
}

bool Membership::Confirmed(Time now, const View& view) const {
  if (IsLogFresh(now)) {
    return true;
  }
  const auto count = [&](bool near_only) {
    std::pair<std::size_t, std::size_t> confirming_and_all;
    for (const auto& it : view.nodes) {
      if (it.id != config_.id &&
          (!near_only || IsSameDataCentre(it.data_centre))) {
        confirming_and_all.first +=
            ConfirmsSelf(it.id, now, view.number) ? 1 : 0;
        ++confirming_and_all.second;
      }
    }
    return confirming_and_all;
  };
  auto [confirming, all] = count(true);
  if (all == 0) {
    std::tie(confirming, all) = count(false);
  }
  if (all == 0) {
    // A newer view may exist that no longer contains this node.
    return targets_.empty() && !view.nodes.empty();
  }
  return 2 * confirming >= all;
}

std::vector<NodeId> Membership::NodesBehind(TableVersion version,
                                            const View& view) const {
  std::vector<NodeId> behind;
  for (const auto& it : view.nodes) {
    if (it.id == config_.id) {
      continue;
    }
    const auto peer = peers_.find(it.id);
    if (peer == peers_.end() || peer->second.last.version < version) {
      behind.push_back(it.id);
    }
  }
  return behind;
}

bool Membership::HasReleased(const NodeId& node, ViewNumber view) const {
  const auto it = peers_.find(node);
  return it != peers_.end() && it->second.last.released_view >= view;
}

std::set<MinionId> Membership::LeavingMinions(Time now) const {
  std::set<MinionId> leaving;
  for (const auto& [id, peer] : peers_) {
    if (IsAlive(id, now)) {
      leaving.insert(peer.last.leaving.begin(), peer.last.leaving.end());
    }
  }
  return leaving;
}

}  // namespace baobab
