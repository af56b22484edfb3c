#include "libnet/backend_client.h"

#include <poll.h>

#include <algorithm>

namespace baobab {
namespace {

constexpr std::string_view kRequestHeader = "Baobab-Request";
constexpr std::string_view kRefusedHeader = "Baobab-Refused";
constexpr std::string_view kLeavingHeader = "Baobab-Leaving";

// An idle connection is readable only if it was closed or has received late
// bytes of an earlier response; in both cases it must not be reused.
bool HasNoPendingInput(int fd) {
  pollfd poll_fd{fd, POLLIN | POLLRDHUP, 0};
  return ::poll(&poll_fd, 1, 0) == 0;
}

BackendResult FromFailure(const CallFailure& failure) {
  BackendResult result;
  result.result =
      failure.not_sent ? AttemptResult::kNotSent : AttemptResult::kUnknown;
  result.timed_out = failure.timed_out;
  result.error = failure.message;
  return result;
}

BackendResult FromAnswer(HttpResponse answer, const std::string& attempt_id) {
  BackendResult result;
  if (FindHeader(answer.headers, kRequestHeader) != attempt_id) {
    result.error = "the answer does not echo the request";
    return result;
  }
  result.leaving = FindHeader(answer.headers, kLeavingHeader) == "1";
  if (answer.status == 503 &&
      FindHeader(answer.headers, kRefusedHeader) == "1") {
    result.result = AttemptResult::kRefused;
    result.error = "the minion refused";
    return result;
  }
  result.result = AttemptResult::kAnswered;
  result.answer = std::move(answer);
  return result;
}

}  // namespace

BackendResult BackendClient::Call(const std::string& address,
                                  const std::string& attempt_id,
                                  const HttpRequest& request,
                                  bool idempotent,
                                  Duration timeout) {
  const SocketTime now = SocketClock::now();
  const SocketTime deadline = now + timeout;
  UniqueFd fd;
  if (idempotent) {
    fd = TakeIdle(address);
  }
  if (!fd.valid()) {
    const auto endpoint = ParseEndpoint(address);
    if (!endpoint) {
      return FromFailure({true, false, ToString(endpoint.error())});
    }
    auto connected =
        ConnectTcp(*endpoint, std::min(deadline, now + kConnectTimeout));
    if (!connected) {
      metrics_.Count("backend_connect_failures");
      return FromFailure({true, false, ToString(connected.error())});
    }
    metrics_.Count("backend_connections");
    fd = std::move(*connected);
  }

  HttpHeaders headers = {{std::string(kRequestHeader), attempt_id}};
  if (FindHeader(request.headers, "Host").empty()) {
    headers.push_back({"Host", address});
  }
  HttpCall call(std::move(fd), deadline);
  auto answer = call.Run(request, headers);
  if (!answer) {
    return FromFailure(answer.error());
  }
  BackendResult result = FromAnswer(std::move(*answer), attempt_id);
  if (result.result == AttemptResult::kUnknown) {
    // Possibly the response to another request, so drop the connection.
    metrics_.Count("backend_wrong_echoes");
    return result;
  }
  if (UniqueFd reusable = call.TakeReusable(); reusable.valid()) {
    AddIdle(address, std::move(reusable));
  }
  return result;
}

void BackendClient::CloseIdle() {
  const SocketTime oldest = SocketClock::now() - kMaxIdleTime;
  const std::lock_guard lock(mutex_);
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second,
                  [&](const Idle& idle) { return idle.since < oldest; });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

std::size_t BackendClient::idle_connections() const {
  const std::lock_guard lock(mutex_);
  std::size_t n = 0;
  for (const auto& [address, connections] : idle_) {
    n += connections.size();
  }
  return n;
}

UniqueFd BackendClient::TakeIdle(const std::string& address) {
  const SocketTime oldest = SocketClock::now() - kMaxIdleTime;
  const std::lock_guard lock(mutex_);
  const auto it = idle_.find(address);
  if (it == idle_.end()) {
    return {};
  }
  while (!it->second.empty()) {
    Idle idle = std::move(it->second.back());
    it->second.pop_back();
    if (idle.since >= oldest && HasNoPendingInput(idle.fd.get())) {
      return std::move(idle.fd);
    }
  }
  return {};
}

void BackendClient::AddIdle(const std::string& address, UniqueFd fd) {
  // A node uses at most one connection per slot, with 8 slots per minion.
  constexpr auto kMaxIdlePerMinion =
      static_cast<std::size_t>(kSlotsPerMinion.value());
  const std::lock_guard lock(mutex_);
  std::vector<Idle>& pool = idle_[address];
  if (pool.size() < kMaxIdlePerMinion) {
    pool.push_back({std::move(fd), SocketClock::now()});
  }
}

}  // namespace baobab
