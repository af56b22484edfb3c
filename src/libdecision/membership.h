#ifndef SRC_LIBDECISION_MEMBERSHIP_H_
#define SRC_LIBDECISION_MEMBERSHIP_H_

#include <map>
#include <set>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/fold_state.h"
#include "libdecision/node_config.h"

namespace baobab {

/** Interval of heartbeats to nodes of the own data centre. */
inline constexpr Duration kNearHeartbeatInterval = std::chrono::seconds(1);
/** Interval of heartbeats to nodes of other data centres. */
inline constexpr Duration kFarHeartbeatInterval = std::chrono::seconds(10);
/** Silence after which a node of the own data centre is considered dead. */
inline constexpr Duration kNearSilenceTimeout = std::chrono::seconds(15);
/** Silence after which a node of another data centre is considered dead; allows
 * for two lost heartbeats. */
inline constexpr Duration kFarSilenceTimeout = std::chrono::seconds(25);
/** Time after a read of the log during which a node is confirmed by it. */
inline constexpr Duration kMaxLogReadAge = std::chrono::seconds(10);

/** Maximum time between two ticks, which come every 50 ms. A longer gap means
 * that the process was paused and its view of log and peers is outdated. */
inline constexpr Duration kMaxTickGap = std::chrono::seconds(1);

/** Status of this node that its heartbeats report; see Heartbeat. */
struct LocalStatus {
  ViewNumber view;
  ViewNumber released_view;
  Offset next_offset;
  TableVersion version;
  bool stopping = false;
  std::vector<ServiceLoad> loads;
  std::vector<MinionId> leaving;
};

/** State of a peer by its last heartbeat. */
struct PeerState {
  DataCentreId data_centre;
  Incarnation incarnation;
  /** Time of its last heartbeat. */
  Time heard_at;
  /** Start of its silence: heard_at plus any pauses of this node since. */
  Time silent_since;
  /** Time of the first heartbeat of its current incarnation. */
  Time known_since;
  /** The connection broke after the last heartbeat. */
  bool link_lost = false;
  Heartbeat last;
};

/** Result of a received heartbeat. Those of an old incarnation are dropped. */
enum class HeartbeatOutcome {
  kAccepted,
  kNewPeer,
  kRestarted,
  kOldIncarnation
};

/** Sends heartbeats and tracks which peers are alive. */
class Membership {
 public:
  Membership(const NodeConfig& config, Time now);

  /** Stores a heartbeat of a peer, unless it is of an older incarnation. */
  HeartbeatOutcome OnHeartbeat(const NodeId& from,
                               Incarnation incarnation,
                               const Heartbeat& heartbeat,
                               Time now);

  /** Called when the connection to a peer broke. */
  void OnPeerLost(const NodeId& peer);

  /** Called for each successful read of the log. */
  void OnLogRead(Time now);

  /** Sends the heartbeats that are due. Sends to all peers at once if the table
   * version rose or this node began to stop. */
  void Tick(Time now, const LocalStatus& local, Effects& effects);

  /** Sends the last heartbeat to all peers before this node exits. */
  void SendFinal(Time now, const LocalStatus& local, Effects& effects);

  /** Returns whether this node is confirmed, i.e. may use its capacity units:
   * it read the log within 10 s, or at least half of the other view nodes in
   * its data centre (if there are none, of all other view nodes) report it in
   * Heartbeat::hears. Peers with a newer view do not count. The only node of a
   * view needs the log, unless no peers are configured. */
  bool Confirmed(Time now, const View& view) const;

  /** Returns whether the log was read within kMaxLogReadAge. */
  bool IsLogFresh(Time now) const;

  /** Returns whether the peer sent a heartbeat within the silence timeout:
   * 15 s, in other data centres 25 s. */
  bool IsAlive(const NodeId& peer, Time now) const;

  /** Returns the other view nodes that have not reported this table version or
   * a later one. */
  std::vector<NodeId> NodesBehind(TableVersion version, const View& view) const;

  /** Returns whether the node reported that it released all units that it lost
   * up to this view. */
  bool HasReleased(const NodeId& node, ViewNumber view) const;

  /** Returns the minions that live peers report as leaving. */
  std::set<MinionId> LeavingMinions(Time now) const;

  /** All peers that ever sent a heartbeat, by id. */
  const std::map<NodeId, PeerState>& peers() const { return peers_; }

  const NodeConfig& config() const { return config_; }

 private:
  /** Excludes a pause of this node from the silence of its peers: it received
   * nothing then, whether they were alive or not. */
  void AdjustForPause(Time now);
  Heartbeat MakeHeartbeat(Time now,
                          const LocalStatus& local,
                          const NodeId& to) const;
  /** Returns whether this is the data centre of this node. */
  bool IsSameDataCentre(const DataCentreId& data_centre) const;
  /** Returns whether the last heartbeat of the peer is at most two intervals
   * old and reports this node in Heartbeat::hears. */
  bool ConfirmsSelf(const NodeId& peer, Time now, ViewNumber view) const;

  NodeConfig config_;
  /** Peers that get heartbeats. */
  std::map<NodeId, DataCentreId> targets_;
  /** Offset of the heartbeats to each peer, which spreads those of all pairs
   * of nodes over the interval. */
  std::map<NodeId, Time> phase_;
  std::map<NodeId, Time> next_heartbeat_at_;
  std::map<NodeId, PeerState> peers_;
  Time log_read_at_;
  bool log_ever_read_ = false;
  Time last_tick_;
  /** Table version and stop flag in the last heartbeats. */
  TableVersion sent_version_;
  bool sent_stopping_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_MEMBERSHIP_H_
