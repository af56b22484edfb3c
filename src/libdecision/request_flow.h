#ifndef SRC_LIBDECISION_REQUEST_FLOW_H_
#define SRC_LIBDECISION_REQUEST_FLOW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/key_registry.h"
#include "libdecision/minion_health.h"
#include "libdecision/node_config.h"
#include "libdecision/queue_counters.h"
#include "libdecision/retry_budget.h"
#include "libdecision/scheduling.h"
#include "libtable/table.h"

namespace baobab {

/** State machine of each request on this node, from its arrival to exactly one
 * of DeliverAnswer, DeliverStoredAnswer, IssueKey or Respond. An abandoned
 * request gets a Respond with reason kAbandoned, which the runtime treats as
 * its end. */
class RequestFlow {
 public:
  /** Maximum number of attempts per request. */
  static constexpr std::uint32_t kMaxAttempts = 3;
  /** Retry-After where no better estimate is known. */
  static constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

  /** `scheduler`, `keys` and `minions` must outlive the RequestFlow. */
  RequestFlow(const NodeConfig& config,
              RequestScheduler& scheduler,
              KeyRegistry& keys,
              MinionHealth& minions);

  /** Sets the queues of a table version. Requests are refused until the first
   * call. */
  void SetQueues(const std::map<QueueId, QueueRow>& queues);

  /** While unconfirmed, the node refuses new requests and starts none. */
  void SetConfirmed(bool confirmed) { confirmed_ = confirmed; }

  // Handlers of events, which may make requests ready to start; call Advance()
  // afterwards.
  void OnArrived(const RequestArrived& arrival, Time now, Effects& effects);
  void OnKeyRequested(const KeyRequested& key_request,
                      Time now,
                      Effects& effects);
  void OnAbandoned(const RequestAbandoned& event, Time now, Effects& effects);
  void OnAttemptFinished(const AttemptFinished& event,
                         Time now,
                         Effects& effects);
  void OnKeyReply(const NodeId& from,
                  Incarnation incarnation,
                  const KeyClaimReply& reply,
                  Time now,
                  Effects& effects);

  /** Begins a graceful stop: refuses waiting and later requests; running ones
   * finish. */
  void OnStop(Time now, Effects& effects);

  /** Ends expired requests, starts those that got a slot, and emits StopProcess
   * once when a stop was requested and all requests have ended. */
  void Advance(Time now, Effects& effects);

  bool stopping() const { return stopping_; }

  /** Returns true if no accepted request is left. */
  bool Drained() const { return requests_.empty(); }

  /** Returns an entry per queue of the table and per queue with requests. */
  std::vector<QueueStatus> Status() const;

  std::uint64_t invariant_violations() const { return violations_; }

 private:
  /** Phase of a request: it waits for the claim on its key, waits in its queue,
   * or runs. */
  enum class Phase { kClaiming, kWaiting, kRunning };

  /** A request that has not ended. */
  struct Request {
    RequestArrived arrival;
    Phase phase = Phase::kClaiming;
    Time arrived;
    Time start_by;
    /** Maximum time from arrival to start, set by the queue. */
    Duration deadline{0};
    std::uint32_t attempts = 0;
    /** An attempt ended without proof that the request was not run. */
    bool may_have_run = false;
    /** The caller closed its connection. */
    bool abandoned = false;
    /** The minion of the last attempt. */
    MinionId minion;
    /** Minions of earlier attempts. */
    std::vector<MinionId> avoid;
  };

  using Requests = std::map<RequestId, Request>;

  /** Final outcome of a request without an answer of a minion. */
  struct Ending {
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kNone;
    Duration retry_after{0};
    /** Detail for the timeline: the rule that applied. */
    std::string rule;
  };

  /** Returns the refusal of a new request; empty if it may proceed. */
  std::optional<Ending> RefusalAtArrival(const RequestArrived& arrival) const;
  /** Continues a request after its claim was decided. */
  void OnClaimed(Requests::iterator it,
                 const ClaimResult& claim,
                 Time now,
                 Effects& effects);
  /** Queues the request, or ends it if the scheduler refuses it. */
  void Admit(Requests::iterator it, Time now, Effects& effects);
  /** Starts an attempt of a request that got a slot. */
  void Start(const RequestStart& start, Time now, Effects& effects);
  /** Returns the text of the invariant that the start would break; empty if
   * none. */
  std::string StartViolation(const RequestStart& start) const;
  /** Queues the request for a retry after a failed attempt, or ends it. */
  void RetryOrEnd(Requests::iterator it,
                  AttemptResult result,
                  Time now,
                  Effects& effects);
  /** Returns the rule that forbids a retry; empty if a retry is allowed. Takes
   * a retry from the budget. */
  std::string NoRetryReason(const Request& request, Time now);
  /** Ends a request with the answer of its minion. */
  void EndWithAnswer(Requests::iterator it,
                     const StoredAnswer& answer,
                     Time now,
                     Effects& effects);
  /** Ends a request with the stored answer of an earlier one with its key. */
  void EndWithStoredAnswer(Requests::iterator it,
                           const StoredAnswer& answer,
                           Effects& effects);
  /** Ends a request with an answer of this node. */
  void EndWithoutAnswer(Requests::iterator it,
                        Ending ending,
                        Time now,
                        Effects& effects);
  /** Counts the outcome and removes the request. */
  void RemoveRequest(Requests::iterator it, Outcome outcome);
  /** Emits the final answer of a request; reports a violation if it had one. */
  void EmitFinalAnswer(RequestId id, Effect answer, Effects& effects);
  /** Counts a broken invariant and adds it to the timeline. */
  void ReportViolation(RequestId id, const std::string& what, Effects& effects);

  NodeConfig config_;
  RequestScheduler& scheduler_;
  KeyRegistry& keys_;
  MinionHealth& minions_;
  /** Queues of the table; empty before the first SetQueues(). */
  std::optional<std::map<QueueId, QueueRow>> queues_;
  /** See SetConfirmed(). */
  bool confirmed_ = false;
  bool stopping_ = false;
  /** StopProcess was emitted. */
  bool stop_emitted_ = false;
  Requests requests_;
  /** The last kMaxAnsweredIds answered requests, to detect a second answer. */
  std::set<RequestId> answered_;
  std::deque<RequestId> answered_order_;
  std::map<QueueId, QueueCounters> counters_;
  std::map<QueueId, RetryBudget> budgets_;
  std::uint64_t violations_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_REQUEST_FLOW_H_
