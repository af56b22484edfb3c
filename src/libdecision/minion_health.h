#ifndef SRC_LIBDECISION_MINION_HEALTH_H_
#define SRC_LIBDECISION_MINION_HEALTH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/node_config.h"
#include "libtable/table.h"

namespace baobab {

/** Returns true if this node probes the minion in normal operation, which it
 * does as owner of its unit 0. */
using ProbesMinion = std::function<bool(const MinionId&)>;

/** Tracks which minions may get new requests. Any report that a minion is
 * leaving takes effect at once; recovery requires successful probes by this
 * node. */
class MinionHealth {
 public:
  /** Interval of the probes of one minion. */
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);
  /** Time after which a probe without a result counts as failed. */
  static constexpr Duration kProbeTimeout = std::chrono::seconds(2);
  /** Consecutive failures after which a minion is out of service. */
  static constexpr int kMaxFailures = 3;
  /** Consecutive successful probes after which a minion returns to service. */
  static constexpr int kRecoveryProbes = 2;
  /** Time for which a peer's report that a minion is leaving stays valid;
   * heartbeats between data centres repeat it every 10 s. */
  static constexpr Duration kPeerReportTtl = std::chrono::seconds(15);
  /** Retention of an unusable minion that was dropped from the host list, so
   * that dropping and listing it again does not make it usable. */
  static constexpr Duration kUnlistedRetention = std::chrono::minutes(10);
  /** Time between two calls of Advance() above which this process is assumed to
   * have been paused; open probes then say nothing about their minions. */
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);

  explicit MinionHealth(const NodeConfig& config);

  /** Applies a host list; minions may appear, leave or disappear. */
  void OnHostList(const HostList& list, Time now, Effects& effects);

  /** Marks the minions of hosts with the table cell maintenance=drain as
   * leaving. */
  void OnTable(const Table& table, Time now, Effects& effects);

  /** Handles a peer's notice about a minion. */
  void OnNotice(const NodeId& from,
                const MinionNotice& notice,
                Time now,
                Effects& effects);

  /** Handles the list of leaving minions in a peer's heartbeat. */
  void OnHeartbeat(const NodeId& from,
                   const std::vector<MinionId>& leaving,
                   Time now,
                   Effects& effects);

  /** Handles the result of a probe. */
  void OnProbe(const ProbeFinished& probe, Time now, Effects& effects);

  /** Handles the result of a request sent to the minion; `leaving` is set if
   * the answer announced that the minion is leaving. */
  void OnAttempt(const MinionId& minion,
                 AttemptResult result,
                 bool leaving,
                 Time now,
                 Effects& effects);

  /** Starts the probes that are due and fails those that timed out. Besides
   * those for which `probes` returns true, this node probes minions that it
   * holds unusable although host list and table allow them: a notice of
   * recovery may be lost, or only this node may have seen the failures. */
  void Advance(Time now, const ProbesMinion& probes, Effects& effects);

  /** Returns true if the minion is listed and may get new requests. */
  bool Usable(const MinionId& minion) const;

  /** Returns the entry of the host list, or null if there is none. */
  const MinionEntry* Find(const MinionId& minion) const;

  /** Returns the leaving minions to name in heartbeats: those for which this
   * node has evidence of its own. If nodes repeated reports of peers, two nodes
   * could confirm each other forever. */
  std::vector<MinionId> LeavingMinions() const;

  /** Returns "usable", "leaving" or "out"; empty if the minion is not in the
   * host list. */
  std::string_view StateName(const MinionId& minion) const;

  /** Number of attempts that minions refused because more than their slots were
   * in use. */
  std::uint64_t overruns() const { return overruns_; }

 private:
  /** Health state of one minion. */
  struct Minion {
    MinionEntry entry;
    /** Time at which the host list dropped the minion; empty while it is
     * listed. */
    std::optional<Time> unlisted_since;
    /** This node saw the minion announce that it is leaving. */
    bool saw_leaving = false;
    /** The table drains the minion's host. */
    bool drained = false;
    /** Peers that report the minion as leaving, with the time of the latest
     * report. */
    std::map<NodeId, Time> peer_reports;
    /** Unusable, since a source reported the minion as leaving. */
    bool leaving = false;
    /** Unusable because of consecutive failures. */
    bool out = false;
    /** This node sent notices that the minion is leaving. */
    bool leaving_announced = false;
    /** This node probes the minion in normal operation. */
    bool is_prober = false;
    /** Consecutive failures of probes and attempts. */
    int failures = 0;
    /** Consecutive successful probes that showed no sign of leaving. */
    int clean_probes = 0;
    Time next_probe;
    /** Start of the open probe; empty if there is none. */
    std::optional<Time> probe_sent;

    /** True if this node itself has evidence that the minion is leaving. */
    bool LocallyLeaving() const {
      return saw_leaving || drained || entry.leaving;
    }
    bool Usable() const { return !unlisted_since && !leaving && !out; }
  };

  /** Marks the minion as leaving and notifies the peers if needed. */
  void MarkLeaving(Minion& minion,
                   const std::string& cause,
                   const std::string& rule,
                   Effects& effects);
  /** Takes the minion out of service. */
  void MarkOut(Minion& minion,
               const std::string& cause,
               const std::string& rule,
               Effects& effects);
  /** Counts a failure; at kMaxFailures, takes the minion out of service. */
  void RecordFailure(Minion& minion,
                     const std::string& cause,
                     Effects& effects);
  /** After kRecoveryProbes successful probes, withdraws this node's report that
   * the minion is leaving, and returns the minion to service unless a peer
   * still reports it. */
  void TryRecover(Minion& minion, Effects& effects);
  /** Sends a notice to the peers of all data centres, or only of this one. */
  void Notify(const Minion& minion,
              bool all_data_centres,
              Effects& effects) const;
  /** Returns the minion if it is in the host list, otherwise null. */
  Minion* FindListed(const MinionId& id);

  NodeConfig config_;
  std::map<MinionId, Minion> minions_;
  /** Hosts with the table cell maintenance=drain. */
  std::set<HostId> drained_hosts_;
  std::optional<Time> last_advance_;
  std::uint64_t overruns_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_MINION_HEALTH_H_
