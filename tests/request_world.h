#ifndef TESTS_REQUEST_WORLD_H_
#define TESTS_REQUEST_WORLD_H_

// Simulation of processes with RequestFlow, KeyRegistry and MinionHealth, and
// of unreliable callers, minions and network.

#include <algorithm>
#include <memory>
#include <utility>

#include <rapidcheck.h>

#include "libdecision/request_flow.h"

namespace baobab {

inline const QueueId kQueue("q");
inline const std::vector<std::string> kNodeNames{"a", "b", "c"};
inline const std::vector<MinionId> kMinions{MinionId("m1"), MinionId("m2"),
                                            MinionId("m3")};

/** FIFO scheduler with two slots and a backlog of six. */
class FakeScheduler : public RequestScheduler {
 public:
  tl::expected<void, Refusal> Admit(const QueuedRequest& request,
                                    Time now) override {
    if (queue_.size() >= 6 || request.start_by <= now) {
      return tl::make_unexpected(
          Refusal{Reason::kCannotStartInTime, std::chrono::seconds(1)});
    }
    queue_.push_back(request);
    return {};
  }

  void Withdraw(RequestId id) override {
    std::erase_if(queue_, [id](const auto& it) { return it.id == id; });
  }

  std::vector<RequestStart> TakeStarts(Time /*now*/,
                                       const UsableMinion& usable) override {
    std::vector<RequestStart> starts = std::exchange(forged, {});
    while (!queue_.empty() && running.size() < 2) {
      const QueuedRequest request = queue_.front();
      std::optional<MinionId> minion;
      for (const MinionId& id : kMinions) {
        const bool avoided =
            std::count(request.avoid.begin(), request.avoid.end(), id) > 0;
        if (usable(id) && (!minion || !avoided)) {
          minion = id;
        }
      }
      if (!minion) {
        break;
      }
      starts.push_back({request.id, request.queue, *minion});
      running.insert(request.id);
      queue_.erase(queue_.begin());
    }
    return starts;
  }

  std::vector<RefusedRequest> TakeExpired(Time now) override {
    std::vector<RefusedRequest> expired;
    for (const QueuedRequest& it : queue_) {
      if (it.start_by <= now) {
        expired.push_back(
            {it.id, {Reason::kDeadlinePassed, std::chrono::seconds(1)}});
      }
    }
    for (const RefusedRequest& it : expired) {
      Withdraw(it.id);
    }
    return expired;
  }

  void Finish(RequestId id, Time /*now*/) override { running.erase(id); }

  std::set<RequestId> running;
  /** Extra starts, as a faulty scheduler would return them. */
  std::vector<RequestStart> forged;

 private:
  std::vector<QueuedRequest> queue_;
};

inline NodeConfig Config(const std::string& id, std::uint64_t incarnation) {
  NodeConfig config;
  config.id = NodeId(id);
  config.incarnation = Incarnation(incarnation);
  for (const std::string& peer : kNodeNames) {
    if (peer != id) {
      config.peers.push_back({NodeId(peer), DataCentreId("d1")});
    }
  }
  return config;
}

/** One process: the real components around the fake scheduler. */
struct Process {
  explicit Process(const NodeConfig& config)
      : keys(config), health(config), flow(config, scheduler, keys, health) {}

  void SetUp(Time now) {
    Effects effects;
    HostList list;
    for (const MinionId& id : kMinions) {
      list.minions.push_back({id, ServiceId("s"), HostId("h"), "127.0.0.1:1",
                              DataCentreId("d1"), false});
    }
    health.OnHostList(list, now, effects);
    QueueRow row;
    row.id = kQueue;
    row.deadline = std::chrono::seconds(3);
    flow.SetQueues({{kQueue, row}});
    flow.SetConfirmed(true);
  }

  FakeScheduler scheduler;
  KeyRegistry keys;
  MinionHealth health;
  RequestFlow flow;
};

template <typename T>
std::vector<T> All(const Effects& effects) {
  std::vector<T> found;
  for (const Effect& it : effects) {
    if (const T* effect = std::get_if<T>(&it)) {
      found.push_back(*effect);
    }
  }
  return found;
}

inline constexpr auto kAnswered = AttemptResult::kAnswered;
inline constexpr auto kNotSent = AttemptResult::kNotSent;
inline constexpr auto kRefused = AttemptResult::kRefused;
inline constexpr auto kLost = AttemptResult::kUnknown;

inline const std::map<char, AttemptResult> kResults{{'A', kAnswered},
                                                    {'N', kNotSent},
                                                    {'R', kRefused},
                                                    {'L', kLost}};

/** An operation of a caller, which may take several requests. */
struct Op {
  bool idempotent = false;
  std::string key;
  int runs = 0;
  bool may_repeat = true;
};

/** One request of a caller to one process. */
struct Call {
  std::size_t op = 0;
  int runs = 0;
  int finals = 0;
  bool told_not_run = false;
};

/** Three processes with their network and minions, and callers who repeat a
 * request without a key only after "not run". Counts executions. */
class World {
 public:
  World() {
    for (std::size_t node = 0; node < 3; ++node) {
      StartProcess(node);
    }
  }

