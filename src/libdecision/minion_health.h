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

/** True if this node probes the minion in normal service: it owns unit 0. */
using ProbesMinion = std::function<bool(const MinionId&)>;

/** Which minions may get new work. Signs of leaving are believed at once, from
 * whoever they come; recovery needs this node's own probes. */
class MinionHealth {
 public:
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);
  /** A probe without a result counts as failed after this time. */
  static constexpr Duration kProbeTimeout = std::chrono::seconds(2);
  /** Consecutive failures that put a minion out of service. */
  static constexpr int kMaxFailures = 3;
  /** Consecutive successful probes that bring a minion back. */
  static constexpr int kRecoveryProbes = 2;
  /** A peer's word that a minion is leaving counts for this long after the
   * last one; heartbeats between data centres repeat it every 10 s. */
  static constexpr Duration kPeerReportTtl = std::chrono::seconds(15);
  /** For how long a minion that left in a bad state is remembered, so that a
   * host list which drops and shows it again does not make it usable. */
  static constexpr Duration kUnlistedRetention = std::chrono::minutes(10);
  /** A longer time between two calls of Advance() means that this process was
   * paused; open probes then say nothing about their minions. */
  static constexpr Duration kPauseThreshold = std::chrono::seconds(1);

  explicit MinionHealth(const NodeConfig& config);

  void OnHostList(const HostList& list, Time now, Effects& effects);

  /** Takes over the table's cells maintenance=drain. */
  void OnTable(const Table& table, Time now, Effects& effects);

  void OnNotice(const NodeId& from,
                const MinionNotice& notice,
                Time now,
                Effects& effects);

  /** The minions a peer's heartbeat names as leaving. */
  void OnHeartbeat(const NodeId& from,
                   const std::vector<MinionId>& leaving,
                   Time now,
                   Effects& effects);

  void OnProbe(const ProbeFinished& probe, Time now, Effects& effects);

  /** The result of a call of the minion. */
  void OnAttempt(const MinionId& minion,
                 AttemptResult result,
                 bool leaving,
                 Time now,
                 Effects& effects);

  /** Starts the probes that are due and fails those without a result. Besides
   * those for which `probes` is true, this node probes minions that it holds
   * unusable though host list and table allow them: a notice of recovery may
   * be lost, or the failures may have been seen here only. */
  void Advance(Time now, const ProbesMinion& probes, Effects& effects);

  /** False also for a minion that the host list does not have. */
  bool Usable(const MinionId& minion) const;

  /** The host list's entry; null if it has none. */
  const MinionEntry* Find(const MinionId& minion) const;

  /** Leaving minions to name in heartbeats: those of which this node itself
   * saw a sign. Naming hearsay would let two nodes confirm each other for
   * ever. */
  std::vector<MinionId> Leaving() const;

  /** "usable", "leaving" or "out"; empty if not in the host list. */
  std::string_view StateName(const MinionId& minion) const;

  /** Attempts refused by minions: more than their slots were used. */
  std::uint64_t overruns() const { return overruns_; }

 private:
  struct Minion {
    MinionEntry entry;
    /** Set if the host list does not have it any more. */
    std::optional<Time> unlisted_since;
    /** This node saw the minion's own sign of leaving. */
    bool saw_leaving = false;
    bool drained = false;
    /** Peers that call it leaving, with the time of the latest word. */
    std::map<NodeId, Time> peer_reports;
    bool leaving = false;
    bool out = false;
    /** This node sent notices of leaving. */
    bool leaving_announced = false;
    /** This node probes it in normal service. */
    bool is_prober = false;
    int failures = 0;
    int clean_probes = 0;
    Time next_probe;
    std::optional<Time> probe_sent;

    bool LocallyLeaving() const {
      return saw_leaving || drained || entry.leaving;
    }
    bool Usable() const { return !unlisted_since && !leaving && !out; }
  };

  void MarkLeaving(Minion& minion,
                   const std::string& cause,
                   const std::string& rule,
                   Effects& effects);
  void MarkOut(Minion& minion,
               const std::string& cause,
               const std::string& rule,
               Effects& effects);
  void RecordFailure(Minion& minion,
                     const std::string& cause,
                     Effects& effects);
  /** With enough proof, takes this node's own word of leaving back, and brings
   * the minion back if no peer's word stands against it. */
  void TryRecover(Minion& minion, Effects& effects);
  void Notify(const Minion& minion,
              bool all_data_centres,
              Effects& effects) const;
  Minion* FindListed(const MinionId& id);

  NodeConfig config_;
  std::map<MinionId, Minion> minions_;
  std::set<HostId> drained_hosts_;
  std::optional<Time> last_advance_;
  std::uint64_t overruns_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_MINION_HEALTH_H_
