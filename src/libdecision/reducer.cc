#include "libdecision/reducer.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "libdecision/rendezvous.h"
#include "libdecision/state.h"

namespace baobab {

namespace {

/** Passes one event to the members of State that handle it. */
class Reducer {
 public:
  Reducer(State& state, const Event& event)
      : state_(state), now_(event.at), wall_ms_(event.wall_ms) {}

  Effects Run(const EventBody& body) {
    std::visit([this](const auto& it) { On(it); }, body);
    Advance();
    return std::move(effects_);
  }

 private:
  void On(const Tick&) {
    state_.fetch.Tick(now_, state_.fold, state_.membership, effects_);
    state_.membership.Tick(now_, MakeLocalStatus(), effects_);
    state_.minions.Advance(
        now_, [this](const MinionId& it) { return IsProber(it); }, effects_);
    state_.scheduler.Tick(now_);
    state_.commands.Tick(now_, state_.fold, state_.membership, state_.writer,
                         effects_);
    state_.planner.Tick(now_, wall_ms_, state_.fold, state_.membership,
                        state_.writer, effects_);
    state_.writer.Tick(now_, state_.fold, effects_);
  }

  void On(const RequestArrived& event) {
    state_.requests.SetConfirmed(Confirmed());
    state_.requests.OnArrived(event, now_, effects_);
  }
  void On(const RequestAbandoned& event) {
    state_.requests.OnAbandoned(event, now_, effects_);
  }
  void On(const KeyRequested& event) {
    state_.requests.OnKeyRequested(event, now_, effects_);
  }
  void On(const AttemptFinished& event) {
    state_.requests.OnAttemptFinished(event, now_, effects_);
  }
  void On(const ProbeFinished& event) {
    state_.minions.OnProbe(event, now_, effects_);
  }

  void On(const HostListRead& event) {
    state_.minions.OnHostList(event.list, now_, effects_);
    state_.scheduler.SetMinions(event.list.minions, now_);
    state_.planner.OnHostList(event.list);
  }

  void On(const LogRead& event) {
    state_.membership.OnLogRead(now_);
    state_.fetch.OnLogRead();
    state_.reading.OnRead(
        event, state_.fold,
        [this](const LogEntry& entry, const FoldResult& result) {
          // The initial replay of the log is not reported.
          if (state_.fold.caught_up()) {
            ReportFoldResult(entry, result, effects_);
          }
          state_.planner.OnFolded(entry, result, now_);
          // The scheduler has to see every view: after a skipped one it waits
          // as if the owners in between were unknown.
          if (std::holds_alternative<ViewChange>(entry.record.body)) {
            PublishFold();
          }
        });
    PublishFold();
  }
  void On(const LogReadFailed&) {
    state_.fetch.OnLogReadFailed();
    state_.planner.OnLogReadFailed(now_);
  }
  void On(const AppendFinished& event) {
    state_.writer.OnFinished(event, now_, effects_);
  }

  void On(const PeerMessageReceived& event) {
    const PeerEnvelope& envelope = event.envelope;
    const auto& peers = state_.membership.peers();
    const auto it = peers.find(envelope.from);
    if (!IsConfigured(envelope.from) ||
        (it != peers.end() && envelope.incarnation < it->second.incarnation)) {
      effects_.push_back(WriteTimelineEntry{
          {"peer-message-dropped", "node/" + envelope.from.value(), "",
           "the sender is not configured, or is an older process"}});
      return;
    }
    std::visit([&](const auto& message) { OnPeer(envelope, message); },
               envelope.message);
  }
  void On(const PeerLost& event) { state_.membership.OnPeerLost(event.peer); }

  void On(const EditSubmitted& event) {
    state_.commands.OnEdit(event, now_, wall_ms_, state_.fold, state_.writer,
                           effects_);
    state_.writer.Tick(now_, state_.fold, effects_);
  }
  void On(const TableRequested& event) {
    state_.commands.OnTable(event, state_.fold, effects_);
  }
  void On(const HistoryRequested& event) {
    state_.commands.OnHistory(event, state_.fold, effects_);
  }
  void On(const StatusRequested& event) {
    effects_.push_back(AnswerCommand{event.command, MakeStatus(state_, now_)});
  }
  void On(const StopRequested&) {
    state_.requests.OnStop(now_, effects_);
    state_.planner.Stop();
    state_.scheduler.ReturnAll(now_);
  }

