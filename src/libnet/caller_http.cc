#include "libnet/caller_http.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string_view>

#include <nlohmann/json.hpp>

#include "libnet/worker_pool.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kMaxQueuedConnections = 64;

// Short, so that a refusing thread is soon free for the next connection.
constexpr auto kRefusalTimeout = std::chrono::milliseconds(300);

// Limits on reading and discarding the rest of a rejected request.
constexpr std::size_t kMaxLingerBytes = 256 << 10;
constexpr auto kMaxLingerTime = std::chrono::milliseconds(500);

// Reads the rest of the request before the socket is closed: closing it with
// unread bytes resets the connection, which may destroy a response in flight.
void ShutDownAndDrain(int fd) {
  ::shutdown(fd, SHUT_WR);
  const SocketTime deadline = SocketClock::now() + kMaxLingerTime;
  std::size_t dropped = 0;
  char buf[4096];
  while (dropped < kMaxLingerBytes && WaitSocket(fd, POLLIN, deadline)) {
    const ssize_t n = ::recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    if (n <= 0) {
      return;
    }
    dropped += static_cast<std::size_t>(n);
  }
}

// Waits for the first bytes of a request. Polls in short steps, so that `stop`
// takes effect soon.
bool WaitForRequest(int fd, Duration timeout, const std::atomic<bool>& stop) {
  constexpr auto kStep = std::chrono::milliseconds(250);
  const SocketTime deadline = SocketClock::now() + timeout;
  while (!stop && SocketClock::now() < deadline) {
    if (WaitSocket(fd, POLLIN,
                   std::min(deadline, SocketClock::now() + kStep))) {
      return true;
    }
  }
  return WaitSocket(fd, POLLIN, SocketClock::now());
}

}  // namespace

thread_local CallerHttp::Exchange* CallerHttp::current_exchange = nullptr;

HttpResponse MakeNodeResponse(int status,
                              Outcome outcome,
                              std::string_view reason,
                              std::string_view message) {
  const nlohmann::json body = {
      {"outcome", ToString(outcome)}, {"reason", reason}, {"message", message}};
  HttpResponse answer;
  answer.status = status;
  answer.headers = {{"Content-Type", "application/json"},
                    {"Baobab-Outcome", std::string(ToString(outcome))},
                    {"Baobab-Reason", std::string(reason)}};
  answer.body = body.dump() + "\n";
  return answer;
}

CallerHttp::CallerHttp(const CallerServerOptions& options,
                       Metrics& metrics,
                       Handler handler)
    : options_(options), metrics_(metrics), handler_(std::move(handler)) {
  new_task_queue = [this] {
    return new WorkerPool(
        static_cast<std::size_t>(options_.threads + options_.refusing_threads),
        kMaxQueuedConnections);
  };
  // ReadHead() changes the method to POST for requests with a body, otherwise
  // to GET or HEAD.
  Post(".*", [this](const httplib::Request&, httplib::Response& response,
                    const httplib::ContentReader& reader) {
    ReadBody(*current_exchange, reader);
    Answer(*current_exchange, response);
  });
  Get(".*", [this](const httplib::Request&, httplib::Response& response) {
    Answer(*current_exchange, response);
  });
  set_post_routing_handler(
      [this](const httplib::Request& raw, httplib::Response& response) {
        WriteHeaders(raw, response);
      });
}

