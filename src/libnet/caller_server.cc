#include "libnet/caller_server.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include <fmt/format.h>

#include "libnet/caller_http.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

using namespace std::chrono_literals;

// How often a waiting thread checks whether its caller has disconnected.
constexpr auto kAbandonCheckInterval = 250ms;

// Larger answers are not stored for the idempotency key of their request.
constexpr std::size_t kMaxStoredBodyBytes = 64 << 10;

int StatusOf(const Respond& respond, bool timed_out) {
  switch (respond.reason) {
    case Reason::kKeyInProgress:
    case Reason::kKeyAlreadyRun:
      return 409;
    case Reason::kKeyUnresolved:
      return 502;
    default:
      break;
  }
  if (respond.outcome != Outcome::kNotRun) {
    return timed_out ? 504 : 502;
  }
  switch (respond.reason) {
    case Reason::kOverLimit:
    case Reason::kOverQuota:
      return 429;
    case Reason::kUnknownQueue:
      return 404;
    case Reason::kBadKey:
      return 400;
    default:
      return 503;
  }
}

RequestId RequestIdOf(const RequestDecision& decision) {
  return std::visit(
      [](const auto& it) {
        if constexpr (requires { it.attempt; }) {
          return it.attempt.request;
        } else {
          return it.id;
        }
      },
      decision);
}

HttpResponse MakeRefusal(Reason reason) {
  HttpResponse answer =
      MakeNodeResponse(503, Outcome::kNotRun, ToString(reason),
                       "the node cannot take the request now");
  answer.headers.push_back({"Retry-After", "1"});
  return answer;
}

bool IsIdempotent(const HttpRequest& request) {
  return request.method == "GET" || request.method == "HEAD" ||
         request.method == "PUT" || request.method == "DELETE" ||
         FindHeader(request.headers, "Baobab-Idempotent") == "true";
}

StoredAnswer ToStoredAnswer(const HttpResponse& answer) {
  if (answer.body.size() > kMaxStoredBodyBytes) {
    return {};
  }
  return {answer.status,
          std::string(FindHeader(answer.headers, "Content-Type")), answer.body};
}

/** Parsed target of a request to /call/{queue}. */
struct CallTarget {
  QueueId queue;
  /** Path and query to send to the minion. */
  std::string target;
};

