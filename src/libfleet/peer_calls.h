#ifndef SRC_LIBFLEET_PEER_CALLS_H_
#define SRC_LIBFLEET_PEER_CALLS_H_

#include <functional>
#include <optional>
#include <string>

#include "libfleet/shard_owner.h"
#include "libnet/async_http_client.h"

namespace baobab {

/** Why another node gave no answer to a forwarded request. */
enum class PeerFault {
  /** It certainly did nothing: it was not reached, or is not the owner. */
  kNotDone,
  /** No answer; it may have been done, or be done later. */
  kUnknown,
};

/** What the owner knows of a job. */
struct JobAnswer {
  /** Empty if there is no such job. */
  std::optional<JobState> state;
};

/** Forwards callers' requests to the owner of a shard on another node: a small
 * HTTP interface with MessagePack bodies on the peer port. */
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
              Duration timeout,
              Done<SubmitAnswer> done);
  void Cancel(const std::string& peer,
              ShardId shard,
              const JobId& job,
              Duration timeout,
              Done<bool> done);
  void Ask(const std::string& peer,
           ShardId shard,
           const JobId& job,
           Duration timeout,
           Done<JobAnswer> done);
  void Pending(const std::string& peer,
               ShardId shard,
               const QueueId& queue,
               Duration timeout,
               Done<int> done);
  /** Tells a node that shards are dealt anew. */
  void NotifyDealt(const std::string& peer);
  /** The planner tells the owner of a shard what to do with its hosts. */
  void Plan(const std::string& peer,
            ShardId shard,
            const HostPlan& plan,
            Duration timeout,
            Done<PoolOutlook> done);

 private:
  AsyncHttpClient& client_;
};

/** The owner's side: finds the shard on this node; null if it is not loaded
 * here. */
using FindShard = std::function<ShardOwner*(ShardId)>;

inline constexpr char kDealtTarget[] = "/dealt";

/** Answers a forwarded request; `respond` is called once. Without `is_current`
 * another node may own the shard by now. */
void ServePeer(const HttpRequest& request,
               const FindShard& find,
               const std::function<bool()>& is_current,
               std::function<void(HttpResponse)> respond);

}  // namespace baobab

#endif  // SRC_LIBFLEET_PEER_CALLS_H_
