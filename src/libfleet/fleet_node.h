#ifndef SRC_LIBFLEET_FLEET_NODE_H_
#define SRC_LIBFLEET_FLEET_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libfleet/ownership_eligibility.h"
#include "libfleet/peer_calls.h"
#include "libfleet/planner_owner.h"
#include "libnet/async_http_server.h"

namespace baobab {

struct FleetNodeConfig {
  NodeId node;
  /** "ip:port" at which other nodes reach this one. */
  std::string peer_address;
  /** Processor time in thousandths of a core; 0 if unknown. */
  int milli_cores = 0;
  PoolTuning tuning;
  PlannerTuning planner;
};

/** How a caller's request ended. */
enum class CallOutcome {
  kDone,
  /** Certainly not done; a later attempt may succeed. */
  kNotDone,
  /** The request itself is at fault. */
  kInvalid,
  kUnknown,
};

struct SubmitOutcome {
  CallOutcome outcome = CallOutcome::kUnknown;
  Duration retry_after{0};
  std::string reason;
};

/** One node: membership, the shards that it owns, and the way of callers'
 * requests to the owners on other nodes. */
class FleetNode {
 public:
  struct Ports {
    boost::asio::io_context& loop;
    AsyncHttpClient& client;
    JobStore& store;
    FleetFeed& feed;
    WorkerCalls& workers;
    HostCalls& hosts;
    DecisionLog& log;
  };

  FleetNode(const Ports& ports, const FleetNodeConfig& config);

  void Start();
  /** Hands over the shards; callers are still served through other nodes. */
  void Leave();

  /** Null before the first configuration was read. */
  std::shared_ptr<const PolicySet> policies() const { return policies_; }
  /** The balancer may send callers here. */
  bool IsReady() const;

  void Submit(const JobId& job,
              const QueuePolicy& queue,
              const JobSpec& spec,
              Duration time_left,
              std::function<void(SubmitOutcome)> done);
  /** `done` gets kInvalid if there is no such job. */
  void Cancel(const JobId& job,
              const QueuePolicy& queue,
              Duration time_left,
              std::function<void(CallOutcome)> done);
  void GetJobState(const JobId& job,
                   const QueuePolicy& queue,
                   Duration time_left,
                   std::function<void(CallOutcome, JobStateAnswer)> done);
  void Pending(const QueuePolicy& queue,
               Duration time_left,
               std::function<void(CallOutcome, int)> done);

  /** Lines for the status page. */
  std::string StatusText() const;

 private:
  /** One caller's request on its way to the owner, over several tries. */
  template <typename T>
  struct Forward;

  void MembershipLoop();
  /** Renews the membership now, to learn of shards that were dealt anew. */
  void RenewMembershipNow();
  void OnMembership(const Membership& membership);
  /** Joins the owners, or leaves the shards to larger nodes. */
  void ApplyEligibility();
  /** Stops all shards and leaves the group; others learn of it at once. */
  void ReleaseShards();
  void PublishedLoop();
  void SetPlannerOwned(bool owned);
  void ExchangePlan(ShardId shard,
                    HostPlan plan,
                    std::function<void(PoolOutlook)> done);
  void WorkerLoop();
  void OwnerLoop();
  void RefreshOwners();
  void TickLoop();
  void OnFenced(ShardId shard);
  /** Tells whether no other node can own the shards of this one yet. */
  std::function<bool()> MakeMembershipCheck() const;
  ShardOwner* FindLoadedShard(ShardId shard);

  template <typename T>
  void StartAttempt(std::shared_ptr<Forward<T>> forward);
  template <typename T>
  void FinishAttempt(std::shared_ptr<Forward<T>> forward,
                     tl::expected<T, PeerFault> answer);

  const Ports ports_;
  const FleetNodeConfig config_;
  OwnershipEligibility eligibility_;
  PeerCalls peers_;
  AsyncHttpServer peer_server_;
  LoopTimer join_timer_;
  LoopTimer published_timer_;
  LoopTimer worker_timer_;
  LoopTimer owner_timer_;
  LoopTimer tick_timer_;

  std::shared_ptr<const PolicySet> policies_;
  std::shared_ptr<const std::vector<WorkerEntry>> worker_list_;
  std::map<ShardId, std::shared_ptr<ShardOwner>> shards_;
  std::shared_ptr<PlannerOwner> planner_;
  FleetFeed::PublishedConfig published_;
  std::map<ShardId, OwnerNode> owners_;
  bool owners_read_pending_ = false;
  Time owners_read_at_;
  /** When the next tick should be handled. */
  Time tick_due_;
  OwnerLoad owner_load_;
  /** When it was last behind with the work of its shards. */
  Time last_busy_at_;
  std::int64_t generation_ = 0;
  /** When the newest answered renewal of the membership was sent. */
  Time renewal_sent_at_;
  Time store_answered_at_;
  bool renewal_pending_ = false;
  /** It takes part in owning shards. */
  bool participating_ = false;
  /** Former shards are given back, and larger nodes had time to join. */
  bool started_ = false;
  bool leaving_ = false;
  bool store_unreachable_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_FLEET_NODE_H_
