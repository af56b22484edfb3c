#ifndef SRC_LOAD_CALLER_H_
#define SRC_LOAD_CALLER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "load/balancer.h"
#include "load/queue_load.h"

namespace baobab::load {

/** What the caller knows of a request after one attempt. */
enum class Verdict {
  /** Told done. */
  kDone,
  /** Told not run. */
  kNotRun,
  /** Told unknown. */
  kUnknown,
  /** The node's answer has no outcome. */
  kUnlabelled,
  /** No connection, so nothing was sent. */
  kNotConnected,
  /** The connection closed without an answer. */
  kLost,
  /** The connection closed after a part of the answer. */
  kCut,
  /** No answer within the caller's timeout. */
  kTimedOut,
};

const char* ToString(Verdict verdict);

struct CallAttempt {
  /** Value of X-Test-Id, by which minions count executions. */
  std::string test_id;
  std::string node;
  Verdict verdict = Verdict::kNotConnected;
  int status = 0;
  /** Baobab-Reason of the node, if it made the answer itself. */
  std::string reason;
  /** The answer is to another request. */
  bool foreign = false;
  /** Value of Retry-After. */
  std::chrono::seconds retry_after{0};
};

struct CallRecord {
  PlannedRequest request;
  std::vector<CallAttempt> attempts;
  /** Index of the attempt that decided; an attempt after it is a repetition
   * with the same key. */
  std::size_t final_attempt = 0;
  /** From the planned start to the final answer. */
  std::chrono::microseconds latency{0};

  const CallAttempt& final() const { return attempts[final_attempt]; }
};

struct CallerOptions {
  /** Callers talk to minions, without a node. */
  bool direct = false;
  std::chrono::milliseconds timeout{40'000};
  int most_attempts = 3;
  /** Longest wait for a Retry-After. */
  std::chrono::milliseconds longest_wait{500};
};

/** A caller that repeats a request only if it is told that it was not run, or
 * if it holds a key. */
class Caller {
 public:
  Caller(const CallerOptions& options,
         const std::vector<QueueLoad>& queues,
         const Balancer& balancer)
      : options_(options), queues_(queues), balancer_(balancer) {}

  /** Sends the request and all repetitions; blocks until the end. */
  CallRecord Run(const PlannedRequest& request,
                 std::chrono::steady_clock::time_point start) const;

 private:
  CallAttempt Send(const CallRecord& record,
                   const std::string& node,
                   const std::string& key) const;
  /** Empty if the node issues none. */
  std::string IssueKey(const std::string& node) const;
  bool MayRepeat(const CallRecord& record, bool keyed) const;

  const CallerOptions& options_;
  const std::vector<QueueLoad>& queues_;
  const Balancer& balancer_;
};

}  // namespace baobab::load

#endif  // SRC_LOAD_CALLER_H_
