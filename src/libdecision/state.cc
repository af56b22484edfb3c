#include "libdecision/state.h"

#include <algorithm>
#include <string>

namespace baobab {

namespace {

std::vector<MinionStatus> MinionStates(const State& state) {
  std::vector<MinionStatus> result;
  for (const MinionUnits& it : state.scheduler.MinionUsage()) {
    result.push_back({it.minion, it.service,
                      std::string(state.minions.StateName(it.minion)), it.owned,
                      it.in_use});
  }
  return result;
}

std::vector<PeerStatus> PeerStates(const State& state, Time now) {
  const auto& nodes = state.fold.view().nodes;
  std::vector<PeerStatus> result;
  for (const PeerConfig& it : state.config.peers) {
    PeerStatus status;
    status.node = it.id;
    status.in_view =
        std::any_of(nodes.begin(), nodes.end(),
                    [&](const ViewNode& node) { return node.id == it.id; });
    status.silent = Duration(-1);
    const auto peer = state.membership.peers().find(it.id);
    if (peer != state.membership.peers().end()) {
      status.silent = now - peer->second.heard_at;
      status.version = peer->second.last.version;
    }
    result.push_back(status);
  }
  return result;
}

}  // namespace

State::State(const NodeConfig& node_config, Time now)
    : config(node_config),
      fetch(now),
      writer({node_config.id, node_config.incarnation},
             node_config.peers.size() + 1),
      membership(node_config, now),
      planner(node_config, now),
      scheduler(node_config, now),
      keys(node_config),
      minions(node_config),
      requests(node_config, scheduler, keys, minions) {}

StatusReport MakeStatus(const State& state, Time now) {
  StatusReport report;
  report.node = state.config.id;
  report.incarnation = state.config.incarnation;
  report.ready = IsReady(state, now);
  report.log_fresh = state.membership.IsLogFresh(now);
  report.version = state.fold.version();
  report.next_offset = state.fold.next_offset();
  report.view = state.fold.view().number;
  report.term = state.fold.planner().term;
  report.planner = state.fold.planner().holder.node;
  report.queues = state.requests.Status();
  report.minions = MinionStates(state);
  report.peers = PeerStates(state, now);
  report.invariant_violations =
      state.violations + state.requests.invariant_violations();
  report.rejected_records = state.fold.rejected_records();
  return report;
}

}  // namespace baobab
