#ifndef SRC_LOAD_CALLER_H_
#define SRC_LOAD_CALLER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "load/balancer.h"
#include "load/queue_load.h"

namespace baobab::load {

/** What a caller knows about its request after one attempt. */
enum class CallOutcome {
  /** The node reported that the request was done. */
  kDone,
  /** The node reported that the request was not run. */
  kNotRun,
  /** The node reported that the outcome is unknown. */
  kUnknown,
  /** The response does not name an outcome. */
  kUnlabelled,
  /** The connection failed, so nothing was sent. */
  kNotConnected,
  /** The connection was closed without a response. */
  kLost,
  /** The connection was closed after a part of the response. */
  kCut,
  /** No response arrived within the caller's timeout. */
  kTimedOut,
};

const char* ToString(CallOutcome call_outcome);

/** One attempt of a request and its result. */
struct CallAttempt {
  /** Value of X-Test-Id, by which minions count executions. */
  std::string test_id;
  /** Address that the request was sent to. */
  std::string node;
  CallOutcome call_outcome = CallOutcome::kNotConnected;
  /** HTTP status; 0 without a complete response. */
  int status = 0;
  /** Value of Baobab-Reason, which a node sets if the response is its own and
   * not that of a minion. */
  std::string reason;
  /** Whether the response belongs to another request. */
  bool foreign = false;
  /** Value of Retry-After; 0 if missing. */
  std::chrono::seconds retry_after{0};
};

/** A request with all its attempts. */
struct CallRecord {
  PlannedRequest request;
  std::vector<CallAttempt> attempts;
  /** Index of the attempt that determines the outcome. A later attempt repeats
   * the done request with the same key. */
  std::size_t final_attempt = 0;
  /** Time from the planned start to the final response. */
  std::chrono::microseconds latency{0};

  const CallAttempt& final() const { return attempts[final_attempt]; }
};

/** How callers send and retry requests. */
struct CallerOptions {
  /** Send requests directly to minions instead of nodes. */
  bool direct = false;
  /** Timeout of one attempt. */
  std::chrono::milliseconds timeout{40'000};
  /** Maximum number of attempts per request. */
  int max_attempts = 3;
  /** Upper bound on the wait that Retry-After asks for. */
  std::chrono::milliseconds max_retry_wait{500};
};

/** Sends requests like a caller: retries one only if it was reported as not run
 * or could not be sent, or if it carries an idempotency key. */
class Caller {
 public:
  Caller(const CallerOptions& options,
         const std::vector<QueueLoad>& queues,
         const Balancer& balancer)
      : options_(options), queues_(queues), balancer_(balancer) {}

  /** Sends the request with all its retries; blocks until the final response.
   * `start` is the time from which planned times count. */
  CallRecord Run(const PlannedRequest& request,
                 std::chrono::steady_clock::time_point start) const;

 private:
  /** Sends one attempt to `node`; `key` is empty for requests without a key. */
  CallAttempt Send(const CallRecord& record,
                   const std::string& node,
                   const std::string& key) const;
  /** Requests an idempotency key from a node; empty if it issues none. */
  std::string IssueKey(const std::string& node) const;
  /** Whether the last attempt allows another one without a second execution. */
  bool MayRetry(const CallRecord& record, bool keyed) const;

  const CallerOptions& options_;
  const std::vector<QueueLoad>& queues_;
  const Balancer& balancer_;
};

}  // namespace baobab::load

#endif  // SRC_LOAD_CALLER_H_