  void OnPeer(const PeerEnvelope& envelope, const Heartbeat& message) {
    const HeartbeatOutcome outcome = state_.membership.OnHeartbeat(
        envelope.from, envelope.incarnation, message, now_);
    if (outcome == HeartbeatOutcome::kOldIncarnation) {
      return;
    }
    state_.fold.NotePeerOffset(message.next_offset);
    state_.scheduler.SetPeerLoads(envelope.from, message.loads);
    state_.minions.OnHeartbeat(envelope.from, message.leaving, now_, effects_);
    PublishFold();
  }
  void OnPeer(const PeerEnvelope& envelope, const BorrowRequest& message) {
    state_.scheduler.OnBorrow(envelope.from, envelope.incarnation, message,
                              now_);
  }
  void OnPeer(const PeerEnvelope& envelope, const LoanGrant& message) {
    state_.scheduler.OnGrant(envelope.from, envelope.incarnation, message,
                             now_);
  }
  void OnPeer(const PeerEnvelope& envelope, const LoanReturn& message) {
    state_.scheduler.OnReturn(envelope.from, envelope.incarnation, message,
                              now_);
  }
  void OnPeer(const PeerEnvelope& envelope, const KeyClaim& message) {
    state_.keys.OnClaim(envelope.from, envelope.incarnation, message, now_,
                        effects_);
  }
  void OnPeer(const PeerEnvelope& envelope, const KeyClaimReply& message) {
    state_.requests.OnKeyReply(envelope.from, envelope.incarnation, message,
                               now_, effects_);
  }
  void OnPeer(const PeerEnvelope& envelope, const KeyOutcome& message) {
    state_.keys.OnOutcome(envelope.from, envelope.incarnation, message, now_,
                          effects_);
  }
  void OnPeer(const PeerEnvelope& envelope, const MinionNotice& message) {
    state_.minions.OnNotice(envelope.from, message, now_, effects_);
  }
  void OnPeer(const PeerEnvelope& envelope, const StateRequest&) {
    StateFetch::OnRequest(envelope.from, state_.fold, effects_);
  }
  void OnPeer(const PeerEnvelope& envelope, const StateReply& message) {
    state_.fetch.OnReply(envelope.from, message, now_, state_.membership,
                         state_.fold, effects_);
    state_.reading.OnAdopted(state_.fold);
    PublishFold();
  }

  /** Passes a new table or view on to the other members. Does nothing until the
   * fold has caught up, as the table may be older than one in force. */
  void PublishFold() {
    if (!state_.fold.caught_up()) {
      return;
    }
    PublishTable();
    PublishView();
  }

  void PublishTable() {
    const auto version =
        static_cast<std::int64_t>(state_.fold.version().value());
    if (version == state_.table_in_use) {
      return;
    }
    state_.table_in_use = version;
    const Table& table = state_.fold.table();
    state_.requests.SetQueues(table.queues);
    state_.scheduler.SetTable(table, now_);
    state_.minions.OnTable(table, now_, effects_);
    effects_.push_back(WriteTimelineEntry{{"table-in-force",
                                           "table/" + std::to_string(version),
                                           "", "adopted by this node"}});
  }

  void PublishView() {
    const View& view = state_.fold.view();
    const auto number = static_cast<std::int64_t>(view.number.value());
    std::set<NodeId> released_nodes;
    released_nodes.insert(state_.config.id);
    // Includes nodes that left the view, since they may have owned units.
    for (const auto& [id, peer] : state_.membership.peers()) {
      if (peer.last.released_view >= view.number) {
        released_nodes.insert(id);
      }
    }
    if (number == state_.view_in_use &&
        released_nodes == state_.released_nodes) {
      return;
    }
    state_.view_in_use = number;
    state_.released_nodes = std::move(released_nodes);
    state_.scheduler.SetView(view.number, view.nodes, state_.released_nodes,
                             now_);
  }

