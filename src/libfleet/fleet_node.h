#ifndef SRC_LIBFLEET_FLEET_NODE_H_
#define SRC_LIBFLEET_FLEET_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libfleet/division_keeper.h"
#include "libfleet/ownership_eligibility.h"
#include "libfleet/peer_calls.h"
#include "libfleet/planner_owner.h"
#include "libfleet/rejoin_policy.h"
#include "libnet/async_http_server.h"

namespace baobab {

/** Settings of a node of the fleet. */
struct FleetNodeConfig {
  NodeId node;
  /** Address at which other nodes reach this one, as "ip:port". */
  std::string peer_address;
  /** CPU share of this node in thousandths of a core; 0 if unknown. */
  int milli_cores = 0;
  PoolTuning tuning;
  PlannerTuning planner;
};

/** How a caller's request ended. */
enum class CallOutcome {
  kDone,
  /** Definitely not carried out; a later attempt may succeed. */
  kNotDone,
  /** The request itself is invalid. */
  kInvalid,
  /** May have been carried out, or may be later. */
  kUnknown,
};

/** Result of a submission; `reason` says why it was not accepted. */
struct SubmitOutcome {
  CallOutcome outcome = CallOutcome::kUnknown;
  /** Time after which a new attempt may succeed. */
  Duration retry_after{0};
  std::string reason;
};

/** A node of the fleet: keeps its membership, runs the owners of its shards,
 * and forwards callers' requests to the owners on other nodes. */
class FleetNode {
 public:
  /** Dependencies of the node, which must outlive it. */
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
  /** Ends what is in flight: callers whose requests are not answered yet get no
   * answer from this node. */
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  /** Starts listening for other nodes, and joins the group of owners. */
  void Start();
  /** Leaves the group of owners so that other nodes take over the shards.
   * Callers are still served, through those nodes. */
  void Leave();

  /** Null until the first configuration is read. */
  std::shared_ptr<const PolicySet> policies() const { return policies_; }
  /** Returns true if the load balancer may send callers to this node. */
  bool IsReady() const;

  /** Submits a job to the owner of the queue's shard. This and the methods
   * below give up after `time_left`. */
  void Submit(const JobId& job,
              const QueuePolicy& queue,
              const JobSpec& spec,
              Duration time_left,
              std::function<void(SubmitOutcome)> done);
  /** Cancels a job; `done` gets kInvalid if there is no such job. */
  void Cancel(const JobId& job,
              const QueuePolicy& queue,
              Duration time_left,
              std::function<void(CallOutcome)> done);
  /** Reads the state of a job; `done` gets an empty state if there is none. */
  void GetJobState(const JobId& job,
                   const QueuePolicy& queue,
                   Duration time_left,
                   std::function<void(CallOutcome, JobStateAnswer)> done);
  /** Counts the pending jobs of a queue. */
  void Pending(const QueuePolicy& queue,
               Duration time_left,
               std::function<void(CallOutcome, int)> done);

  /** Returns the text of the status page. */
  std::string StatusText() const;

 private:
  /** A caller's request to the owner of a shard, over several attempts. */
  template <typename T>
  struct Forward;

