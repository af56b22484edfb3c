#ifndef SRC_LIBFLEET_PEER_CALLS_H_
#define SRC_LIBFLEET_PEER_CALLS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "libfleet/shard_owner.h"
#include "libnet/async_http_client.h"

namespace baobab {

/** Reason why a forwarded request got no answer. */
enum class PeerFault {
  /** Definitely not carried out: the node was not reached, or is not the
   * owner. */
  kNotDone,
  /** No usable answer; the request may have been carried out, or may be
   * later. */
  kUnknown,
};

/** The owner's answer to a query for the state of a job. */
struct JobStateAnswer {
  /** Empty if there is no such job. */
  std::optional<JobState> state;
  /** Cell that decides on the job, if it is delegated. */
  std::optional<ShardId> cell = std::nullopt;
};

/** Returns the state of a job at the owner of one cell. */
JobStateAnswer StateAt(const ShardOwner& owner, const JobId& job);

/** Client for the peer ports of other nodes: forwards requests to the owner of
 * a shard over HTTP with MessagePack bodies. */
class PeerCalls {
 public:
  template <typename T>
  using Done = std::function<void(tl::expected<T, PeerFault>)>;

  explicit PeerCalls(AsyncHttpClient& client) : client_(client) {}

  void Submit(const std::string& peer,
              ShardId shard,
              const JobId& job,
              const QueuePolicy& queue,
              const JobSpec& spec,
              std::optional<Duration> delegated_ago,
              Duration timeout,
              Done<SubmitAnswer> done);
  void Cancel(const std::string& peer,
              ShardId shard,
              const JobId& job,
              Duration timeout,
              Done<CancelAnswer> done);
  void GetJobState(const std::string& peer,
                   ShardId shard,
                   const JobId& job,
                   Duration timeout,
                   Done<JobStateAnswer> done);
  void Pending(const std::string& peer,
               ShardId shard,
               const QueueId& queue,
               Duration timeout,
               Done<int> done);
  /** Offers a job to the owner of a shard; `done` gets true if that has stored
   * it. */
  void OfferJob(const std::string& peer,
                ShardId shard,
                const JobOffer& offer,
                Duration timeout,
                Done<bool> done);
  /** Notifies a node that shards were rebalanced. */
  void NotifyRebalanced(const std::string& peer);
  /** Sends the host planner's plan to the owner of a shard, which answers with
   * the usage of its pools. */
  /** Asks another node for the owners of the shards, for when the store does
   * not answer this node. */
  void ReadOwners(const std::string& peer,
                  Duration timeout,
                  Done<std::map<ShardId, OwnerNode>> done);
  void ApplyPlan(const std::string& peer,
                 ShardId shard,
                 const HostPlan& plan,
                 Duration timeout,
                 Done<PoolUsage> done);

 private:
  AsyncHttpClient& client_;
};

/** Returns the owner of a shard on this node; null if it is not loaded here. */
using FindShard = std::function<ShardOwner*(ShardId)>;

/** Request target of PeerCalls::NotifyRebalanced(). */
inline constexpr char kRebalancedTarget[] = "/dealt";
/** Request target of PeerCalls::ReadOwners(). */
inline constexpr char kOwnersTarget[] = "/owners";

/** Returns the answer to PeerCalls::ReadOwners(). */
HttpResponse OwnersAnswer(const std::map<ShardId, OwnerNode>& owners);

/** Serves a request from another node; calls `respond` once. Unless
 * `membership_is_valid`, another node may own the shard by now. */
void ServePeer(const HttpRequest& request,
               const FindShard& find,
               const std::function<bool()>& membership_is_valid,
               std::function<void(HttpResponse)> respond);

}  // namespace baobab

#endif  // SRC_LIBFLEET_PEER_CALLS_H_
