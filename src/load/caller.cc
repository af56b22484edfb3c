#include "load/caller.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace baobab::load {
namespace {

/** Wait before a retry if the response gives no longer Retry-After. */
constexpr std::chrono::milliseconds kMinRetryWait(50);

CallOutcome ToCallOutcome(const httplib::Response& answer, bool direct) {
  if (direct) {
    return answer.has_header("Baobab-Refused") ? CallOutcome::kNotRun
                                               : CallOutcome::kDone;
  }
  const std::string outcome = answer.get_header_value("Baobab-Outcome");
  return outcome == "done"      ? CallOutcome::kDone
         : outcome == "not-run" ? CallOutcome::kNotRun
         : outcome == "unknown" ? CallOutcome::kUnknown
                                : CallOutcome::kUnlabelled;
}

/** Whether a complete response of a minion belongs to another request. */
bool IsForeign(const std::string& body, const std::string& request_id) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("test_id") ||
      !json["test_id"].is_string()) {
    return true;
  }
  return !json["test_id"].get<std::string>().starts_with(request_id + ".");
}

}  // namespace

const char* ToString(CallOutcome call_outcome) {
  switch (call_outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kNotRun:
      return "not-run";
    case CallOutcome::kUnknown:
      return "unknown";
    case CallOutcome::kUnlabelled:
      return "unlabelled";
    case CallOutcome::kNotConnected:
      return "not-connected";
    case CallOutcome::kLost:
      return "lost";
    case CallOutcome::kCut:
      return "cut";
    case CallOutcome::kTimedOut:
      return "timed-out";
  }
  return "";
}

CallRecord Caller::Run(const PlannedRequest& request,
                       std::chrono::steady_clock::time_point start) const {
  CallRecord record;
  record.request = request;
  std::mt19937_64 random(request.seed);
  std::string key;
  std::string node = balancer_.Pick(random, "");
  if (request.keyed && !options_.direct) {
    key = IssueKey(node);
  }
  for (;;) {
    record.attempts.push_back(Send(record, node, key));
    record.final_attempt = record.attempts.size() - 1;
    if (!MayRetry(record, !key.empty())) {
      break;
    }
    std::this_thread::sleep_for(std::clamp<std::chrono::milliseconds>(
        record.final().retry_after, kMinRetryWait, options_.max_retry_wait));
    node = balancer_.Pick(random, node);
  }
  record.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start - request.at);
  if (request.repeat_when_done && !key.empty() &&
      record.final().call_outcome == CallOutcome::kDone) {
    record.attempts.push_back(Send(record, balancer_.Pick(random, node), key));
  }
  return record;
}

CallAttempt Caller::Send(const CallRecord& record,
                         const std::string& node,
                         const std::string& key) const {
  const PlannedRequest& planned = record.request;
  const QueueLoad& queue = queues_[planned.queue];
  CallAttempt attempt;
  attempt.node = node;
  attempt.test_id =
      planned.id + "." + std::to_string(record.attempts.size() + 1);

  bool head_received = false;
  httplib::Request request;
  request.method = planned.idempotent ? "GET" : "POST";
  request.path = (options_.direct ? "/" : "/call/" + queue.queue + "/") +
                 std::string("work/") + planned.id;
  request.headers = {{"X-Test-Id", attempt.test_id},
                     {"X-Run-Ms", std::to_string(queue.run_time.count())}};
  if (!key.empty()) {
    request.headers.emplace("Idempotency-Key", key);
  }
  if (!planned.idempotent) {
    request.body = planned.id;
    request.headers.emplace("Content-Type", "text/plain");
  }
  request.response_handler = [&](const httplib::Response&) {
    head_received = true;
    return true;
  };
  httplib::Client client("http://" + node);
  client.set_connection_timeout(options_.timeout);
  client.set_read_timeout(options_.timeout);
  client.set_tcp_nodelay(true);
  const auto begin = std::chrono::steady_clock::now();
  const auto answer = client.send(request);

  if (answer) {
    attempt.status = answer->status;
    attempt.call_outcome = ToCallOutcome(*answer, options_.direct);
    attempt.reason = answer->get_header_value("Baobab-Reason");
    attempt.foreign = attempt.call_outcome == CallOutcome::kDone &&
                      attempt.reason.empty() &&
                      IsForeign(answer->body, planned.id);
    const std::string after = answer->get_header_value("Retry-After");
    int seconds = 0;
    std::from_chars(after.data(), after.data() + after.size(), seconds);
    attempt.retry_after = std::chrono::seconds(seconds);
  } else if (answer.error() == httplib::Error::Connection ||
             answer.error() == httplib::Error::ConnectionTimeout) {
    attempt.call_outcome = CallOutcome::kNotConnected;
  } else if (std::chrono::steady_clock::now() - begin >= options_.timeout) {
    attempt.call_outcome = CallOutcome::kTimedOut;
  } else {
    attempt.call_outcome =
        head_received ? CallOutcome::kCut : CallOutcome::kLost;
  }
  return attempt;
}

std::string Caller::IssueKey(const std::string& node) const {
  httplib::Client client("http://" + node);
  client.set_connection_timeout(options_.timeout);
  client.set_read_timeout(options_.timeout);
  const auto answer = client.Post("/keys");
  if (!answer || answer->status / 100 != 2) {
    return "";
  }
  const auto json = nlohmann::json::parse(answer->body, nullptr, false);
  return json.is_object() ? json.value("key", "") : "";
}

bool Caller::MayRetry(const CallRecord& record, bool keyed) const {
  if (static_cast<int>(record.attempts.size()) >= options_.max_attempts) {
    return false;
  }
  switch (record.final().call_outcome) {
    case CallOutcome::kNotRun:
    case CallOutcome::kNotConnected:
      return true;
    case CallOutcome::kUnknown:
    case CallOutcome::kLost:
    case CallOutcome::kCut:
    case CallOutcome::kTimedOut:
      return keyed;
    case CallOutcome::kDone:
    case CallOutcome::kUnlabelled:
      return false;
  }
  return false;
}

}  // namespace baobab::load
