#ifndef SRC_LIBFLEET_PLANNER_OWNER_H_
#define SRC_LIBFLEET_PLANNER_OWNER_H_

#include <functional>
#include <memory>
#include <vector>

#include "libfleet/decision_log.h"
#include "libfleet/loop_timer.h"
#include "libfleet/ports.h"

namespace baobab {

/** Runs the host planner on the node that owns the planner's shard: fences
 * previous planners, loads the records, and executes the planner's effects. */
class PlannerOwner : public std::enable_shared_from_this<PlannerOwner> {
 public:
  struct Ports {
    boost::asio::io_context& loop;
    JobStore& store;
    FleetFeed& feed;
    HostCalls& hosts;
    DecisionLog& log;
    /** Returns false once orders may collide with those of another planner. */
    std::function<bool()> may_send_orders;
    /** Returns false once another planner may have taken over. */
    std::function<bool()> may_plan;
    /** Called when the store refuses the records of this planner. */
    std::function<void(AppendOutcome)> on_fenced;
    /** Sends the plan to the owner of the shard, here or on another node, and
     * reports the usage of its pools if it answers. */
    std::function<void(ShardId, HostPlan, std::function<void(PoolUsage)>)>
        exchange;
  };

  PlannerOwner(const Ports& ports,
               FenceToken token,
               const PlannerTuning& tuning);

  void Start();
  void Stop();
  void SetPublished(const FleetFeed::PublishedConfig& published);
  void SetDivision(std::shared_ptr<const PoolDivision> division);

 private:
  void FenceFormerOwners();
  void Load();
  /** Stores `intent_`. */
  void Append();
  /** Runs a failed step again after a delay. */
  void Retry(void (PlannerOwner::*step)());
  void TickLoop();
  /** Sends the plans to the owners of the next cells in turn, and collects
   * usage reports. */
  void ExchangePlans();
  /** Passes an event to the planner and executes its effects. */
  void Post(decltype(PlannerEvent::body) body);
  void Execute(PlannerEffect& effect);
  /** Reports the state of a maintenance wave, with retries. */
  void Report(const ReportWave& report);

  const Ports ports_;
  const FenceToken token_;
  HostPlanner planner_;
  LoopTimer retry_timer_;
  LoopTimer tick_timer_;
  LoopTimer report_timer_;
  bool stopped_ = false;
  bool loaded_ = false;
  /** Sequence number of the next append. */
  std::uint64_t sequence_ = 0;
  /** Intent that is being stored. */
  StoreIntent intent_;
  FleetFeed::PublishedConfig published_;
  std::shared_ptr<const PoolDivision> division_;
  /** Shard with which plans were exchanged last. */
  ShardId last_exchanged_;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_PLANNER_OWNER_H_
