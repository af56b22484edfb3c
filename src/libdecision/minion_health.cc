#include "libdecision/minion_health.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** FNV-1a hash. Unlike std::hash, it is the same on every platform, which the
 * order of events requires. */
std::uint64_t HashFnv1a(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char it : text) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
  }
  return hash;
}

/** Returns the offset of the probes of a minion by a node, which spreads all
 * probes over the interval. */
Duration ProbePhase(const NodeId& node, const MinionId& minion) {
  return Duration(static_cast<Duration::rep>(
      HashFnv1a(node.value() + "/" + minion.value()) %
      static_cast<std::uint64_t>(MinionHealth::kProbeInterval.count())));
}

void AddTimelineEntry(Effects& effects,
                      std::string kind,
                      const MinionId& minion,
                      std::string cause,
                      std::string detail) {
  effects.push_back(
      WriteTimelineEntry{{std::move(kind), "minion/" + minion.value(),
                          std::move(cause), std::move(detail)}});
}

std::string NodeSubject(const NodeId& node) {
  return "node/" + node.value();
}

}  // namespace

MinionHealth::MinionHealth(const NodeConfig& config) : config_(config) {}

void MinionHealth::OnHostList(const HostList& list,
                              Time now,
                              Effects& effects) {
  std::set<MinionId> listed;
  for (const MinionEntry& it : list.minions) {
    const bool first = listed.insert(it.id).second;
    const auto [found, added] = minions_.try_emplace(it.id);
    Minion& minion = found->second;
    const bool was_leaving =
        minion.entry.leaving || minion.unlisted_since.has_value();
    // Of two entries with the same id, either may be marked as leaving.
    const bool leaving = it.leaving || (!first && minion.entry.leaving);
    minion.entry = it;
    minion.entry.leaving = leaving;
    minion.unlisted_since.reset();
    minion.drained = drained_hosts_.contains(it.host);
    if (added) {
      minion.next_probe = now + ProbePhase(config_.id, it.id);
    }
    if (leaving) {
      MarkLeaving(minion, "host/" + it.host.value(),
                  "the host list shows it as leaving", effects);
    } else if (was_leaving && !added) {
      // Only probes after the list shows the minion as live count.
      minion.clean_probes = 0;
    }
    if (minion.drained) {
      MarkLeaving(minion, "host/" + it.host.value(),
                  "table cell maintenance=drain", effects);
    }
  }
  for (auto it = minions_.begin(); it != minions_.end();) {
    Minion& minion = it->second;
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    if (!minion.unlisted_since && !minion.Usable()) {
      minion.unlisted_since = now;
      minion.probe_sent.reset();
    }
    if (!minion.unlisted_since ||
        now - *minion.unlisted_since > kUnlistedRetention) {
      AddTimelineEntry(effects, "minion-gone", it->first, "",
                       "not in the host list any longer");
      it = minions_.erase(it);
    } else {
      ++it;
    }
  }
}

void MinionHealth::OnTable(const Table& table, Time now, Effects& effects) {
  drained_hosts_.clear();
  for (const auto& [id, row] : table.hosts) {
    if (row.maintenance == Maintenance::kDrain) {
      drained_hosts_.insert(id);
    }
  }
  for (auto& [id, minion] : minions_) {
    const bool drained = drained_hosts_.contains(minion.entry.host);
    if (drained && !minion.drained) {
      minion.drained = true;
      MarkLeaving(minion, "host/" + minion.entry.host.value(),
                  "table cell maintenance=drain", effects);
    } else if (!drained && minion.drained) {
      minion.drained = false;
      minion.clean_probes = 0;
      minion.next_probe = now;
    }
  }
}

void MinionHealth::OnNotice(const NodeId& from,
                            const MinionNotice& notice,
                            Time now,
                            Effects& effects) {
  Minion* minion = FindListed(notice.minion);
  if (minion == nullptr) {
    return;
  }
  if (notice.leaving) {
    minion->peer_reports[from] = now;
    MarkLeaving(*minion, NodeSubject(from), "a peer announced it as leaving",
                effects);
  } else {
    minion->peer_reports.erase(from);
  }
  if (!notice.healthy) {
    MarkOut(*minion, NodeSubject(from), "a peer's probes failed", effects);
  }
  if (!minion->Usable()) {
    // Probe at once: the peer's failures may be the fault of its own network,
    // and its notice of recovery does not prove that this node can reach the
    // minion.
    minion->next_probe = now;
  }
}