  /** Ends the membership of a former process of this node, and then joins the
   * group of owners. */
  void LeaveFormerMembership();
  /** Renews the membership periodically. */
  void MembershipLoop();
  /** Renews the membership now, to learn of rebalanced shards. */
  void RenewMembershipNow();
  /** Returns the time until the next renewal after a successful one. */
  Duration RenewalInterval();
  /** Returns whether the membership has expired, or may have, and the node does
   * not join again yet; stops its shards once other nodes own them. */
  bool StaysOutAfterExpiry();
  /** Returns the peer addresses of the listed owners. */
  std::set<std::string> OwnerNodes() const;
  /** Stops owning shards, without telling the store. */
  void StopShards();
  /** Starts the owners of gained shards and stops those of lost ones.
   * `sent_at` is when the renewal was sent. */
  void OnMembership(const Membership& membership, Time sent_at);
  /** Starts the owner of a shard with the current generation. */
  void StartShard(ShardId shard);
  /** Has the owners of kept shards find out whether other nodes have had the
   * shards since the last renewal. */
  void VerifyKeptShards();
  /** Replaces an owner whose state is old by one that loads the shard. */
  void OnOutdated(ShardId shard);
  /** Stops the owner of a shard and returns the iterator after it. */
  std::map<ShardId, std::shared_ptr<ShardOwner>>::iterator StopShard(
      std::map<ShardId, std::shared_ptr<ShardOwner>>::iterator shard);
  /** Returns whether an owner of the shard would now get the token of an
   * earlier one. */
  bool WouldReuseToken(ShardId shard) const;
  /** Joins the group of owners, or yields ownership to larger nodes. */
  void ApplyEligibility();
  /** Stops all shards, leaves the group of owners and notifies the others.
   * `done` gets false if the store has not confirmed it. */
  void ReleaseShards(std::function<void(bool left)> done = {});
  /** Follows the configuration and passes it to the shards. */
  void PublishedLoop();
  /** Starts or stops the host planner on this node. */
  void SetPlannerOwned(bool owned);
  /** Applies the plan at the owner of `shard`. `done` gets the owner's usage
   * report, and is not called on failure. */
  void ExchangePlan(ShardId shard,
                    HostPlan plan,
                    std::function<void(PoolUsage)> done);
  /** Offers a job to the owner of another cell, once; `done` gets true if that
   * has stored it. */
  void OfferJob(ShardId cell, JobOffer offer, std::function<void(bool)> done);
  /** Reads the worker list periodically while this node owns shards. */
  void WorkerLoop();
  /** Reads the list of owners periodically. */
  void OwnerLoop();
  /** Reads the list of owners, unless it was read a short time ago. */
  void RefreshOwners();
  /** Asks the next other node for the list of owners. A node to which the store
   * does not answer may be replaced as an owner and would not know by whom. */
  void ReadOwnersFromPeer();
  /** Sends periodic ticks to the shards and measures their delay. */
  void TickLoop();
  /** Stops a shard whose records the store refuses. */
  void OnFenced(ShardId shard, AppendOutcome cause);
  /** Gives up all shards after an unexpected error of one. */
  void OnFailed(ShardId shard);
  /** Gives up all shards and joins the owners again later. That raises the
   * generation, so that the next owners, perhaps of this node, fence the
   * current ones. */
  void Rejoin();
  /** Returns a predicate that is true while no other node can own the shards of
   * this one. */
  std::function<bool()> MakeMembershipCheck() const;
  /** Returns a predicate that is false once another node may own the shards of
   * this one, so that it sends no orders. */
  std::function<bool()> MakeOrderCheck() const;
  /** Returns the shard if this node owns it and its state is loaded and
   * current, or null. */
  ShardOwner* FindCurrentShard(ShardId shard);
  /** Passes a division with more pools to the shards and the planner. */
  void OnDivision(const std::shared_ptr<const PoolDivision>& division);
  /** Returns the median CPU share of the owners that state theirs, in
   * thousandths of a core. */
  int OwnerMilliCores() const;
  /** Returns a function that looks up the shard at which the job is submitted
   * and looked for, wherever its queue is sent now. */
  std::function<std::optional<ShardId>()> HomeOfJob(const QueuePolicy& queue,
                                                    const JobId& job) const;
  /** Returns the shards that may have jobs of the queue. */
  std::vector<ShardId> CellsWithJobsOf(const QueuePolicy& queue) const;
  /** Cell that knows a job, and the job's state. */
  struct Found {
    ShardId cell;
    JobState state = JobState::kQueued;
  };
  /** Looks for a job in the cells other than that of its id; `done` gets an
   * empty result if none of them knows it. */
  void FindInCells(const JobId& job,
                   const QueuePolicy& queue,
                   Duration time_left,
                   std::function<void(CallOutcome, std::optional<Found>)> done);
  /** Asks the cell that decides on the job, beginning with that of
   * `find_cell`. */
  void StateInCell(
      std::function<std::optional<ShardId>()> find_cell,
      const JobId& job,
      Duration time_left,
      std::function<void(tl::expected<JobStateAnswer, PeerFault>, bool)> done);
  void CancelInCell(std::function<std::optional<ShardId>()> find_cell,
                    const JobId& job,
                    Duration time_left,
                    std::function<void(tl::expected<CancelAnswer, PeerFault>,
                                       bool maybe_done)> done);
  /** Counts the pending jobs of a queue in one cell of its pool. */
  void PendingInCell(ShardId cell,
                     const QueueId& queue,
                     Duration time_left,
                     std::function<void(tl::expected<int, PeerFault>)> done);

