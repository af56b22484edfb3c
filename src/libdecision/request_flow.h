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

/** The life of each request on this node, from its arrival to exactly one of
 * DeliverAnswer, DeliverStoredAnswer, IssueKey or Respond. An abandoned request
 * gets a Respond with reason kAbandoned, which the shell takes as its end. */
class RequestFlow {
 public:
  static constexpr std::uint32_t kMostAttempts = 3;
  /** Sent as Retry-After where no better estimate is known. */
  static constexpr Duration kRetryAfter = std::chrono::seconds(1);

  /** The three parts must outlive this one. */
  RequestFlow(const NodeConfig& config,
              RequestScheduler& scheduler,
              KeyRegistry& keys,
              MinionHealth& minions);

  /** Takes the queues of a table version; requests are refused until the first
   * call. */
  void SetQueues(const std::map<QueueId, QueueRow>& queues);

  /** While unconfirmed, the node refuses new requests and starts none. */
  void SetConfirmed(bool confirmed) { confirmed_ = confirmed; }

  // Each of these may make requests ready to start; call Advance() afterwards.
  void OnArrived(const RequestArrived& arrival, Time now, Effects& effects);
  void OnKeyRequested(const KeyRequested& wish, Time now, Effects& effects);
  void OnAbandoned(const RequestAbandoned& event, Time now, Effects& effects);
  void OnAttemptFinished(const AttemptFinished& event,
                         Time now,
                         Effects& effects);
  void OnKeyReply(const NodeId& from,
                  Incarnation incarnation,
                  const KeyClaimReply& reply,
                  Time now,
                  Effects& effects);

  /** Refuses waiting and later requests; running ones finish. */
  void OnStop(Time now, Effects& effects);

  /** Ends what expired, starts what got a slot, and emits StopProcess once
   * when a stop was requested and all requests have ended. */
  void Advance(Time now, Effects& effects);

  bool stopping() const { return stopping_; }

  /** True if no accepted request is left. */
  bool Drained() const { return requests_.empty(); }

  /** One entry for each queue of the table and each queue with requests. */
  std::vector<QueueStatus> Status() const;

  std::uint64_t invariant_violations() const { return violations_; }

 private:
  enum class Phase { kClaiming, kWaiting, kRunning };

  struct Request {
    RequestArrived arrival;
    Phase phase = Phase::kClaiming;
    Time arrived;
    Time start_by;
    /** Time from arrival to start that the queue allows. */
    Duration deadline{0};
    std::uint32_t attempts = 0;
    /** An attempt ended without proof that it was not run. */
    bool may_have_run = false;
    bool abandoned = false;
    MinionId minion;
    std::vector<MinionId> avoid;
  };

  using Requests = std::map<RequestId, Request>;

  /** How a request ends without an answer of a minion. */
  struct Ending {
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kNone;
    Duration retry_after{0};
    std::string rule;
  };

  std::optional<Ending> RefuseAtArrival(const RequestArrived& arrival) const;
  void OnClaimed(Requests::iterator it,
                 const ClaimResult& claim,
                 Time now,
                 Effects& effects);
  void Admit(Requests::iterator it, Time now, Effects& effects);
  void Start(const RequestStart& start, Time now, Effects& effects);
  /** Text of the invariant that a start would break; empty if none. */
  std::string StartViolation(const RequestStart& start) const;
  void RetryOrEnd(Requests::iterator it,
                  AttemptResult result,
                  Time now,
                  Effects& effects);
  /** The rule that forbids a retry; empty if it may be retried. */
  std::string RetryBar(const Request& request, Time now);
  void EndDone(Requests::iterator it,
               const StoredAnswer& answer,
               Time now,
               Effects& effects);
  void EndKept(Requests::iterator it,
               const StoredAnswer& answer,
               Effects& effects);
  void End(Requests::iterator it, Ending ending, Time now, Effects& effects);
  void Forget(Requests::iterator it, Outcome outcome);
  /** Emits the final answer of a request, unless it had one. */
  void Answer(RequestId id, Effect answer, Effects& effects);
  void Violate(RequestId id, const std::string& what, Effects& effects);

  NodeConfig config_;
  RequestScheduler& scheduler_;
  KeyRegistry& keys_;
  MinionHealth& minions_;
  std::optional<std::map<QueueId, QueueRow>> queues_;
  bool confirmed_ = false;
  bool stopping_ = false;
  bool stopped_ = false;
  Requests requests_;
  /** Requests answered last, to detect a second answer. */
  std::set<RequestId> answered_;
  std::deque<RequestId> answered_order_;
  std::map<QueueId, QueueCounters> counters_;
  std::map<QueueId, RetryBudget> budgets_;
  std::uint64_t violations_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_REQUEST_FLOW_H_
