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

struct ControlPlaneOptions {
  int data_centres = 3;
  int nodes_per_data_centre = 3;
  int services = 5;
  int minions = 50;
  Duration message_delay{std::chrono::milliseconds(1)};
  Duration request_time{std::chrono::milliseconds(100)};
};

/** What a node sent and used since it started. */
struct NodeUsage {
  std::int64_t messages = 0;
  Bytes sent;
  /** Processor time of Reduce() in this node. */
  std::chrono::nanoseconds processor{0};
  std::int64_t events = 0;
};

/** Drives the reducers of several nodes with a paused clock, an in-memory log
 * and host list, and links that deliver in order or are cut. */
class ControlPlane {
 public:
  explicit ControlPlane(const ControlPlaneOptions& options);

  /** Advances the clock, delivering what is due. */
  void Run(Duration duration);

  /** Passes an event to a node at the present time. */
  void Post(int node, EventBody body);

  /** Replaces the process of a node: all its state is lost. */
  void Restart(int node);
  /** A cut node neither sends to nor hears its peers. */
  void SetCut(int node, bool cut) { nodes_.at(node).cut = cut; }
  /** A paused node gets no events; those meant for it wait. */
  void SetPaused(int node, bool paused) { nodes_.at(node).paused = paused; }
  void SetLogDown(bool down) { log_down_ = down; }
  /** Shows a minion as leaving in the host list. */
  void SetLeaving(const MinionId& minion, bool leaving);
  /** Lets a minion say in its answers that it leaves. */
  void SetSign(const MinionId& minion) { signs_.insert(minion); }

  /** Sends an edit of the whole table to a node; its answer comes by replies().
   */
  void SubmitTable(int node, CommandId command, const Table& table);

  int size() const { return static_cast<int>(nodes_.size()); }
  Time now() const { return now_; }
  const State& state(int node) const { return *nodes_.at(node).state; }
  const NodeUsage& usage(int node) const { return nodes_.at(node).usage; }
  const std::map<CommandId, CommandReply>& replies() const { return replies_; }
  std::size_t appends() const { return log_.size(); }
  /** All effects other than messages and explanations, with their node. */
  const std::vector<std::pair<int, Effect>>& effects() const {
    return effects_;
  }
  void ForgetEffects() { effects_.clear(); }
  const std::vector<TimelineEntry>& violations() const { return violations_; }

 private:
  struct Node {
    NodeConfig config;
    std::shared_ptr<State> state;
    NodeUsage usage;
    bool cut = false;
    bool paused = false;
    Time next_tick;
    Time next_read;
  };
  struct Pending {
    Time at;
    std::uint64_t order = 0;
    int node = 0;
    Incarnation incarnation;
    EventBody body;

    bool operator<(const Pending& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Step();
  void ReadLog(int node);
  void Reduce(int node, EventBody body);
  void Execute(int node, const Effect& effect);
  void Append(int node, const Record& record);
  void Send(int node, const SendPeer& message);
  void Later(int node, Duration delay, EventBody body);

  ControlPlaneOptions options_;
  Time now_{std::chrono::seconds(1000)};
  std::uint64_t order_ = 0;
  std::vector<Node> nodes_;
  std::map<NodeId, int> by_id_;
  std::priority_queue<Pending> pending_;
  std::vector<LogEntry> log_;
  bool log_down_ = false;
  HostList hosts_;
  std::set<MinionId> signs_;
  std::map<CommandId, CommandReply> replies_;
  std::vector<std::pair<int, Effect>> effects_;
  std::vector<TimelineEntry> violations_;
};

/** A table with this many queues, two a service, and hosts. */
Table MakeBenchTable(int services, int queues, int teams, int pools, int hosts);

}  // namespace baobab

#endif  // SRC_LIBBENCH_CONTROL_PLANE_H_
