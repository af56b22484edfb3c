#ifndef TESTS_SOAK_FAULT_SCHEDULE_H_
#define TESTS_SOAK_FAULT_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "soak_world.h"

namespace baobab {

/** A random series of overlapping faults, which depends on the seed only. */
class FaultSchedule {
 public:
  FaultSchedule(SoakWorld& world, std::uint64_t seed)
      : world_(world), random_(seed) {}

  /** Draws the faults that begin from `from_ms` to `until_ms`. */
  void DrawFaults(std::int64_t from_ms, std::int64_t until_ms) {
    for (auto at = from_ms; at < until_ms; at += Draw(200, 3000)) {
      DrawFault(at);
    }
    for (auto at = from_ms; at < until_ms; at += Draw(500, 7000)) {
      ++count_;
      if (Draw(0, 4) == 0) {
        CutFromNodes(DrawWorker(), at, Draw(2000, 10000));
      } else {
        RestartWorkers(at);
      }
    }
  }

  /** Begins and ends the faults that are due. Returns false when all are over.
   */
  bool Tick() {
    while (!actions_.empty() && actions_.begin()->first <= review::Now()) {
      const auto action = actions_.extract(actions_.begin());
      action.mapped()();
    }
    return !actions_.empty();
  }

  int count() const { return count_; }

 private:
  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(random_);
  }

  SoakNode& DrawNode() {
    return *world_.nodes[Draw(0, std::ssize(world_.nodes) - 1)];
  }
  SoakWorker& DrawWorker() {
    return *world_.workers[Draw(0, std::ssize(world_.workers) - 1)];
  }

  void At(std::int64_t at,
          const std::string& text,
          std::function<void()> action) {
    actions_.emplace(at, [this, text, action = std::move(action)] {
      world_.record.Line("fault: " + text);
      action();
    });
  }

  void DrawFault(std::int64_t at) {
    ++count_;
    switch (Draw(0, 9)) {
      case 0:
      case 1:
        return EndNode(at, &SoakNode::Stop);
      case 2:
        return EndNode(at, &SoakNode::Kill);
      case 3:
        return PauseNode(at);
      case 4:
      case 5:
        return CutWorker(DrawWorker(), at, Draw(3000, 12000));
      case 6:
        return Outage(at);
      case 7:
        return HangStore(at);
      case 8:
        return DelayOrders(DrawWorker(), Percent{30}, at,
                           at + Draw(2000, 8000));
      default:
        // Cuts and a change of owners at the same time.
        CutWorker(DrawWorker(), at, Draw(6000, 12000));
        CutWorker(DrawWorker(), at + Draw(0, 500), Draw(6000, 12000));
        return EndNode(at + Draw(3000, 7000), &SoakNode::Stop);
    }
  }

  void EndNode(std::int64_t at, void (SoakNode::*end)(std::int64_t)) {
    SoakNode& node = DrawNode();
    const auto restart_ms = Draw(0, 4000);
    At(at, node.name() + " ends",
       [&node, end, restart_ms] { (node.*end)(restart_ms); });
  }

  void PauseNode(std::int64_t at) {
    SoakNode& node = DrawNode();
    At(at, node.name() + " is paused", [&node] { node.Pause(); });
    At(at + Draw(500, 7000), node.name() + " is resumed",
       [&node] { node.Resume(); });
  }

  void CutWorker(SoakWorker& worker, std::int64_t at, std::int64_t for_ms) {
    const auto machine = worker.machine();
    At(at, machine + " loses the store", [&worker] { worker.CutFromStore(); });
    At(at + for_ms, machine + " reaches the store",
       [&worker] { worker.RejoinStore(); });
  }

  /** The store refuses all calls. Workers return to it at different times. */
  void Outage(std::int64_t at) {
    const auto end = at + Draw(500, 6000);
    const bool entries_expire = Draw(0, 1) == 1;
    At(at, entries_expire ? "outage, entries expire" : "outage",
       [this, entries_expire] { world_.BeginOutage(entries_expire); });
    for (auto& it : world_.workers) {
      CutWorker(*it, at, end - at + Draw(0, 4000));
    }
    At(end, "outage is over", [this] { world_.EndOutage(); });
  }