  template <typename T>
  void StartAttempt(std::shared_ptr<Forward<T>> forward);
  template <typename T>
  void FinishAttempt(std::shared_ptr<Forward<T>> forward,
                     tl::expected<T, PeerFault> answer);

  const Ports ports_;
  const FleetNodeConfig config_;
  OwnershipEligibility eligibility_;
  DivisionKeeper keeper_;
  PeerCalls peers_;
  AsyncHttpServer peer_server_;
  LoopTimer join_timer_;
  LoopTimer published_timer_;
  LoopTimer worker_timer_;
  LoopTimer owner_timer_;
  LoopTimer tick_timer_;

  std::shared_ptr<const PolicySet> policies_;
  std::shared_ptr<const WorkerList> worker_list_;
  /** When that list was read. */
  Time workers_read_at_;
  std::map<ShardId, std::shared_ptr<ShardOwner>> shards_;
  /** Last owner that this node stopped, by shard. */
  struct StoppedOwner {
    FenceToken token;
    Time at;
  };
  std::map<ShardId, StoppedOwner> stopped_owners_;
  std::shared_ptr<PlannerOwner> planner_;
  /** Configuration as of the last read. */
  FleetFeed::PublishedConfig published_;
  /** Owners of all shards as of the last read. */
  std::map<ShardId, OwnerNode> owners_;
  bool owners_read_pending_ = false;
  Time owners_read_at_;
  /** When the store last gave the list of owners. */
  Time owners_current_at_;
  /** Node that was last asked for the list of owners. */
  std::string asked_peer_;
  /** Time at which the next tick is due. */
  Time tick_due_;
  OwnerLoad owner_load_;
  /** Last time at which the node was behind with the work of its shards. */
  Time last_busy_at_;
  /** Generation of the current membership. */
  std::int64_t generation_ = 0;
  /** Set from the first answer to a join until the node leaves. */
  bool is_member_ = false;
  RejoinPolicy rejoin_;
  /** Number of owners at the last successful renewal. */
  std::size_t owners_at_renewal_ = 0;
  /** When the generation last changed, which moves shards between nodes. */
  Time rebalanced_at_;
  /** Shards were released since the last renewal. */
  bool unconfirmed_release_ = false;
  /** Time at which the last successful membership renewal was sent. */
  Time renewal_sent_at_;
  /** Time of the last answer of the store. */
  Time store_answered_at_;
  bool renewal_pending_ = false;
  /** How often this node has left the group, to ignore answers to renewals that
   * were sent before. */
  std::uint64_t releases_ = 0;
  /** Set while this node takes part in owning shards. */
  bool participating_ = false;
  /** Set once the shards of a previous process are released and larger nodes
   * had time to join. */
  bool started_ = false;
  bool leaving_ = false;
  bool store_unreachable_ = false;
  /** Ends the callbacks of calls in flight. */
  CallbackGuard guard_;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_FLEET_NODE_H_