  /** Simulates one event or fault, chosen by the numbers. */
  void Step(std::uint8_t kind, std::uint8_t a, std::uint8_t b) {
    const std::size_t node = b % 3;
    Effects effects;
    if (kind % 12 < 2) {
      ops_.push_back({kind % 12 == 1 && a % 2 == 0,
                      kind % 12 == 0 ? IssueKey(a % 3) : ""});
      Send(ops_.size() - 1, node);
    } else if (kind % 12 < 4) {
      Send(a % 2 < ops_.size() ? ops_.size() - 1 - a % 2 : 0, node);
    } else if (kind % 12 < 6) {
      EndAttempt(a, b % 8);
    } else if (kind % 12 < 9) {
      DeliverMessage(a, b % 8);
    } else if (kind % 12 == 9) {
      now_ += std::chrono::milliseconds(b * 12);
    } else if (kind % 12 == 10 && nodes_[node]) {
      const RequestId id(next_[node] - a % 3);
      nodes_[node]->flow.OnAbandoned({id}, now_, effects);
    } else if (b < 48) {
      StartProcess(node);
    } else if (b < 64 && nodes_[node]) {
      nodes_[node]->flow.OnStop(now_, effects);
    } else {
      ExecuteDelayedRuns();
    }
    Handle(node, effects);
    Advance();
  }

  /** Completes all requests in progress, then checks each caller's outcome. */
  void Finish() {
    ExecuteDelayedRuns();
    for (int round = 0; round < 60; ++round) {
      while (!network_.empty()) {
        DeliverMessage(0, 0);
      }
      while (!attempts_.empty()) {
        EndAttempt(0, 0);
      }
      now_ += std::chrono::milliseconds(250);
      Advance();
    }
    for (const auto& [id, call] : calls_) {
      RC_ASSERT(call.finals <= 1);
      RC_ASSERT((!IsAlive(id) || call.finals == 1));
      RC_ASSERT((!call.told_not_run || call.runs == 0));
    }
    for (const auto& node : nodes_) {
      RC_ASSERT((!node || node->flow.Drained()));
      RC_ASSERT((!node || node->scheduler.running.empty()));
    }
  }

 private:
  /** Node, incarnation and request. */
  using CallId = std::tuple<std::size_t, std::uint64_t, RequestId>;

  struct Attempt {
    CallId call;
    StartAttempt start;
  };

  struct Message {
    std::size_t from;
    Incarnation incarnation;
    SendPeer send;
  };

  template <typename T>
  static T Take(std::vector<T>& list, std::size_t index) {
    const auto it =
        list.begin() + static_cast<std::ptrdiff_t>(index % list.size());
    T taken = *it;
    list.erase(it);
    return taken;
  }

  CallId Id(std::size_t node, RequestId request) const {
    return {node, incarnations_[node], request};
  }

  /** True while the process that received the call is running. */
  bool IsAlive(const CallId& id) const {
    const std::size_t node = std::get<0>(id);
    return nodes_[node] && std::get<1>(id) == incarnations_[node];
  }

  void StartProcess(std::size_t node) {
    ++incarnations_[node];
    nodes_[node] = std::make_unique<Process>(
        Config(kNodeNames[node], incarnations_[node]));
    nodes_[node]->SetUp(now_);
    // Request ids restart with each process, so that confused incarnations are
    // detected.
    next_[node] = 0;
  }

  std::string IssueKey(std::size_t node) {
    Effects effects;
    if (nodes_[node]) {
      const RequestId id(++next_[node]);
      nodes_[node]->flow.OnKeyRequested({id}, now_, effects);
    }
    const auto keys = All<baobab::IssueKey>(effects);
    return keys.empty() ? "" : keys[0].key;
  }

  void Send(std::size_t index, std::size_t node) {
    if (index >= ops_.size() || !nodes_[node] ||
        (ops_[index].key.empty() && !ops_[index].may_repeat)) {
      return;
    }
    Op& op = ops_[index];
    op.may_repeat = false;
    const RequestId id(++next_[node]);
    calls_[Id(node, id)].op = index;
    Effects effects;
    nodes_[node]->flow.OnArrived({id, kQueue, op.idempotent, op.key, Bytes(1)},
                                 now_, effects);
    Handle(node, effects);
  }

  void Execute(const Attempt& attempt) {
    Call& call = calls_.at(attempt.call);
    ++call.runs;
    Op& op = ops_[call.op];
    ++op.runs;
    RC_ASSERT((op.idempotent || op.runs <= 1));
  }