  /** The store does not answer one node, or any node and worker. */
  void HangStore(std::int64_t at) {
    const auto end = at + Draw(500, 6000);
    const Hanging fault{Percent{Draw(0, 1) == 1 ? 50 : 0}};
    if (Draw(0, 1) == 1) {
      Apply(DrawNode().relay(), fault, "the store hangs for a node", at, end);
      return;
    }
    for (auto& it : world_.nodes) {
      Apply(it->relay(), fault, "the store hangs for " + it->name(), at, end);
    }
    for (auto& it : world_.workers) {
      CutWorker(*it, at, end - at + Draw(0, 4000));
    }
  }

  void DelayOrders(SoakWorker& worker,
                   Percent affected,
                   std::int64_t at,
                   std::int64_t end) {
    Apply(worker.relay(), Delaying{Draw(2000, Relay::kMaxDelayMs), affected},
          "orders to " + worker.machine(), at, end);
  }

  void CutFromNodes(SoakWorker& worker, std::int64_t at, std::int64_t for_ms) {
    Apply(worker.relay(), Cutting{DrawShare(), DrawShare()},
          worker.machine() + " is cut off from the nodes", at, at + for_ms);
  }

  /** Restarts of one or more workers, in a row or overlapping, and further ones
   * of a worker that is just back. */
  void RestartWorkers(std::int64_t at) {
    for (auto left = Draw(1, 2); left > 0; --left, at += Draw(0, 1500)) {
      SoakWorker& worker = DrawWorker();
      auto begin = at;
      for (bool again = true; again; again = Draw(0, 2) == 0) {
        begin = RestartWorker(worker, begin) + Draw(200, 4000);
      }
    }
  }

  /** Orders may be late before the worker's process ends, and the worker may be
   * cut off soon after its return. Returns the time of the return. */
  std::int64_t RestartWorker(SoakWorker& worker, std::int64_t at) {
    if (Draw(0, 1) == 1) {
      DelayOrders(worker, Percent{60}, at - Draw(0, 3000), at + Draw(0, 1000));
    }
    auto has_crashed = std::make_shared<bool>(false);
    const TargetLoss loss{DrawShare(), Draw(0, 1) == 1};
    const auto back_at = at + (Draw(0, 2) > 0 ? Draw(0, 800) : Draw(0, 8000));
    At(at, worker.machine() + " crashes", [this, &worker, loss, has_crashed] {
      *has_crashed = world_.Crash(worker, loss);
    });
    At(back_at, worker.machine() + " starts again", [&worker, has_crashed] {
      if (*has_crashed) {
        worker.Restart();
      }
    });
    if (Draw(0, 2) > 0) {
      const auto cut_at = back_at + Draw(0, 800);
      const auto cut_ms = Draw(4000, 12000);
      CutFromNodes(worker, cut_at, cut_ms);
      if (Draw(0, 1) == 1) {
        CutWorker(worker, cut_at, cut_ms);
      }
    }
    return back_at;
  }

  Percent DrawShare() { return Percent{static_cast<int>(Draw(0, 2)) * 50}; }

  void Apply(Relay& relay,
             const RelayFault& fault,
             const std::string& text,
             std::int64_t at,
             std::int64_t end) {
    auto number = std::make_shared<int>(0);
    At(at, text + ", fault begins",
       [&relay, fault, number] { *number = relay.AddFault(fault); });
    At(end, text + ", fault ends",
       [&relay, number] { relay.ClearFault(*number); });
  }

  SoakWorld& world_;
  std::mt19937_64 random_;
  std::multimap<std::int64_t, std::function<void()>> actions_;
  int count_ = 0;
};

}  // namespace baobab

#endif  // TESTS_SOAK_FAULT_SCHEDULE_H_