void MinionHealth::OnHeartbeat(const NodeId& from,
                               const std::vector<MinionId>& leaving,
                               Time now,
                               Effects& effects) {
  const std::set<MinionId> named(leaving.begin(), leaving.end());
  for (auto& [id, minion] : minions_) {
    if (!named.contains(id)) {
      minion.peer_reports.erase(from);
    } else if (!minion.unlisted_since) {
      minion.peer_reports[from] = now;
      MarkLeaving(minion, NodeSubject(from),
                  "a peer's heartbeat names it as leaving", effects);
    }
  }
}

void MinionHealth::OnProbe(const ProbeFinished& probe,
                           Time /*now*/,
                           Effects& effects) {
  Minion* minion = FindListed(probe.minion);
  if (minion == nullptr) {
    return;
  }
  const std::string cause = "probe/" + probe.minion.value();
  if (probe.leaving) {
    minion->saw_leaving = true;
    minion->clean_probes = 0;
    MarkLeaving(*minion, cause, "its own announcement", effects);
  }
  if (!minion->probe_sent) {
    // The probe timed out and was counted as failed.
    return;
  }
  minion->probe_sent.reset();
  if (!probe.ok) {
    RecordFailure(*minion, cause, effects);
    return;
  }
  minion->failures = 0;
  if (!probe.leaving) {
    ++minion->clean_probes;
    TryRecover(*minion, effects);
  }
}

void MinionHealth::OnAttempt(const MinionId& id,
                             AttemptResult result,
                             bool leaving,
                             Time /*now*/,
                             Effects& effects) {
  Minion* minion = FindListed(id);
  if (minion == nullptr) {
    return;
  }
  const std::string cause = "attempt/" + id.value();
  if (leaving) {
    minion->saw_leaving = true;
    minion->clean_probes = 0;
    MarkLeaving(*minion, cause, "its own announcement", effects);
  }
  switch (result) {
    case AttemptResult::kAnswered:
      minion->failures = 0;
      break;
    case AttemptResult::kRefused:
      // A minion that answers is healthy. A leaving minion refuses by design.
      minion->failures = 0;
      if (!leaving) {
        ++overruns_;
        AddTimelineEntry(effects, "minion-overrun", id, cause,
                         "refused: more than its " +
                             std::to_string(kSlotsPerMinion.value()) +
                             " slots were used");
      }
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kUnknown:
      RecordFailure(*minion, cause, effects);
      break;
  }
}

void MinionHealth::Advance(Time now,
                           const ProbesMinion& probes,
                           Effects& effects) {
  const bool paused = last_advance_ && now - *last_advance_ > kPauseThreshold;
  last_advance_ = now;
  for (auto& [id, minion] : minions_) {
    if (minion.unlisted_since) {
      continue;
    }
    std::erase_if(minion.peer_reports, [now](const auto& it) {
      return now - it.second > kPeerReportTtl;
    });
    if (paused) {
      minion.probe_sent.reset();
    } else if (minion.probe_sent && now - *minion.probe_sent >= kProbeTimeout) {
      minion.probe_sent.reset();
      RecordFailure(minion, "probe/" + id.value(), effects);
    }
    if (minion.probe_sent || now < minion.next_probe) {
      continue;
    }
    // Keeps the phase, so that probes delayed together by a pause are spread
    // again.
    minion.next_probe += kProbeInterval;
    if (minion.next_probe <= now) {
      const auto late = (now - minion.next_probe) / kProbeInterval + 1;
      minion.next_probe += late * kProbeInterval;
    }
    // Evaluated once per interval only: finding the owner of a unit costs a
    // hash per node.
    minion.is_prober = probes(id);
    const bool may_recover =
        !minion.Usable() && !minion.entry.leaving && !minion.drained;
    if (!minion.is_prober && !may_recover) {
      continue;
    }
    minion.probe_sent = now;
    effects.push_back(ProbeMinion{id, minion.entry.address});
  }
}