Result<void> CallerHttp::Start() {
  int listen_fd = -1;
  set_socket_options([&](socket_t sock) {
    listen_fd = sock;
    // cpp-httplib's default, SO_REUSEPORT, lets two processes share a port.
    const int on = 1;
    ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  errno = 0;
  const Endpoint& endpoint = options_.endpoint;
  port_ = endpoint.port;
  const bool bound = port_ == 0 ? (port_ = bind_to_any_port(endpoint.ip)) > 0
                                : bind_to_port(endpoint.ip, port_);
  // cpp-httplib's backlog of 5 drops connections of simultaneous callers.
  if (!bound || ::listen(listen_fd, kBacklog) != 0) {
    return tl::make_unexpected(
        Error{"listen for callers", ToString(endpoint),
              errno != 0 ? std::strerror(errno) : "cannot bind the address"});
  }
  set_socket_options(nullptr);
  thread_ = std::thread([this] { listen_after_bind(); });
  while (!is_running()) {
    std::this_thread::yield();
  }
  return {};
}

void CallerHttp::Stop() {
  stopping_ = true;
  if (thread_.joinable()) {
    stop();
    thread_.join();
  }
}

bool CallerHttp::process_and_close_socket(socket_t sock) {
  const UniqueFd fd(sock);
  const int busy = ++busy_threads_;
  const CallerConnection connection{sock, busy > options_.threads};
  SocketStream stream(sock, SocketClock::now());
  const int on = 1;
  ::setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const Duration idle_timeout =
      connection.refuse ? kRefusalTimeout : options_.idle_timeout;
  while (stream.has_unread() || WaitForRequest(sock, idle_timeout, stopping_)) {
    if (!ServeRequest(stream, connection) || stopping_) {
      break;
    }
  }
  --busy_threads_;
  return true;
}

bool CallerHttp::ServeRequest(SocketStream& stream,
                              const CallerConnection& connection) {
  stream.set_deadline(SocketClock::now() + (connection.refuse
                                                ? Duration(kRefusalTimeout)
                                                : options_.read_timeout));
  stream.StartHeadCapture();
  Exchange exchange;
  exchange.connection = connection;
  exchange.stream = &stream;
  // An idle connection holds a thread, so connections are not kept open while
  // more than half of the threads are busy.
  exchange.close =
      connection.refuse || stopping_ || busy_threads_ > options_.threads / 2;
  current_exchange = &exchange;
  bool closed = false;
  const bool ok = process_request(stream, exchange.close, closed,
                                  [&](httplib::Request& raw) {
                                    exchange.raw = &raw;
                                    ReadHead(exchange);
                                  });
  current_exchange = nullptr;
  if (ok && (exchange.raw == nullptr || exchange.rejection)) {
    ShutDownAndDrain(connection.fd);
    return false;
  }
  return ok && !closed && !exchange.close;
}

void CallerHttp::RejectRequest(Exchange& exchange,
                               int status,
                               const std::string& message) {
  metrics_.Count("front_bad_requests");
  exchange.rejection =
      MakeNodeResponse(status, Outcome::kNotRun, "bad-request", message);
  exchange.close = true;
  exchange.raw->headers.clear();
  // cpp-httplib reads this request header when it writes the response.
  exchange.raw->headers.emplace("Connection", "close");
}

void CallerHttp::ReadHead(Exchange& exchange) {
  httplib::Request& raw = *exchange.raw;
  HttpRequest& request = exchange.request;
  request.method = raw.method;
  request.target = raw.target;
  const bool is_head = raw.method == "HEAD";
  raw.method = is_head ? "HEAD" : "GET";
  raw.path = "/";
  raw.ranges.clear();
  raw.headers.clear();

  auto headers = ParseHead(exchange.stream->TakeHead());
  if (!headers) {
    return RejectRequest(exchange, 400, headers.error().message);
  }
  request.headers = std::move(*headers);
  const auto framing = ReadFraming(request.headers);
  if (!framing) {
    return RejectRequest(exchange, 400, framing.error().message);
  }
  exchange.framing = *framing;
  const bool has_body = framing->chunked || framing->length.value_or(0) > 0;
  if (has_body && is_head) {
    return RejectRequest(exchange, 400, "HEAD with a body");
  }
  if (!request.target.starts_with('/') || request.method == "CONNECT" ||
      request.method == "TRACE" || request.method == "PRI") {
    return RejectRequest(exchange, 400, "not a request for a path");
  }
  if (framing->length.value_or(0) >
      static_cast<std::uint64_t>(options_.max_body.value())) {
    return RejectRequest(exchange, 413, "the body is too long");
  }
  if (HasConnectionOption(request.headers, "close")) {
    exchange.close = true;
    raw.headers.emplace("Connection", "close");
  }
  if (!has_body) {
    return;
  }
  raw.method = "POST";
  if (framing->chunked) {
    raw.headers.emplace("Transfer-Encoding", "chunked");
  } else {
    raw.headers.emplace("Content-Length", std::to_string(*framing->length));
  }
  if (EqualIgnoringCase(FindHeader(request.headers, "Expect"),
                        "100-continue")) {
    raw.headers.emplace("Expect", "100-continue");
  }
}

void CallerHttp::ReadBody(Exchange& exchange,
                          const httplib::ContentReader& reader) {
  std::string& body = exchange.request.body;
  bool too_long = false;
  const bool ok = reader([&](const char* data, std::size_t size) {
    too_long = body.size() + size >
               static_cast<std::size_t>(options_.max_body.value());
    if (!too_long) {
      body.append(data, size);
    }
    return !too_long;
  });
  const auto& tail = exchange.stream->tail();
  if (too_long) {
    RejectRequest(exchange, 413, "the body is too long");
  } else if (!ok || exchange.stream->read_failed() ||
             // cpp-httplib also ends the body at a malformed chunk header.
             (exchange.framing.chunked &&
              std::string_view(tail.data(), tail.size()) != "\r\n\r\n") ||
             (exchange.framing.length &&
              *exchange.framing.length != body.size())) {
    RejectRequest(exchange, 400, "the body is not whole");
  }
}

void CallerHttp::Answer(Exchange& exchange, httplib::Response& response) {
  exchange.answer = exchange.rejection
                        ? *exchange.rejection
                        : handler_(exchange.request, exchange.connection);
  response.status = exchange.answer->status;
  response.body = std::move(exchange.answer->body);
  exchange.stream->set_deadline(SocketClock::now() + options_.write_timeout);
}

void CallerHttp::WriteHeaders(const httplib::Request& raw,
                              httplib::Response& response) {
  Exchange& exchange = *current_exchange;
  if (!exchange.answer) {
    // cpp-httplib rejected the request before calling a handler.
    metrics_.Count("front_bad_requests");
    exchange.close = true;
    response.set_header("Baobab-Outcome",
                        std::string(ToString(Outcome::kNotRun)));
    response.set_header("Baobab-Reason", "bad-request");
    response.headers.erase("Keep-Alive");
    response.headers.erase("Connection");
    response.headers.emplace("Connection", "close");
    return;
  }
  response.headers.clear();
  for (const HttpHeader& it : exchange.answer->headers) {
    response.headers.emplace(it.name, it.value);
  }
  if (exchange.close) {
    response.headers.emplace("Connection", "close");
  }
  const bool without_body = response.status == 204 || response.status == 304;
  if (raw.method != "HEAD" && !without_body) {
    response.headers.emplace("Content-Length",
                             std::to_string(response.body.size()));
  }
}

}  // namespace baobab
