// Selects the nodes of the view.

#include <algorithm>

#include "libdecision/planner.h"

namespace baobab {
namespace {

// Silence, of three heartbeats, after which a stopping node is removed.
constexpr Duration kStoppedSilence = std::chrono::seconds(3);

}  // namespace

std::vector<ViewNode> Planner::TargetNodes(Time now,
                                           const LogFold& fold,
                                           const Membership& membership) const {
  const View& view = fold.view();
  std::vector<ViewNode> nodes;
  for (const auto& it : view.nodes) {
    if (BelongsInView(it, now, view, membership)) {
      nodes.push_back(it);
    }
  }
  const auto in_view = [&](const NodeId& id) {
    return std::any_of(view.nodes.begin(), view.nodes.end(),
                       [&](const auto& it) { return it.id == id; });
  };
  const auto is_listed = [&](const NodeId& id) {
    return !host_list_known_ || listed_nodes_.contains(id);
  };
  for (const auto& [id, peer] : membership.peers()) {
    // Skips nodes that the next check would remove again: those that fell
    // silent, are not listed by the platform, or are not yet heard in their
    // data centre.
    const ViewNode node{id, peer.data_centre};
    if (!in_view(id) && is_listed(id) && !peer.last.stopping &&
        !peer.link_lost &&
        now - peer.heard_at < kFarHeartbeatInterval + kStoppedSilence &&
        BelongsInView(node, now, view, membership)) {
      nodes.push_back(node);
    }
  }
  if (!in_view(config_.id)) {
    nodes.push_back({config_.id, config_.data_centre});
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

bool Planner::BelongsInView(const ViewNode& node,
                            Time now,
                            const View& view,
                            const Membership& membership) const {
  if (node.id == config_.id) {
    return true;
  }
  if (host_list_known_ && !listed_nodes_.contains(node.id)) {
    return false;
  }
  const auto found = membership.peers().find(node.id);
  if (found != membership.peers().end() && found->second.last.stopping &&
      now - found->second.heard_at >= kStoppedSilence) {
    return false;
  }
  // The other view nodes of its data centre decide. Only those count that are
  // alive and have run long enough to notice a silence of 15 s.
  std::size_t others = 0;
  std::size_t not_hearing = 0;
  for (const auto& it : view.nodes) {
    if (it.data_centre != node.data_centre || it.id == node.id) {
      continue;
    }
    ++others;
    if (it.id == config_.id) {
      not_hearing += now - running_since_ >= kNearSilenceTimeout &&
                             !membership.IsAlive(node.id, now)
                         ? 1
                         : 0;
      continue;
    }
    const auto peer = membership.peers().find(it.id);
    if (peer == membership.peers().end() || !membership.IsAlive(it.id, now) ||
        now - peer->second.known_since < kNearSilenceTimeout) {
      continue;
    }
    const auto& hears = peer->second.last.hears;
    not_hearing +=
        std::find(hears.begin(), hears.end(), node.id) == hears.end() ? 1 : 0;
  }
  return 2 * not_hearing <= others;
}

std::string Planner::DescribeChange(const std::vector<ViewNode>& from,
                                    const std::vector<ViewNode>& to) {
  std::string text;
  const auto name_missing = [&](const char* what, const auto& in,
                                const auto& of) {
    for (const auto& it : in) {
      if (std::find(of.begin(), of.end(), it) == of.end()) {
        text += (text.empty() ? "" : ", ") + (what + it.id.value());
      }
    }
  };
  name_missing("adds ", to, from);
  name_missing("removes ", from, to);
  return text +
         "; a node is added when heard, removed when delisted, stopped "
         "or not heard for 15 s by over half of its data centre";
}

}  // namespace baobab
