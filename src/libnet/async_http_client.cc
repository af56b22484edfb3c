#include "libnet/async_http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace baobab {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

/** A reachable server accepts a connection within a few round trips. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(600);

/** Below the platform's idle timeout of 15 s, so that a connection is not
 * reused just as the server closes it. */
constexpr Duration kMaxIdleTime = std::chrono::seconds(10);

/** A connection idle for less than this time is reused without a system call to
 * check whether it is still open. If the server closed it within this time, the
 * call fails. */
constexpr Duration kMaxUncheckedIdleTime = std::chrono::milliseconds(50);

constexpr std::size_t kMaxIdlePerPool = 8;

/** While a response is arriving, each part of it extends the deadline to at
 * least this time from now: a busy node takes seconds to send a large one. */
constexpr Duration kProgressTimeout = std::chrono::milliseconds(800);

constexpr std::uint64_t kMaxResponseBytes = 16u << 20;

/** TCP_USER_TIMEOUT: closes connections with unacknowledged data after this
 * time, which in a network partition would otherwise take minutes. */
constexpr int kTcpUserTimeoutMs = 5000;

constexpr char kNoOpenConnection[] = "no open connection";

CallFailure NotSent(std::string message) {
  return {.not_sent = true, .timed_out = false, .message = std::move(message)};
}

}  // namespace

class AsyncHttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& loop) : loop_(loop), timer_(loop) {}

  void Call(const std::string& address,
            HttpRequest request,
            Duration timeout,
            const Channel& channel,
            Callback done);
  /** Drops the idle connections, which own this object. */
  void Close();
  const Counters& counters() const { return counters_; }

 private:
  class Connection;
  using Idle = std::vector<std::shared_ptr<Connection>>;

  /** Removes a usable connection from the pool; null if there is none. */
  std::shared_ptr<Connection> TakeIdle(const std::string& pool_key);
  /** Returns a connection to its pool, or drops it if the pool is full. */
  void AddIdle(std::shared_ptr<Connection> connection);
  /** Calls CheckDeadline() of the connection at `deadline`. */
  void WatchDeadline(SteadyClock::time_point deadline,
                     std::weak_ptr<Connection> connection);
  void ArmTimer();

  asio::io_context& loop_;
  /** Idle connections by pool key: address and channel name. */
  std::map<std::string, Idle> idle_;
  /** One timer for all calls: nearly all finish long before their deadline, and
   * a timer per call would cost two system calls. */
  asio::steady_timer timer_;
  std::multimap<SteadyClock::time_point, std::weak_ptr<Connection>> deadlines_;
  /** Expiry of `timer_`; max() if it is not running. */
  SteadyClock::time_point armed_for_ = SteadyClock::time_point::max();
  Counters counters_;
  bool closed_ = false;
};

class AsyncHttpClient::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Impl> client,
             std::string address,
             std::string pool_key)
      : client_(std::move(client)),
        address_(std::move(address)),
        pool_key_(std::move(pool_key)),
        socket_(client_->loop_) {}

  /** Key of the idle pool of this connection. */
  const std::string& pool_key() const { return pool_key_; }

  /** Returns false if the connection was idle for too long, was closed by the
   * server, or has received unsolicited bytes. */
  bool IsReusable() const {
    const auto idle = SteadyClock::now() - idle_since_;
    if (idle > kMaxIdleTime) {
      return false;
    }
    if (idle < kMaxUncheckedIdleTime) {
      return true;
    }
    char byte = 0;
    const auto n = ::recv(const_cast<tcp::socket&>(socket_).native_handle(),
                          &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Connect(const tcp::endpoint& endpoint,
               HttpRequest request,
               Duration timeout,
               Callback done) {
    PrepareRequest(std::move(request), std::move(done));
    timeout_ = timeout;
    SetDeadline(std::min(timeout, kConnectTimeout));
    socket_.async_connect(
        endpoint, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Fail(NotSent("connect: " + error.message()));
            return;
          }
          self->SetOptions();
          self->Send(self->timeout_);
        });
  }

  /** Closes the socket if the call is overdue. Its pending operation then
   * fails, which reports the failure. */
  void CheckDeadline(SteadyClock::time_point now) {
    if (done_ && deadline_ <= now) {
      timed_out_ = true;
      Close();
    }
  }

  void Reuse(HttpRequest request, Duration timeout, Callback done) {
    PrepareRequest(std::move(request), std::move(done));
    Send(timeout);
  }

 private:
  void PrepareRequest(HttpRequest request, Callback done) {
    done_ = std::move(done);
    request_ = {};
    request_.version(11);
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, address_);
    for (const auto& it : request.headers) {
      request_.set(it.name, it.value);
    }
    if (!request.body.empty()) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.body() = std::move(request.body);
    request_.prepare_payload();
    timed_out_ = false;
  }

  void SetOptions() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    const int ms = kTcpUserTimeoutMs;
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
                 sizeof(ms));
  }

  void Send(Duration timeout) {
    SetDeadline(timeout);
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    http::async_write(
        socket_, request_,
        [self = shared_from_this()](const error_code& error, std::size_t n) {
          self->client_->counters_.bytes_sent += n;
          if (error) {
            self->Fail({.not_sent = false,
                        .timed_out = self->timed_out_,
                        .message = "send: " + error.message()});
            return;
          }
          self->Receive();
        });
  }

  void Receive() {
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t n) {
          self->client_->counters_.bytes_received += n;
          if (error) {
            self->Fail({.not_sent = false,
                        .timed_out = self->timed_out_,
                        .message = "receive: " + error.message()});
          } else if (self->parser_->is_done()) {
            self->Succeed();
          } else {
            self->deadline_ = std::max(self->deadline_,
                                       SteadyClock::now() + kProgressTimeout);
            self->client_->WatchDeadline(self->deadline_, self);
            self->Receive();
          }
        });
  }

  void Succeed() {
    deadline_ = SteadyClock::time_point::max();
    auto message = parser_->release();
    HttpResponse answer;
    answer.status = static_cast<int>(message.result_int());
    for (const auto& it : message) {
      answer.headers.push_back(
          {it.name_string().to_string(), it.value().to_string()});
    }
    const bool reusable =
        message.keep_alive() && !message.need_eof() && buffer_.size() == 0;
    answer.body = std::move(message.body());
    auto done = std::exchange(done_, {});
    if (reusable) {
      idle_since_ = std::chrono::steady_clock::now();
      client_->AddIdle(shared_from_this());
    } else {
      Close();
    }
    done(std::move(answer));
  }

  void Fail(CallFailure failure) {
    deadline_ = SteadyClock::time_point::max();
    Close();
    ++client_->counters_.failures;
    if (auto done = std::exchange(done_, {})) {
      done(tl::unexpected(std::move(failure)));
    }
  }

  void SetDeadline(Duration timeout) {
    deadline_ = SteadyClock::now() + timeout;
    client_->WatchDeadline(deadline_, weak_from_this());
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
  }

  const std::shared_ptr<Impl> client_;
  const std::string address_;
  const std::string pool_key_;
  tcp::socket socket_;
  SteadyClock::time_point deadline_ = SteadyClock::time_point::max();
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Callback done_;
  Duration timeout_{0};
  bool timed_out_ = false;
  std::chrono::steady_clock::time_point idle_since_;
};

