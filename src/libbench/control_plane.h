#ifndef SRC_LIBBENCH_CONTROL_PLANE_H_
#define SRC_LIBBENCH_CONTROL_PLANE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "libdecision/decision.h"
#include "libdecision/state.h"

namespace baobab {

/** Size and delays of a simulated control plane. */
struct ControlPlaneOptions {
  int data_centres = 3;
  int nodes_per_data_centre = 3;
  int services = 5;
  int minions = 50;
  /** Delay of peer messages, probes and log appends. */
  Duration message_delay{std::chrono::milliseconds(1)};
  /** Time from the start of an attempt to its response. */
  Duration request_run_time{std::chrono::milliseconds(100)};
};

/** Peer traffic and CPU time of a node since the start of the simulation. */
struct NodeUsage {
  /** Peer messages sent. */
  std::int64_t messages = 0;
  /** Size of these messages with their framing. */
  Bytes sent;
  /** CPU time that Reduce() took in this node. */
  std::chrono::nanoseconds processor_time{0};
  /** Events passed to the reducer. */
  std::int64_t events = 0;
};

/**
 * Simulates a control plane in one thread: runs the reducers of several nodes
 * with a simulated clock, an in-memory log and host list, and links that
 * deliver messages in order unless they are cut.
 */
class ControlPlane {
 public:
  explicit ControlPlane(const ControlPlaneOptions& options);

  /** Advances the clock by `duration` and delivers all events that are due. */
  void Run(Duration duration);

  /** Queues an event for a node, due at the current time. */
  void Post(int node, EventBody body);

  /** Restarts a node with a new incarnation; all its state is lost. */
  void Restart(int node);
  /** Cuts or restores all links between a node and its peers. */
  void SetPartitioned(int node, bool partitioned) {
    nodes_.at(node).partitioned = partitioned;
  }
  /** Pauses or resumes a node; events for a paused node are held back. */
  void SetPaused(int node, bool paused) { nodes_.at(node).paused = paused; }
  /** Switches an outage of the log service on or off. */
  void SetLogDown(bool down) { log_down_ = down; }
  /** Marks a minion as leaving, or not, in the host list. */
  void SetLeaving(const MinionId& minion, bool leaving);
  /** Makes a minion report in its probe responses that it is leaving. */
  void SignalLeaving(const MinionId& minion) {
    leaving_minions_.insert(minion);
  }

  /** Submits an edit that replaces the whole table; the node's reply appears in
   * replies(). */
  void SubmitTable(int node, CommandId command, const Table& table);

  int size() const { return static_cast<int>(nodes_.size()); }
  Time now() const { return now_; }
  const State& state(int node) const { return *nodes_.at(node).state; }
  const NodeUsage& usage(int node) const { return nodes_.at(node).usage; }
  const std::map<CommandId, CommandReply>& replies() const { return replies_; }
  /** Number of records in the log. */
  std::size_t appends() const { return log_.size(); }
  /** Nodes and their effects, except peer messages and timeline entries. */
  const std::vector<std::pair<int, Effect>>& effects() const {
    return effects_;
  }
  void ClearEffects() { effects_.clear(); }
  /** Timeline entries about violated invariants. */
  const std::vector<TimelineEntry>& violations() const { return violations_; }

 private:
  struct Node {
    NodeConfig config;
    std::shared_ptr<State> state;
    NodeUsage usage;
    bool partitioned = false;
    bool paused = false;
    Time next_tick;
    Time next_read;
  };
  /** An event that waits for its time; dropped if the node has restarted. */
  struct PendingEvent {
    Time at;
    std::uint64_t order = 0;
    int node = 0;
    Incarnation incarnation;
    EventBody body;

    bool operator<(const PendingEvent& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Step();
  /** Passes new log records, or a read failure, to the node's reducer. */
  void ReadLog(int node);
  void Reduce(int node, EventBody body);
  void Execute(int node, const Effect& effect);
  void Append(int node, const Record& record);
  void Send(int node, const SendPeer& message);
  void PostLater(int node, Duration delay, EventBody body);

  ControlPlaneOptions options_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t order_ = 0;
  std::vector<Node> nodes_;
  std::map<NodeId, int> index_by_id_;
  std::priority_queue<PendingEvent> pending_events_;
  std::vector<LogEntry> log_;
  bool log_down_ = false;
  HostList hosts_;
  std::set<MinionId> leaving_minions_;
  std::map<CommandId, CommandReply> replies_;
  std::vector<std::pair<int, Effect>> effects_;
  std::vector<TimelineEntry> violations_;
};

/** Creates a table of the given size. Queues are assigned to services in turn;
 * the first queue of each service is urgent. */
Table MakeBenchTable(int services, int queues, int teams, int pools, int hosts);

}  // namespace baobab

#endif  // SRC_LIBBENCH_CONTROL_PLANE_H_