std::optional<CallTarget> ParseCallTarget(std::string_view target) {
  constexpr std::string_view kPrefix = "/call/";
  if (!target.starts_with(kPrefix)) {
    return std::nullopt;
  }
  target.remove_prefix(kPrefix.size());
  const std::size_t end = target.find_first_of("/?");
  CallTarget call{QueueId(std::string(target.substr(0, end))), "/"};
  if (end != std::string_view::npos) {
    call.target = target.substr(end);
    if (call.target.front() == '?') {
      call.target.insert(0, "/");
    }
  }
  return call;
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(CallerServerOptions options,
       BackendClient& backend,
       Metrics& metrics,
       PostEvent post,
       std::function<bool()> is_ready)
      : options_(std::move(options)),
        backend_(backend),
        metrics_(metrics),
        post_(std::move(post)),
        is_ready_(std::move(is_ready)),
        http_(options_,
              metrics_,
              [this](const HttpRequest& request,
                     const CallerConnection& connection) {
                return Handle(request, connection);
              }) {}

  Result<void> Start() { return http_.Start(); }
  int port() const { return http_.port(); }
  void AnnounceStop() { stop_announced_ = true; }
  void Stop() {
    stop_announced_ = true;
    stopping_ = true;
    http_.Stop();
  }

  void Execute(RequestDecision decision) {
    const RequestId id = RequestIdOf(decision);
    {
      const std::lock_guard lock(mutex_);
      if (const auto it = pending_requests_.find(id);
          it != pending_requests_.end()) {
        it->second->decisions.push_back(std::move(decision));
        it->second->changed.notify_one();
        return;
      }
    }
    metrics_.Count("front_late_decisions");
    if (const auto* start = std::get_if<StartAttempt>(&decision)) {
      // The request's thread has given up, so the attempt is not sent.
      post_(AttemptFinished{
          start->attempt, start->minion, AttemptResult::kNotSent, false, {}});
    }
  }

 private:
  /** Decisions for a request whose thread waits for them. */
  struct PendingRequest {
    std::condition_variable changed;
    std::deque<RequestDecision> decisions;
  };

  /** Registers a pending request for the lifetime of the object. */
  class Registration {
   public:
    Registration(Impl& server, const CallerConnection& connection)
        : server_(server), fd_(connection.fd) {
      const std::lock_guard lock(server_.mutex_);
      id_ = RequestId(server_.next_id_++);
      server_.pending_requests_[id_] = &pending_;
    }
    ~Registration() { Remove(); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

    RequestId id() const { return id_; }

    /** Waits for the next decision. After the decision timeout, returns nullopt
     * and unregisters the request. Posts RequestAbandoned if the caller
     * disconnects or the wait times out. */
    std::optional<RequestDecision> WaitForDecision() {
      const SocketTime deadline =
          SocketClock::now() + server_.options_.decision_timeout;
      std::unique_lock lock(server_.mutex_);
      while (pending_.decisions.empty()) {
        if (SocketClock::now() >= deadline) {
          server_.pending_requests_.erase(id_);
          lock.unlock();
          server_.post_(RequestAbandoned{id_});
          return std::nullopt;
        }
        pending_.changed.wait_for(lock, kAbandonCheckInterval);
        if (pending_.decisions.empty() && !abandoned_ && IsClosedByPeer(fd_)) {
          abandoned_ = true;
          server_.metrics_.Count("front_abandoned");
          lock.unlock();
          server_.post_(RequestAbandoned{id_});
          lock.lock();
        }
      }
      RequestDecision decision = std::move(pending_.decisions.front());
      pending_.decisions.pop_front();
      return decision;
    }

   private:
    void Remove() {
      const std::lock_guard lock(server_.mutex_);
      server_.pending_requests_.erase(id_);
    }

    Impl& server_;
    int fd_;
    RequestId id_;
    PendingRequest pending_;
    bool abandoned_ = false;
  };

  /** Thread allotted to a request of a queue. A queue may hold at most as many
   * threads as are free, so that a flood on one queue leaves half of the
   * threads to the others, floods on two queues a third, and so on. */
  class ThreadShare {
   public:
    ThreadShare(Impl& server, const QueueId& queue)
        : server_(server), queue_(queue) {
      const std::lock_guard lock(server_.mutex_);
      const int free = server_.options_.threads - server_.threads_held_;
      const auto it = server_.threads_by_queue_.find(queue_);
      granted_ =
          (it == server_.threads_by_queue_.end() ? 0 : it->second) < free;
      if (granted_) {
        ++server_.threads_by_queue_[queue_];
        ++server_.threads_held_;
      }
    }
    ~ThreadShare() {
      if (!granted_) {
        return;
      }
      const std::lock_guard lock(server_.mutex_);
      --server_.threads_held_;
      const auto it = server_.threads_by_queue_.find(queue_);
      if (--it->second == 0) {
        server_.threads_by_queue_.erase(it);
      }
    }
    ThreadShare(const ThreadShare&) = delete;
    ThreadShare& operator=(const ThreadShare&) = delete;

    bool granted() const { return granted_; }

   private:
    Impl& server_;
    QueueId queue_;
    bool granted_ = false;
  };

  std::string FormatRequestId(RequestId id) const {
    return fmt::format("{}-{}-{}", options_.node.value(),
                       options_.incarnation.value(), id.value());
  }

  HttpResponse Handle(const HttpRequest& request,
                      const CallerConnection& connection) {
    if (request.target == "/healthz") {
      const bool ready = !stop_announced_ && is_ready_();
      HttpResponse answer;
      answer.status = ready ? 200 : 503;
      answer.headers = {{"Content-Type", "text/plain"}};
      answer.body = ready ? "ready\n" : "not ready\n";
      return answer;
    }
    if (stopping_) {
      return MakeRefusal(Reason::kStopping);
    }
    if (connection.refuse) {
      metrics_.Count("front_refused_no_thread");
      return MakeRefusal(Reason::kBacklogFull);
    }
    if (request.target == "/keys" && request.method == "POST") {
      return IssueKeyFor(connection);
    }
    if (const auto call = ParseCallTarget(request.target)) {
      const ThreadShare share(*this, call->queue);
      if (!share.granted()) {
        metrics_.Count("front_refused_thread_share");
        return MakeRefusal(Reason::kBacklogFull);
      }
      return RunRequest(request, *call, connection);
    }
    return MakeNodeResponse(404, Outcome::kNotRun, "unknown-path",
                            "use /call/{queue}/{path}, /keys or /healthz");
  }

  HttpResponse IssueKeyFor(const CallerConnection& connection) {
    Registration registration(*this, connection);
    post_(KeyRequested{registration.id()});
    const auto decision = registration.WaitForDecision();
    if (decision) {
      if (const auto* issued = std::get_if<IssueKey>(&*decision)) {
        HttpResponse answer;
        answer.status = 201;
        answer.headers = {{"Content-Type", "application/json"},
                          {"Idempotency-Key", issued->key}};
        answer.body = fmt::format("{{\"key\":\"{}\"}}\n", issued->key);
        return answer;
      }
      if (const auto* respond = std::get_if<Respond>(&*decision)) {
        return ToAnswer(*respond, false);
      }
    }
    return MakeRefusal(Reason::kNone);
  }

  HttpResponse RunRequest(const HttpRequest& request,
                          const CallTarget& call,
                          const CallerConnection& connection) {
    const SocketTime arrived = SocketClock::now();
    HttpRequest forwarded{request.method, call.target,
                          EndToEndHeaders(request.headers), request.body};
    const bool idempotent = IsIdempotent(request);
    const std::string key(FindHeader(request.headers, "Idempotency-Key"));

    Registration registration(*this, connection);
    post_(
        RequestArrived{registration.id(), call.queue, idempotent, key,
                       Bytes(static_cast<std::int64_t>(request.body.size()))});
    std::optional<AttemptId> answered_attempt;
    BackendResult last_result;
    bool started = false;
    while (true) {
      const auto decision = registration.WaitForDecision();
      if (!decision) {
        metrics_.Count("front_decision_timeouts");
        const Outcome outcome = started ? Outcome::kUnknown : Outcome::kNotRun;
        return FinishAnswer(
            registration.id(), outcome,
            ToAnswer({registration.id(), outcome, Reason::kNone, {}}, false));
      }
      if (const auto* start = std::get_if<StartAttempt>(&*decision)) {
        if (!started) {
          metrics_.Observe("start_seconds", Seconds(arrived));
        }
        started = true;
        last_result = backend_.Call(start->address,
                                    FormatRequestId(registration.id()) + "-" +
                                        std::to_string(start->attempt.number),
                                    forwarded, idempotent, start->timeout);
        answered_attempt.reset();
        if (last_result.result == AttemptResult::kAnswered) {
          answered_attempt = start->attempt;
        }
        CountAttempt(last_result, *start);
        const bool store = answered_attempt && !key.empty();
        post_(AttemptFinished{
            start->attempt, start->minion, last_result.result,
            last_result.leaving,
            store ? ToStoredAnswer(last_result.answer) : StoredAnswer{}});
        continue;
      }
      metrics_.Observe("request_seconds", Seconds(arrived));
      if (const auto* deliver = std::get_if<DeliverAnswer>(&*decision)) {
        if (answered_attempt == deliver->attempt) {
          return FinishAnswer(
              registration.id(), Outcome::kDone,
              ForwardAnswer(std::move(last_result.answer), request.method));
        }
        metrics_.Count("front_answer_mismatches");
        Log(LogLevel::kError, "front",
            "request {}: no answer of attempt {} to deliver",
            FormatRequestId(registration.id()), deliver->attempt.number);
        return FinishAnswer(
            registration.id(), Outcome::kUnknown,
            ToAnswer(
                {registration.id(), Outcome::kUnknown, Reason::kAnswerLost, {}},
                false));
      }
      if (const auto* stored = std::get_if<DeliverStoredAnswer>(&*decision)) {
        HttpResponse answer;
        answer.status = stored->answer.status;
        if (!stored->answer.content_type.empty()) {
          answer.headers = {{"Content-Type", stored->answer.content_type}};
        }
        answer.body = stored->answer.body;
        return FinishAnswer(registration.id(), Outcome::kDone,
                            std::move(answer));
      }
      if (const auto* respond = std::get_if<Respond>(&*decision)) {
        return FinishAnswer(registration.id(), respond->outcome,
                            ToAnswer(*respond, last_result.timed_out));
      }
    }
  }

  void CountAttempt(const BackendResult& result, const StartAttempt& start) {
    switch (result.result) {
      case AttemptResult::kAnswered:
        metrics_.Count("attempts_answered");
        return;
      case AttemptResult::kNotSent:
        metrics_.Count("attempts_not_sent");
        break;
      case AttemptResult::kRefused:
        metrics_.Count("attempts_refused");
        break;
      case AttemptResult::kUnknown:
        metrics_.Count("attempts_unknown");
        break;
    }
    Log(LogLevel::kInfo, "backend", "request {}-{} at {} ({}): {}",
        FormatRequestId(start.attempt.request), start.attempt.number,
        start.minion.value(), start.address, result.error);
  }

  static double Seconds(SocketTime since) {
    return std::chrono::duration<double>(SocketClock::now() - since).count();
  }

  static HttpResponse ForwardAnswer(HttpResponse answer,
                                    const std::string& method) {
    HttpHeaders headers = EndToEndHeaders(answer.headers);
    if (method == "HEAD") {
      const std::string_view length =
          FindHeader(answer.headers, "Content-Length");
      if (!length.empty()) {
        headers.push_back({"Content-Length", std::string(length)});
      }
    }
    answer.headers = std::move(headers);
    return answer;
  }

  HttpResponse ToAnswer(const Respond& respond, bool timed_out) const {
    HttpResponse answer = MakeNodeResponse(
        StatusOf(respond, timed_out), respond.outcome, ToString(respond.reason),
        "the node answers for the minion");
    if (respond.retry_after > Duration(0)) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(respond.retry_after);
      answer.headers.push_back(
          {"Retry-After", std::to_string(seconds.count())});
    } else if (answer.status == 503) {
      answer.headers.push_back({"Retry-After", "1"});
    }
    return answer;
  }

  /** Adds the headers that report the outcome to the caller, and counts it. */
  HttpResponse FinishAnswer(RequestId id,
                            Outcome outcome,
                            HttpResponse answer) {
    if (FindHeader(answer.headers, "Baobab-Outcome").empty()) {
      answer.headers.push_back(
          {"Baobab-Outcome", std::string(ToString(outcome))});
    }
    answer.headers.push_back({"Baobab-Request", FormatRequestId(id)});
    switch (outcome) {
      case Outcome::kDone:
        metrics_.Count("outcome_done");
        break;
      case Outcome::kNotRun:
        metrics_.Count("outcome_not_run");
        break;
      case Outcome::kUnknown:
        metrics_.Count("outcome_unknown");
        break;
    }
    return answer;
  }

  const CallerServerOptions options_;
  BackendClient& backend_;
  Metrics& metrics_;
  const PostEvent post_;
  const std::function<bool()> is_ready_;
  std::atomic<bool> stop_announced_ = false;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, PendingRequest*> pending_requests_;
  std::map<QueueId, int> threads_by_queue_;
  int threads_held_ = 0;
  /** Declared last, so that its threads end before the members they use are
   * destroyed. */
  CallerHttp http_;
};

CallerServer::CallerServer(CallerServerOptions options,
                           BackendClient& backend,
                           Metrics& metrics,
                           PostEvent post,
                           std::function<bool()> is_ready)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   backend,
                                   metrics,
                                   std::move(post),
                                   std::move(is_ready))) {}

CallerServer::~CallerServer() {
  Stop();
}

Result<void> CallerServer::Start() {
  return impl_->Start();
}

int CallerServer::port() const {
  return impl_->port();
}

void CallerServer::Execute(RequestDecision decision) {
  impl_->Execute(std::move(decision));
}

void CallerServer::AnnounceStop() {
  impl_->AnnounceStop();
}

void CallerServer::Stop() {
  impl_->Stop();
}

}  // namespace baobab
