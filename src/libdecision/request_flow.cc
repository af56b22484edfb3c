#include "libdecision/request_flow.h"

#include <algorithm>
#include <utility>

namespace baobab {
namespace {

/** Number of answered requests kept to detect a second answer. */
constexpr std::size_t kMaxAnsweredIds = 1024;

std::string RequestSubject(RequestId id) {
  return "request/" + std::to_string(id.value());
}

void AddTimelineEntry(Effects& effects,
                      std::string kind,
                      RequestId id,
                      std::string cause,
                      std::string detail) {
  effects.push_back(WriteTimelineEntry{{std::move(kind), RequestSubject(id),
                                        std::move(cause), std::move(detail)}});
}

std::string FormatMilliseconds(Duration duration) {
  return std::to_string(
             std::chrono::floor<std::chrono::milliseconds>(duration).count()) +
         " ms";
}

std::string MinionSubject(const MinionId& minion) {
  return "minion/" + minion.value();
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

/** Returns the rule behind a refusal by the scheduler, for the timeline. */
std::string RefusalRule(const Refusal& refusal) {
  const std::string after =
      refusal.retry_after > Duration(0)
          ? ", may start after " + FormatMilliseconds(refusal.retry_after)
          : "";
  switch (refusal.reason) {
    case Reason::kOverLimit:
      return "queue limit reached" + after;
    case Reason::kOverQuota:
      return "team quota reached" + after;
    case Reason::kBacklogFull:
      return "backlog full" + after;
    case Reason::kDeadlinePassed:
      return "deadline passed in the queue" + after;
    case Reason::kCannotStartInTime:
      return "cannot start before its deadline" + after;
    case Reason::kNoMinion:
      return "no usable minion" + after;
    default:
      return "refused by the scheduler" + after;
  }
}

}  // namespace

RequestFlow::RequestFlow(const NodeConfig& config,
                         RequestScheduler& scheduler,
                         KeyRegistry& keys,
                         MinionHealth& minions)
    : config_(config), scheduler_(scheduler), keys_(keys), minions_(minions) {}

void RequestFlow::SetQueues(const std::map<QueueId, QueueRow>& queues) {
  queues_ = queues;
  const auto removed = [&queues](const auto& it) {
    return !queues.contains(it.first);
  };
  std::erase_if(counters_, removed);
  std::erase_if(budgets_, removed);
  for (const auto& [id, row] : queues) {
    counters_.try_emplace(id);
    budgets_.try_emplace(id);
  }
}

void RequestFlow::OnArrived(const RequestArrived& arrival,
                            Time now,
                            Effects& effects) {
  if (requests_.contains(arrival.id) || answered_.contains(arrival.id)) {
    ReportViolation(arrival.id, "a request arrived twice under one id",
                    effects);
    return;
  }
  const auto it = requests_.emplace(arrival.id, Request()).first;
  Request& request = it->second;
  request.arrival = arrival;
  request.arrived = now;
  if (std::optional<Ending> refusal = RefusalAtArrival(arrival)) {
    EndWithoutAnswer(it, std::move(*refusal), now, effects);
    return;
  }
  request.deadline = queues_->at(arrival.queue).deadline;
  request.start_by = now + request.deadline;
  if (arrival.key.empty()) {
    Admit(it, now, effects);
  } else {
    OnClaimed(it, keys_.Claim(arrival.id, arrival.key, now, effects), now,
              effects);
  }
}

std::optional<RequestFlow::Ending> RequestFlow::RefusalAtArrival(
    const RequestArrived& arrival) const {
  if (stopping_) {
    return Ending{Outcome::kNotRun, Reason::kStopping, kDefaultRetryAfter,
                  "this node is stopping"};
  }
  if (!queues_) {
    return Ending{Outcome::kNotRun, Reason::kNoTable, kDefaultRetryAfter,
                  "this node has no table yet"};
  }
  if (!confirmed_) {
    return Ending{Outcome::kNotRun, Reason::kUnconfirmed, kDefaultRetryAfter,
                  "this node may not use its units while unconfirmed"};
  }
  if (!queues_->contains(arrival.queue)) {
    return Ending{Outcome::kNotRun, Reason::kUnknownQueue, Duration(0),
                  "no such queue in the table"};
  }
  return std::nullopt;
}

void RequestFlow::OnKeyRequested(const KeyRequested& key_request,
                                 Time now,
                                 Effects& effects) {
  if (requests_.contains(key_request.id)) {
    ReportViolation(key_request.id,
                    "a key was asked for under the id of a request", effects);
    return;
  }
  if (stopping_) {
    // The key would be lost with this process.
    AddTimelineEntry(effects, "request-refused", key_request.id, "",
                     "this node is stopping");
    EmitFinalAnswer(key_request.id,
                    Respond{key_request.id, Outcome::kNotRun, Reason::kStopping,
                            kDefaultRetryAfter},
                    effects);
    return;
  }
  Result<std::string> key = keys_.Issue(now);
  if (!key) {
    AddTimelineEntry(effects, "request-refused", key_request.id, "",
                     ToString(key.error()));
    EmitFinalAnswer(key_request.id,
                    Respond{key_request.id, Outcome::kNotRun,
                            Reason::kBacklogFull, kDefaultRetryAfter},
                    effects);
    return;
  }
  EmitFinalAnswer(key_request.id, IssueKey{key_request.id, std::move(*key)},
                  effects);
}

void RequestFlow::OnAbandoned(const RequestAbandoned& event,
                              Time now,
                              Effects& effects) {
  const auto it = requests_.find(event.id);
  if (it == requests_.end()) {
    return;
  }
  // A pending claim or running attempt is finished first: the claim can only be
  // released, and the outcome only recorded, once it is known.
  it->second.abandoned = true;
  if (it->second.phase == Phase::kWaiting) {
    scheduler_.Withdraw(event.id);
    EndWithoutAnswer(
        it, {Outcome::kNotRun, Reason::kAbandoned, Duration(0), "abandoned"},
        now, effects);
  }
}

void RequestFlow::OnKeyReply(const NodeId& from,
                             Incarnation incarnation,
                             const KeyClaimReply& reply,
                             Time now,
                             Effects& effects) {
  const std::optional<ClaimResult> claim =
      keys_.OnReply(from, incarnation, reply, effects);
  const auto it = requests_.find(reply.request);
  if (claim && it != requests_.end()) {
    OnClaimed(it, *claim, now, effects);
  }
}

void RequestFlow::OnClaimed(Requests::iterator it,
                            const ClaimResult& claim,
                            Time now,
                            Effects& effects) {
  switch (claim.state) {
    case ClaimState::kPending:
      return;
    case ClaimState::kGranted:
      if (it->second.abandoned) {
        EndWithoutAnswer(
            it,
            {Outcome::kNotRun, Reason::kAbandoned, Duration(0), "abandoned"},
            now, effects);
      } else if (stopping_) {
        EndWithoutAnswer(it,
                         {Outcome::kNotRun, Reason::kStopping,
                          kDefaultRetryAfter, "this node is stopping"},
                         now, effects);
      } else {
        Admit(it, now, effects);
      }
      return;
    case ClaimState::kInProgress:
      EndWithoutAnswer(it,
                       {Outcome::kUnknown, Reason::kKeyInProgress,
                        kDefaultRetryAfter, "another request holds the key"},
                       now, effects);
      return;
    case ClaimState::kFinished:
      if (claim.answer.status != 0) {
        EndWithStoredAnswer(it, claim.answer, effects);
      } else {
        EndWithoutAnswer(
            it,
            {claim.outcome, Reason::kKeyAlreadyRun, Duration(0),
             "an earlier request with this key has ended, no answer is stored"},
            now, effects);
      }
      return;
    case ClaimState::kUnresolved:
      EndWithoutAnswer(it,
                       {Outcome::kUnknown, Reason::kKeyUnresolved, Duration(0),
                        "the key has expired or its issuer is gone"},
                       now, effects);
      return;
    case ClaimState::kBadKey:
      EndWithoutAnswer(it,
                       {Outcome::kNotRun, Reason::kBadKey, Duration(0),
                        "not a key of the form node.incarnation.number"},
                       now, effects);
      return;
  }
}

void RequestFlow::Admit(Requests::iterator it, Time now, Effects& effects) {
  Request& request = it->second;
  request.phase = Phase::kWaiting;
  const RequestArrived& arrival = request.arrival;
  const tl::expected<void, Refusal> admitted =
      scheduler_.Admit({it->first, arrival.queue, request.arrived,
                        request.start_by, arrival.size, request.avoid},
                       now);
  if (!admitted) {
    const Refusal& refusal = admitted.error();
    EndWithoutAnswer(it,
                     {Outcome::kNotRun, refusal.reason, refusal.retry_after,
                      RefusalRule(refusal)},
                     now, effects);
  } else if (request.attempts == 0) {
    AddTimelineEntry(
        effects, "request-accepted", it->first,
        "queue/" + arrival.queue.value(),
        "start within " + FormatMilliseconds(request.start_by - now));
  }
}

void RequestFlow::Start(const RequestStart& start, Time now, Effects& effects) {
  const auto it = requests_.find(start.id);
  if (it == requests_.end()) {
    ReportViolation(start.id, "start of a request that does not wait", effects);
    scheduler_.Finish(start.id, now);
    return;
  }
  Request& request = it->second;
  if (request.phase != Phase::kWaiting) {
    // If it has a slot, the slot belongs to the running attempt.
    ReportViolation(start.id, "start of a request that does not wait", effects);
    return;
  }
  const std::string violation = StartViolation(start);
  if (!violation.empty()) {
    ReportViolation(start.id, violation, effects);
    scheduler_.Finish(start.id, now);
    EndWithoutAnswer(
        it,
        {Outcome::kNotRun, Reason::kNoMinion, kDefaultRetryAfter, violation},
        now, effects);
    return;
  }
  request.phase = Phase::kRunning;
  request.minion = start.minion;
  ++request.attempts;
  if (request.attempts == 1) {
    const auto counters = counters_.find(request.arrival.queue);
    if (counters != counters_.end()) {
      counters->second.AddStart(now - request.arrived);
    }
  }
  AddTimelineEntry(
      effects, "request-started", start.id, MinionSubject(start.minion),
      "attempt " + std::to_string(request.attempts) + ", " +
          FormatMilliseconds(now - request.arrived) + " after arrival");
  effects.push_back(StartAttempt{{start.id, request.attempts},
                                 start.minion,
                                 minions_.Find(start.minion)->address,
                                 config_.request_timeout});
}

std::string RequestFlow::StartViolation(const RequestStart& start) const {
  const Request& request = requests_.at(start.id);
  if (request.may_have_run && !request.arrival.idempotent) {
    return "second run of a request that is not idempotent";
  }
  if (!request.arrival.key.empty() && !keys_.Holds(start.id)) {
    return "start without the grant of its key";
  }
  if (request.attempts >= kMaxAttempts) {
    return "more than " + std::to_string(kMaxAttempts) + " attempts";
  }
  if (!minions_.Usable(start.minion)) {
    return "start on a minion that is not usable";
  }
  return "";
}

void RequestFlow::OnAttemptFinished(const AttemptFinished& event,
                                    Time now,
                                    Effects& effects) {
  const auto it = requests_.find(event.attempt.request);
  if (it == requests_.end() || it->second.phase != Phase::kRunning ||
      it->second.attempts != event.attempt.number) {
    AddTimelineEntry(
        effects, "answer-discarded", event.attempt.request,
        MinionSubject(event.minion),
        "attempt " + std::to_string(event.attempt.number) + " is not running");
    return;
  }
  Request& request = it->second;
  scheduler_.Finish(it->first, now);
  request.phase = Phase::kWaiting;
  AttemptResult result = event.result;
  if (event.minion != request.minion) {
    // The answer is not from the minion that runs the request.
    ReportViolation(it->first, "result of a minion that was not called",
                    effects);
    result = AttemptResult::kUnknown;
  } else if (!request.abandoned || result != AttemptResult::kNotSent) {
    // An attempt that was not sent because its caller has gone says nothing
    // about the minion.
    minions_.OnAttempt(event.minion, result, event.leaving, now, effects);
  }
  if (result == AttemptResult::kAnswered) {
    EndWithAnswer(it, event.answer, now, effects);
    return;
  }
  if (result == AttemptResult::kUnknown) {
    request.may_have_run = true;
  }
  RetryOrEnd(it, result, now, effects);
}

void RequestFlow::RetryOrEnd(Requests::iterator it,
                             AttemptResult result,
                             Time now,
                             Effects& effects) {
  Request& request = it->second;
  std::string what = "attempt " + std::to_string(request.attempts);
  switch (result) {
    case AttemptResult::kNotSent:
      what += " not sent to ";
      break;
    case AttemptResult::kRefused:
      what += " refused by ";
      break;
    default:
      what += " without a complete answer of ";
      break;
  }
  what += request.minion.value();
  const std::string no_retry_reason = NoRetryReason(request, now);
  if (!no_retry_reason.empty()) {
    EndWithoutAnswer(
        it,
        {Outcome::kNotRun,
         stopping_ ? Reason::kStopping : Reason::kRetriesExhausted,
         kDefaultRetryAfter, what + ", no retry: " + no_retry_reason},
        now, effects);
    return;
  }
  AddTimelineEntry(effects, "request-retried", it->first,
                   MinionSubject(request.minion), what);
  request.avoid.push_back(request.minion);
  if (result == AttemptResult::kUnknown) {
    // The request had started in time. Its retry gets the same time to start as
    // a new request, since a lost answer is often detected only after the
    // deadline of the first start.
    request.start_by = now + request.deadline;
  }
  Admit(it, now, effects);
}

std::string RequestFlow::NoRetryReason(const Request& request, Time now) {
  if (request.abandoned) {
    return "abandoned";
  }
  if (stopping_) {
    return "this node is stopping";
  }
  if (request.may_have_run && !request.arrival.idempotent) {
    return "not idempotent and may have run";
  }
  if (request.attempts >= kMaxAttempts) {
    return "limit of " + std::to_string(kMaxAttempts) + " attempts";
  }
  const auto budget = budgets_.find(request.arrival.queue);
  if (budget == budgets_.end()) {
    return "its queue was removed";
  }
  if (!budget->second.TakeRetry(now)) {
    return "retry budget of the queue used up";
  }
  return "";
}

void RequestFlow::OnStop(Time now, Effects& effects) {
  stopping_ = true;
  std::vector<RequestId> waiting;
  for (const auto& [id, request] : requests_) {
    if (request.phase == Phase::kWaiting) {
      waiting.push_back(id);
    }
  }
  for (const RequestId id : waiting) {
    scheduler_.Withdraw(id);
    EndWithoutAnswer(requests_.find(id),
                     {Outcome::kNotRun, Reason::kStopping, kDefaultRetryAfter,
                      "this node is stopping"},
                     now, effects);
  }
}

void RequestFlow::Advance(Time now, Effects& effects) {
  for (const RequestId id : keys_.TakeTimedOut(now)) {
    const auto it = requests_.find(id);
    if (it != requests_.end()) {
      EndWithoutAnswer(it,
                       {Outcome::kUnknown, Reason::kKeyUnresolved, Duration(0),
                        "no reply by the key's issuer within " +
                            FormatMilliseconds(KeyRegistry::kClaimTimeout)},
                       now, effects);
    }
  }
  keys_.Advance(now);
  for (const RefusedRequest& refused : scheduler_.TakeExpired(now)) {
    const auto it = requests_.find(refused.id);
    if (it == requests_.end() || it->second.phase != Phase::kWaiting) {
      ReportViolation(refused.id, "expiry of a request that does not wait",
                      effects);
      continue;
    }
    EndWithoutAnswer(
        it,
        {Outcome::kNotRun, refused.refusal.reason, refused.refusal.retry_after,
         RefusalRule(refused.refusal)},
        now, effects);
  }
  if (confirmed_) {
    const auto usable = [this](const MinionId& id) {
      return minions_.Usable(id);
    };
    for (const RequestStart& start : scheduler_.TakeStarts(now, usable)) {
      Start(start, now, effects);
    }
  }
  if (stopping_ && !stop_emitted_ && requests_.empty()) {
    stop_emitted_ = true;
    effects.push_back(StopProcess{});
  }
}

std::vector<QueueStatus> RequestFlow::Status() const {
  std::map<QueueId, QueueStatus> status;
  for (const auto& [id, counters] : counters_) {
    counters.FillIn(status[id]);
  }
  for (const auto& [id, request] : requests_) {
    QueueStatus& queue = status[request.arrival.queue];
    ++(request.phase == Phase::kRunning ? queue.in_flight : queue.waiting);
  }
  std::vector<QueueStatus> list;
  for (auto& [id, queue] : status) {
    queue.queue = id;
    list.push_back(std::move(queue));
  }
  return list;
}

void RequestFlow::EndWithAnswer(Requests::iterator it,
                                const StoredAnswer& answer,
                                Time now,
                                Effects& effects) {
  const RequestId id = it->first;
  const Request& request = it->second;
  const AttemptId attempt{id, request.attempts};
  const bool abandoned = request.abandoned;
  AddTimelineEntry(effects, "request-ended", id, MinionSubject(request.minion),
                   "done, attempt " + std::to_string(request.attempts) + ", " +
                       FormatMilliseconds(now - request.arrived) +
                       " after arrival");
  const auto budget = budgets_.find(request.arrival.queue);
  if (budget != budgets_.end()) {
    budget->second.RecordSuccess(now);
  }
  keys_.Report(id, Outcome::kDone, answer, now, effects);
  RemoveRequest(it, Outcome::kDone);
  if (abandoned) {
    EmitFinalAnswer(
        id, Respond{id, Outcome::kDone, Reason::kAbandoned, Duration(0)},
        effects);
  } else {
    EmitFinalAnswer(id, DeliverAnswer{attempt}, effects);
  }
}

void RequestFlow::EndWithStoredAnswer(Requests::iterator it,
                                      const StoredAnswer& answer,
                                      Effects& effects) {
  const RequestId id = it->first;
  AddTimelineEntry(effects, "request-ended", id,
                   "key/" + it->second.arrival.key,
                   "done before, the stored answer is repeated");
  RemoveRequest(it, Outcome::kDone);
  EmitFinalAnswer(id, DeliverStoredAnswer{id, answer}, effects);
}

void RequestFlow::EndWithoutAnswer(Requests::iterator it,
                                   Ending ending,
                                   Time now,
                                   Effects& effects) {
  const RequestId id = it->first;
  const Request& request = it->second;
  if (request.phase == Phase::kRunning) {
    ReportViolation(id, "end of a request while it runs", effects);
    return;
  }
  if (ending.outcome == Outcome::kNotRun && request.may_have_run) {
    // A retry that was not run proves nothing about the earlier attempt.
    ending.outcome = Outcome::kUnknown;
    ending.reason = Reason::kAnswerLost;
  }
  if (request.abandoned) {
    ending.reason = Reason::kAbandoned;
  }
  const bool refused = ending.outcome == Outcome::kNotRun && !request.abandoned;
  AddTimelineEntry(
      effects, refused ? "request-refused" : "request-ended", id,
      "queue/" + request.arrival.queue.value(),
      std::string(OutcomeName(ending.outcome)) + ": " + ending.rule);
  keys_.Report(id, ending.outcome, {}, now, effects);
  RemoveRequest(it, ending.outcome);
  EmitFinalAnswer(
      id, Respond{id, ending.outcome, ending.reason, ending.retry_after},
      effects);
}

void RequestFlow::RemoveRequest(Requests::iterator it, Outcome outcome) {
  const auto counters = counters_.find(it->second.arrival.queue);
  if (counters != counters_.end()) {
    counters->second.AddEnd(outcome);
  }
  requests_.erase(it);
}

void RequestFlow::EmitFinalAnswer(RequestId id,
                                  Effect answer,
                                  Effects& effects) {
  if (!answered_.insert(id).second) {
    ReportViolation(id, "second final answer", effects);
    return;
  }
  answered_order_.push_back(id);
  if (answered_order_.size() > kMaxAnsweredIds) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
  effects.push_back(std::move(answer));
}

void RequestFlow::ReportViolation(RequestId id,
                                  const std::string& what,
                                  Effects& effects) {
  ++violations_;
  AddTimelineEntry(effects, "invariant-violated", id, "", what);
}

}  // namespace baobab