  void EndAttempt(std::size_t index, int fate) {
    if (attempts_.empty()) {
      return;
    }
    const Attempt attempt = Take(attempts_, index);
    if (fate < 3 || fate == 4) {
      Execute(attempt);
    } else if (fate == 3) {
      // The minion runs it only after the node has given up on it.
      delayed_runs_.push_back(attempt);
    }
    if (!IsAlive(attempt.call)) {
      return;
    }
    AttemptFinished event{attempt.start.attempt,
                          attempt.start.minion,
                          kResults.at("AAALLLRN"[fate]),
                          false,
                          {}};
    if (event.result == kAnswered) {
      event.answer = {200, "", std::to_string(calls_.at(attempt.call).op)};
    }
    // The result may be reported again after a retry has started.
    const std::size_t node = std::get<0>(attempt.call);
    for (int n = fate % 2; n < 2 && nodes_[node]; ++n) {
      Effects effects;
      nodes_[node]->flow.OnAttemptFinished(event, now_, effects);
      nodes_[node]->flow.Advance(now_, effects);
      Handle(node, effects);
    }
  }

  void DeliverMessage(std::size_t index, int fate) {
    if (network_.empty()) {
      return;
    }
    const Message it = Take(network_, index);
    if (fate > 4) {
      network_.push_back(it);
    }
    const std::size_t node =
        static_cast<std::size_t>(it.send.to.value()[0] - 'a');
    if (fate == 4 || !nodes_[node]) {
      return;
    }
    Process& process = *nodes_[node];
    const NodeId from(kNodeNames[it.from]);
    Effects effects;
    if (const auto* claim = std::get_if<KeyClaim>(&it.send.message)) {
      process.keys.OnClaim(from, it.incarnation, *claim, now_, effects);
    } else if (const auto* reply =
                   std::get_if<KeyClaimReply>(&it.send.message)) {
      process.flow.OnKeyReply(from, it.incarnation, *reply, now_, effects);
    } else if (const auto* end = std::get_if<KeyOutcome>(&it.send.message)) {
      process.keys.OnOutcome(from, it.incarnation, *end, now_, effects);
    }
    Handle(node, effects);
  }

  void ExecuteDelayedRuns() {
    for (const Attempt& it : std::exchange(delayed_runs_, {})) {
      Execute(it);
    }
  }

  void Advance() {
    for (std::size_t node = 0; node < 3; ++node) {
      if (nodes_[node]) {
        Effects effects;
        nodes_[node]->health.Advance(
            now_, [](const MinionId&) { return false; }, effects);
        nodes_[node]->flow.Advance(now_, effects);
        Handle(node, effects);
      }
    }
  }

  void Handle(std::size_t node, const Effects& effects) {
    for (const Effect& it : effects) {
      std::visit([&](const auto& effect) { Handle(node, effect); }, it);
    }
  }

  Call& AddFinal(std::size_t node, RequestId id) {
    Call& call = calls_.at(Id(node, id));
    ++call.finals;
    return call;
  }

  void Handle(std::size_t node, const StartAttempt& effect) {
    attempts_.push_back({Id(node, effect.attempt.request), effect});
  }
  void Handle(std::size_t node, const SendPeer& effect) {
    network_.push_back({node, Incarnation(incarnations_[node]), effect});
  }
  void Handle(std::size_t node, const DeliverAnswer& effect) {
    RC_ASSERT(AddFinal(node, effect.attempt.request).runs > 0);
  }
  void Handle(std::size_t node, const DeliverStoredAnswer& effect) {
    const Call& call = AddFinal(node, effect.id);
    RC_ASSERT(effect.answer.body == std::to_string(call.op));
    RC_ASSERT(ops_[call.op].runs == 1);
  }
  void Handle(std::size_t node, const Respond& effect) {
    Call& call = AddFinal(node, effect.id);
    Op& op = ops_[call.op];
    RC_ASSERT((effect.outcome != Outcome::kDone || op.runs > 0));
    call.told_not_run = effect.outcome == Outcome::kNotRun;
    op.may_repeat = call.told_not_run;
  }
  void Handle(std::size_t node, const ProbeMinion& effect) {
    Effects ignored;
    nodes_[node]->health.OnProbe({effect.minion, true, false}, now_, ignored);
  }
  void Handle(std::size_t node, const StopProcess& /*effect*/) {
    RC_ASSERT(nodes_[node]->flow.Drained());
    RC_ASSERT(nodes_[node]->scheduler.running.empty());
    nodes_[node].reset();
  }
  void Handle(std::size_t /*node*/, const WriteTimelineEntry& effect) {
    RC_ASSERT(effect.entry.kind != "invariant-violated");
  }
  template <typename T>
  void Handle(std::size_t /*node*/, const T& /*effect*/) {}

  Time now_{std::chrono::hours(1)};
  std::array<std::unique_ptr<Process>, 3> nodes_;
  std::array<std::uint64_t, 3> incarnations_{};
  std::array<std::uint64_t, 3> next_{};
  std::vector<Op> ops_;
  std::map<CallId, Call> calls_;
  std::vector<Attempt> attempts_;
  /** Attempts that their minions run after the node has given up on them. */
  std::vector<Attempt> delayed_runs_;
  std::vector<Message> network_;
};

}  // namespace baobab

#endif  // TESTS_REQUEST_WORLD_H_