  /** Starts and ends requests, and collects the messages and violations of the
   * scheduler. */
  void Advance() {
    state_.requests.SetConfirmed(Confirmed());
    state_.requests.Advance(now_, effects_);
    for (SendPeer& it : state_.scheduler.TakeMessages()) {
      effects_.push_back(std::move(it));
    }
    for (const Error& it : state_.scheduler.TakeViolations()) {
      ++state_.violations;
      effects_.push_back(WriteTimelineEntry{
          {"invariant-violated", it.peer.empty() ? "" : "node/" + it.peer,
           it.step, it.message}});
    }
    SendFinalHeartbeat();
  }

  /** Sends the final heartbeats before a StopProcess effect. */
  void SendFinalHeartbeat() {
    const bool stops =
        std::any_of(effects_.begin(), effects_.end(), [](const Effect& it) {
          return std::holds_alternative<StopProcess>(it);
        });
    if (!stops) {
      return;
    }
    Effects last;
    state_.membership.SendFinal(now_, MakeLocalStatus(), last);
    effects_.insert(effects_.begin(), last.begin(), last.end());
  }

  LocalStatus MakeLocalStatus() const {
    LocalStatus local;
    local.view = state_.fold.view().number;
    local.released_view = state_.scheduler.AnnouncedView(now_);
    local.next_offset = state_.fold.next_offset();
    local.version = state_.fold.version();
    local.stopping = state_.requests.stopping();
    local.loads = state_.scheduler.Loads();
    local.leaving = state_.minions.LeavingMinions();
    return local;
  }

  /** Returns whether this node may use its capacity units. */
  bool Confirmed() const {
    return state_.fold.caught_up() &&
           state_.membership.Confirmed(now_, state_.fold.view());
  }

  bool IsConfigured(const NodeId& node) const {
    const auto& peers = state_.config.peers;
    return std::any_of(peers.begin(), peers.end(),
                       [&](const PeerConfig& it) { return it.id == node; });
  }

  /** Returns whether this node probes the minion. One node of its data centre
   * does: the owner of unit 0, computed over the live nodes. */
  bool IsProber(const MinionId& minion) {
    const MinionEntry* entry = state_.minions.Find(minion);
    if (entry == nullptr) {
      return false;
    }
    if (live_node_hashes_.empty()) {
      HashLiveNodes();
    }
    const auto it = live_node_hashes_.find(entry->data_centre);
    const std::vector<std::uint64_t>& nodes =
        it != live_node_hashes_.end() ? it->second
                                      : live_node_hashes_[DataCentreId()];
    if (nodes.empty()) {
      return true;
    }
    const std::uint64_t resource =
        StableHash(ResourceId{ResourceKind::kMinionSlots, minion.value()});
    return nodes[RendezvousOwner(resource, 0, nodes)] ==
           StableHash(state_.config.id.value());
  }

  void HashLiveNodes() {
    live_node_hashes_[DataCentreId()];
    for (const ViewNode& it : state_.fold.view().nodes) {
      if (it.id == state_.config.id || state_.membership.IsAlive(it.id, now_)) {
        const std::uint64_t hash = StableHash(it.id.value());
        live_node_hashes_[DataCentreId()].push_back(hash);
        live_node_hashes_[it.data_centre].push_back(hash);
      }
    }
  }

  State& state_;
  const Time now_;
  const std::int64_t wall_ms_;
  Effects effects_;
  /** Hashes of the live view nodes by data centre; the empty id has those of
   * all. Computed once per event, since hashing all nodes for each minion costs
   * nodes times minions. */
  std::map<DataCentreId, std::vector<std::uint64_t>> live_node_hashes_;
};

}  // namespace

Effects Reduce(State& state, const Event& event) {
  return Reducer(state, event).Run(event.body);
}

std::shared_ptr<State> MakeState(const NodeConfig& config, Time now) {
  return std::make_shared<State>(config, now);
}

Offset NextLogOffset(const State& state) {
  return state.reading.next_offset();
}

bool IsReady(const State& state, Time now) {
  return state.fold.caught_up() && !state.requests.stopping() &&
         state.membership.Confirmed(now, state.fold.view());
}

}  // namespace baobab