std::shared_ptr<AsyncHttpClient::Impl::Connection>
AsyncHttpClient::Impl::TakeIdle(const std::string& pool_key) {
  const auto found = idle_.find(pool_key);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
  }
  idle_.erase(found);
  return nullptr;
}

void AsyncHttpClient::Impl::AddIdle(std::shared_ptr<Connection> connection) {
  if (closed_) {
    return;
  }
  auto& connections = idle_[connection->pool_key()];
  if (connections.size() < kMaxIdlePerPool) {
    connections.push_back(std::move(connection));
  }
}

void AsyncHttpClient::Impl::Close() {
  closed_ = true;
  idle_.clear();
}

void AsyncHttpClient::Impl::WatchDeadline(
    SteadyClock::time_point deadline,
    std::weak_ptr<Connection> connection) {
  deadlines_.emplace(deadline, std::move(connection));
  if (deadline < armed_for_) {
    ArmTimer();
  }
}

void AsyncHttpClient::Impl::ArmTimer() {
  armed_for_ = deadlines_.begin()->first;
  timer_.expires_at(armed_for_);
  timer_.async_wait([weak = weak_from_this()](const error_code& error) {
    const auto self = weak.lock();
    if (error || !self) {
      return;
    }
    const auto now = SteadyClock::now();
    while (!self->deadlines_.empty() &&
           self->deadlines_.begin()->first <= now) {
      const auto connection = self->deadlines_.begin()->second.lock();
      self->deadlines_.erase(self->deadlines_.begin());
      if (connection) {
        connection->CheckDeadline(now);
      }
    }
    self->armed_for_ = SteadyClock::time_point::max();
    if (!self->deadlines_.empty()) {
      self->ArmTimer();
    }
  });
}

void AsyncHttpClient::Impl::Call(const std::string& address,
                                 HttpRequest request,
                                 Duration timeout,
                                 const Channel& channel,
                                 Callback done) {
  ++counters_.calls;
  const std::string pool_key = address + '#' + channel.name;
  if (auto connection = TakeIdle(pool_key)) {
    connection->Reuse(std::move(request), timeout, std::move(done));
    return;
  }
  const auto fail = [&](std::string message) {
    asio::post(loop_, [done = std::move(done), message = std::move(message)] {
      done(tl::unexpected(NotSent(message)));
    });
  };
  if (channel.reuse_only) {
    fail(kNoOpenConnection);
    return;
  }
  const auto endpoint = ParseEndpoint(address);
  error_code error;
  const auto ip = endpoint ? asio::ip::make_address(endpoint->ip, error)
                           : asio::ip::address();
  if (!endpoint || error) {
    fail("no address: " + address);
    return;
  }
  ++counters_.connections;
  auto connection =
      std::make_shared<Connection>(shared_from_this(), address, pool_key);
  connection->Connect(
      tcp::endpoint(ip, static_cast<unsigned short>(endpoint->port)),
      std::move(request), timeout, std::move(done));
}

AsyncHttpClient::AsyncHttpClient(asio::io_context& loop)
    : impl_(std::make_shared<Impl>(loop)) {}

AsyncHttpClient::~AsyncHttpClient() {
  impl_->Close();
}

void AsyncHttpClient::Call(const std::string& address,
                           HttpRequest request,
                           Duration timeout,
                           Callback done) {
  Call(address, std::move(request), timeout, {}, std::move(done));
}

void AsyncHttpClient::Call(const std::string& address,
                           HttpRequest request,
                           Duration timeout,
                           const Channel& channel,
                           Callback done) {
  impl_->Call(address, std::move(request), timeout, channel,
              guard_.Bind(std::move(done)));
}

const AsyncHttpClient::Counters& AsyncHttpClient::counters() const {
  return impl_->counters();
}

}  // namespace baobab
