#include "libdecision/minion_health.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** FNV-1a: the same on every platform, as the order of events must be. */
std::uint64_t Hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char it : text) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
  }
  return hash;
}

/** Spreads the probes of all minions and nodes over the interval. */
Duration ProbePhase(const NodeId& node, const MinionId& minion) {
  return Duration(static_cast<Duration::rep>(
      Hash(node.value() + "/" + minion.value()) %
      static_cast<std::uint64_t>(MinionHealth::kProbeInterval.count())));
}

void Note(Effects& effects,
          std::string kind,
          const MinionId& minion,
          std::string cause,
          std::string detail) {
  effects.push_back(
      WriteTimelineEntry{{std::move(kind), "minion/" + minion.value(),
                          std::move(cause), std::move(detail)}});
}

std::string From(const NodeId& node) {
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
        minion.entry.leaving || minion.unlisted.has_value();
    // Of two entries with the same id, either may say that it is leaving.
    const bool leaving = it.leaving || (!first && minion.entry.leaving);
    minion.entry = it;
    minion.entry.leaving = leaving;
    minion.unlisted.reset();
    minion.drained = drained_hosts_.contains(it.host);
    if (added) {
      minion.next_probe = now + ProbePhase(config_.id, it.id);
    }
    if (leaving) {
      MarkLeaving(minion, "host/" + it.host.value(),
                  "the host list shows it as leaving", effects);
    } else if (was_leaving && !added) {
      // Proof counts only from the time at which the list shows it as live.
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
    if (!minion.unlisted && !minion.Usable()) {
      minion.unlisted = now;
      minion.probe_sent.reset();
    }
    if (!minion.unlisted || now - *minion.unlisted > kMemory) {
      Note(effects, "minion-gone", it->first, "",
           "not in the host list any more");
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
    minion->heard[from] = now;
    MarkLeaving(*minion, From(from), "a peer announced it as leaving", effects);
  } else {
    minion->heard.erase(from);
  }
  if (!notice.healthy) {
    MarkOut(*minion, From(from), "a peer's probes failed", effects);
  }
  if (!minion->Usable()) {
    // Own proof starts at once: what the peer saw may be the fault of its own
    // network, and its word of recovery is no proof here.
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
      minion.heard.erase(from);
    } else if (!minion.unlisted) {
      minion.heard[from] = now;
      MarkLeaving(minion, From(from), "a peer's heartbeat names it as leaving",
                  effects);
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
    minion->sign = true;
    minion->clean_probes = 0;
    MarkLeaving(*minion, cause, "its own sign", effects);
  }
  if (!minion->probe_sent) {
    // The probe has been counted as failed already.
    return;
  }
  minion->probe_sent.reset();
  if (!probe.ok) {
    Fail(*minion, cause, effects);
    return;
  }
  minion->failures = 0;
  if (!probe.leaving) {
    ++minion->clean_probes;
    Recover(*minion, effects);
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
    minion->sign = true;
    minion->clean_probes = 0;
    MarkLeaving(*minion, cause, "its own sign", effects);
  }
  switch (result) {
    case AttemptResult::kAnswered:
      minion->failures = 0;
      break;
    case AttemptResult::kRefused:
      // It answers, so it is healthy. A leaving minion refuses by design.
      minion->failures = 0;
      if (!leaving) {
        ++overruns_;
        Note(effects, "minion-overrun", id, cause,
             "refused: more than its " +
                 std::to_string(kSlotsPerMinion.value()) + " slots were used");
      }
      break;
    case AttemptResult::kNotSent:
    case AttemptResult::kUnknown:
      Fail(*minion, cause, effects);
      break;
  }
}

void MinionHealth::Advance(Time now,
                           const ProbesMinion& probes,
                           Effects& effects) {
  const bool paused = last_advance_ && now - *last_advance_ > kPause;
  last_advance_ = now;
  for (auto& [id, minion] : minions_) {
    if (minion.unlisted) {
      continue;
    }
    std::erase_if(minion.heard,
                  [now](const auto& it) { return now - it.second > kHearsay; });
    if (paused) {
      minion.probe_sent.reset();
    } else if (minion.probe_sent && now - *minion.probe_sent >= kProbeTimeout) {
      minion.probe_sent.reset();
      Fail(minion, "probe/" + id.value(), effects);
    }
    if (minion.probe_sent || now < minion.next_probe) {
      continue;
    }
    // Keeps the phase, so that minions which were delayed together by a pause
    // are spread again.
    minion.next_probe += kProbeInterval;
    if (minion.next_probe <= now) {
      const auto late = (now - minion.next_probe) / kProbeInterval + 1;
      minion.next_probe += late * kProbeInterval;
    }
    // Asked once per interval: the owner of a unit costs a hash per node.
    minion.prober = probes(id);
    const bool may_recover =
        !minion.Usable() && !minion.entry.leaving && !minion.drained;
    if (!minion.prober && !may_recover) {
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
  return it != minions_.end() && !it->second.unlisted ? &it->second.entry
                                                      : nullptr;
}

std::vector<MinionId> MinionHealth::Leaving() const {
  std::vector<MinionId> ids;
  for (const auto& [id, minion] : minions_) {
    if (!minion.unlisted && minion.FirstHand()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::string_view MinionHealth::StateName(const MinionId& minion) const {
  const auto it = minions_.find(minion);
  if (it == minions_.end() || it->second.unlisted) {
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
  // Repeated hearsay does not undo own proof: two nodes which both saw a sign
  // would otherwise wait for each other for ever.
  if (!minion.leaving) {
    minion.leaving = true;
    minion.clean_probes = 0;
    Note(effects, "minion-leaving", minion.entry.id, cause, rule);
  }
  // Nobody repeats what a peer has announced to all nodes; heartbeats cover
  // the case that its notice was lost.
  if (minion.FirstHand() && !minion.announced && minion.heard.empty()) {
    minion.announced = true;
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
  Note(effects, "minion-out", minion.entry.id, cause, rule);
}

void MinionHealth::Fail(Minion& minion,
                        const std::string& cause,
                        Effects& effects) {
  minion.clean_probes = 0;
  ++minion.failures;
  if (minion.failures < kFailuresToOut || minion.out) {
    return;
  }
  MarkOut(minion, cause,
          std::to_string(minion.failures) + " consecutive failures, limit " +
              std::to_string(kFailuresToOut),
          effects);
  // Only the prober tells others: a node with a broken network would otherwise
  // take every minion from its whole data centre.
  if (minion.prober) {
    Notify(minion, false, effects);
  }
}

void MinionHealth::Recover(Minion& minion, Effects& effects) {
  if (minion.clean_probes < kProbesToBack || minion.Usable()) {
    return;
  }
  if (minion.entry.leaving || minion.drained) {
    return;
  }
  minion.sign = false;
  const bool was_announced = std::exchange(minion.announced, false);
  if (minion.heard.empty()) {
    minion.leaving = false;
    minion.out = false;
    Note(effects, "minion-back", minion.entry.id,
         "probe/" + minion.entry.id.value(),
         std::to_string(minion.clean_probes) + " successful probes, needs " +
             std::to_string(kProbesToBack));
  }
  if (was_announced || (minion.prober && minion.Usable())) {
    Notify(minion, was_announced, effects);
  }
}

void MinionHealth::Notify(const Minion& minion,
                          bool all,
                          Effects& effects) const {
  for (const PeerConfig& it : config_.peers) {
    if (all || it.data_centre == config_.data_centre) {
      effects.push_back(SendPeer{
          it.id,
          MinionNotice{minion.entry.id, minion.FirstHand(), !minion.out}});
    }
  }
}

MinionHealth::Minion* MinionHealth::FindListed(const MinionId& id) {
  const auto it = minions_.find(id);
  return it != minions_.end() && !it->second.unlisted ? &it->second : nullptr;
}

}  // namespace baobab