bool MinionHealth::Usable(const MinionId& minion) const {
  const auto it = minions_.find(minion);
  return it != minions_.end() && it->second.Usable();
}

const MinionEntry* MinionHealth::Find(const MinionId& minion) const {
  const auto it = minions_.find(minion);
  return it != minions_.end() && !it->second.unlisted_since ? &it->second.entry
                                                            : nullptr;
}

std::vector<MinionId> MinionHealth::LeavingMinions() const {
  std::vector<MinionId> ids;
  for (const auto& [id, minion] : minions_) {
    if (!minion.unlisted_since && minion.LocallyLeaving()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::string_view MinionHealth::StateName(const MinionId& minion) const {
  const auto it = minions_.find(minion);
  if (it == minions_.end() || it->second.unlisted_since) {
    return "";
  }
  if (it->second.leaving) {
    return "leaving";
  }
  return it->second.out ? "out" : "usable";
}

void MinionHealth::MarkLeaving(Minion& minion,
                               const std::string& cause,
                               const std::string& rule,
                               Effects& effects) {
  // A repeated report by a peer does not reset this node's probes: two nodes
  // that both saw the minion leaving would otherwise wait for each other
  // forever.
  if (!minion.leaving) {
    minion.leaving = true;
    minion.clean_probes = 0;
    AddTimelineEntry(effects, "minion-leaving", minion.entry.id, cause, rule);
  }
  // A node does not repeat what a peer has announced to all nodes; heartbeats
  // cover a lost notice.
  if (minion.LocallyLeaving() && !minion.leaving_announced &&
      minion.peer_reports.empty()) {
    minion.leaving_announced = true;
    Notify(minion, true, effects);
  }
}

void MinionHealth::MarkOut(Minion& minion,
                           const std::string& cause,
                           const std::string& rule,
                           Effects& effects) {
  minion.clean_probes = 0;
  if (minion.out) {
    return;
  }
  minion.out = true;
  AddTimelineEntry(effects, "minion-out", minion.entry.id, cause, rule);
}

void MinionHealth::RecordFailure(Minion& minion,
                                 const std::string& cause,
                                 Effects& effects) {
  minion.clean_probes = 0;
  ++minion.failures;
  if (minion.failures < kMaxFailures || minion.out) {
    return;
  }
  MarkOut(minion, cause,
          std::to_string(minion.failures) + " consecutive failures, limit " +
              std::to_string(kMaxFailures),
          effects);
  // Only the prober notifies peers: a node with a broken network would
  // otherwise take every minion of its data centre out of service.
  if (minion.is_prober) {
    Notify(minion, false, effects);
  }
}

void MinionHealth::TryRecover(Minion& minion, Effects& effects) {
  if (minion.clean_probes < kRecoveryProbes || minion.Usable()) {
    return;
  }
  if (minion.entry.leaving || minion.drained) {
    return;
  }
  minion.saw_leaving = false;
  const bool was_leaving_announced =
      std::exchange(minion.leaving_announced, false);
  if (minion.peer_reports.empty()) {
    minion.leaving = false;
    minion.out = false;
    AddTimelineEntry(effects, "minion-back", minion.entry.id,
                     "probe/" + minion.entry.id.value(),
                     std::to_string(minion.clean_probes) +
                         " successful probes, needs " +
                         std::to_string(kRecoveryProbes));
  }
  if (was_leaving_announced || (minion.is_prober && minion.Usable())) {
    Notify(minion, was_leaving_announced, effects);
  }
}

void MinionHealth::Notify(const Minion& minion,
                          bool all_data_centres,
                          Effects& effects) const {
  for (const PeerConfig& it : config_.peers) {
    if (all_data_centres || it.data_centre == config_.data_centre) {
      effects.push_back(SendPeer{
          it.id,
          MinionNotice{minion.entry.id, minion.LocallyLeaving(), !minion.out}});
    }
  }
}

MinionHealth::Minion* MinionHealth::FindListed(const MinionId& id) {
  const auto it = minions_.find(id);
  return it != minions_.end() && !it->second.unlisted_since ? &it->second
                                                            : nullptr;
}

}  // namespace baobab
