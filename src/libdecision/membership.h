#ifndef SRC_LIBDECISION_MEMBERSHIP_H_
#define SRC_LIBDECISION_MEMBERSHIP_H_

#include <map>
#include <set>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/fold_state.h"
#include "libdecision/node_config.h"

namespace baobab {

inline constexpr Duration kNearHeartbeatInterval = std::chrono::seconds(1);
inline constexpr Duration kFarHeartbeatInterval = std::chrono::seconds(10);
/** Silence after which a node of the own data centre counts as not heard. */
inline constexpr Duration kNearSilenceTimeout = std::chrono::seconds(15);
/** The same for other data centres: two heartbeats may be lost. */
inline constexpr Duration kFarSilenceTimeout = std::chrono::seconds(25);
/** A node counts as confirmed for this long after it read the log. */
inline constexpr Duration kMaxLogReadAge = std::chrono::seconds(10);

/** The shell ticks every 50 ms; a longer gap means that the process was paused
 * and its picture of log and peers is old. */
inline constexpr Duration kMaxTickGap = std::chrono::seconds(1);

/** What this node reports of itself in heartbeats. */
struct LocalStatus {
  ViewNumber view;
  ViewNumber released_view;
  Offset next_offset;
  TableVersion version;
  bool stopping = false;
  std::vector<ServiceLoad> loads;
  std::vector<MinionId> leaving;
};

/** What a peer last said. */
struct PeerState {
  DataCentreId data_centre;
  Incarnation incarnation;
  Time heard_at;
  /** Start of its silence; later than heard_at if this node was paused. */
  Time silent_since;
  /** When this process of the peer was first heard. */
  Time known_since;
  /** The link broke after the last heartbeat. */
  bool link_lost = false;
  Heartbeat last;
};

enum class HeartbeatOutcome {
  kAccepted,
  kNewPeer,
  kRestarted,
  kOldIncarnation
};

/** Peers heard, and heartbeats to them. */
class Membership {
 public:
  Membership(const NodeConfig& config, Time now);

  /** Takes a peer's heartbeat; one of an older process is dropped. */
  HeartbeatOutcome OnHeartbeat(const NodeId& from,
                               Incarnation incarnation,
                               const Heartbeat& heartbeat,
                               Time now);

  void OnPeerLost(const NodeId& peer);

  /** Call for each successful read of the log. */
  void OnLogRead(Time now);

  /** Sends due heartbeats; to all at once if the version rose or the node
   * began to stop. */
  void Tick(Time now, const LocalStatus& local, Effects& effects);

  /** The last heartbeat of a node that exits. */
  void SendFinal(Time now, const LocalStatus& local, Effects& effects);

  /** True if this node may use its units: it read the log within 10 s, or at
   * least half of the other view nodes of its data centre (of all, if there
   * are none) say that they hear it. Peers with a newer view do not count. A
   * node that is alone in the view needs the log unless no peer is configured.
   */
  bool Confirmed(Time now, const View& view) const;

  bool IsLogFresh(Time now) const;

  /** The peer was heard lately: 15 s, in other data centres 25 s. */
  bool IsAlive(const NodeId& peer, Time now) const;

  /** View nodes other than this that did not report this version. */
  std::vector<NodeId> NodesBehind(TableVersion version, const View& view) const;

  /** The node said that it released all units it lost in this or an earlier
   * view. */
  bool HasReleased(const NodeId& node, ViewNumber view) const;

  /** Minions that peers heard lately report as leaving. */
  std::set<MinionId> LeavingMinions(Time now) const;

  /** All peers ever heard, by id. */
  const std::map<NodeId, PeerState>& peers() const { return peers_; }

  const NodeConfig& config() const { return config_; }

 private:
  /** A paused node heard nobody, which says nothing about its peers. */
  void AdjustForPause(Time now);
  Heartbeat MakeHeartbeat(Time now,
                          const LocalStatus& local,
                          const NodeId& to) const;
  bool IsSameDataCentre(const DataCentreId& data_centre) const;
  /** The peer said within two of its heartbeats that it hears this node. */
  bool ConfirmsSelf(const NodeId& peer, Time now, ViewNumber view) const;

  NodeConfig config_;
  std::map<NodeId, DataCentreId> targets_;
  /** Spreads the heartbeats of all pairs over the interval. */
  std::map<NodeId, Time> phase_;
  std::map<NodeId, Time> next_heartbeat_at_;
  std::map<NodeId, PeerState> peers_;
  Time log_read_at_;
  bool log_ever_read_ = false;
  Time last_tick_;
  TableVersion sent_version_;
  bool sent_stopping_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_MEMBERSHIP_H_
