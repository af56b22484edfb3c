#include "libnet/async_http_server.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace baobab {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 1024;

/** Delay after a failed accept, for example when out of descriptors. */
constexpr Duration kAcceptBackoff = std::chrono::milliseconds(50);

}  // namespace

class AsyncHttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, Handler handler)
      : loop_(loop),
        handler_(std::move(handler)),
        acceptor_(loop),
        accept_timer_(loop) {}

  Result<void> Listen(const Endpoint& endpoint);
  int Port() const { return acceptor_.local_endpoint().port(); }
  void Drain(bool close_idle);
  void Stop();
  void CloseAll();
  std::size_t InFlight() const { return in_flight_; }

  AsyncServerLimits limits;

 private:
  class Session;

  void Accept();

  asio::io_context& loop_;
  const Handler handler_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::set<Session*> sessions_;
  std::size_t in_flight_ = 0;
  bool draining_ = false;
};

class AsyncHttpServer::Impl::Session
    : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<Impl> server, tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        timer_(server_->loop_) {
    server_->sessions_.insert(this);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  ~Session() {
    server_->sessions_.erase(this);
    EndRequest();
  }

  /** Starts reading the next request. */
  void Read() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(server_->limits.max_header_bytes));
    parser_->body_limit(server_->limits.max_body_bytes);
    request_started_ = false;
    RestartTimer(server_->limits.idle_timeout);
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->OnRead(error);
        });
  }

  void CloseIfIdle() {
    if (!request_started_ && !request_pending_) {
      Close();
    }
  }

  void Close() {
    error_code ignored;
    StopTimer();
    socket_.close(ignored);
  }

 private:
  void OnRead(const error_code& error) {
    if (error) {
      RejectMalformed(error);
      return;
    }
    if (parser_->is_done()) {
      Handle();
      return;
    }
    if (!request_started_) {
      request_started_ = true;
      RestartTimer(server_->limits.header_timeout);
    }
    if (parser_->is_header_done() && !body_started_) {
      body_started_ = true;
      RestartTimer(server_->limits.body_timeout);
    }
    http::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& more, std::size_t) {
          self->OnRead(more);
        });
  }

  void RejectMalformed(const error_code& error) {
    int status = 0;
    if (error == http::error::body_limit) {
      status = 413;
    } else if (error == http::error::header_limit) {
      status = 431;
    } else if (error.category() ==
                   http::make_error_code(http::error::bad_method).category() &&
               error != http::error::end_of_stream &&
               error != http::error::partial_message) {
      status = 400;
    }
    if (status == 0) {
      Close();
      return;
    }
    close_after_answer_ = true;
    request_pending_ = true;
    ++server_->in_flight_;
    Respond({status, {}, R"({"error":"malformed request"})"});
  }

  void Handle() {
    StopTimer();
    body_started_ = false;
    request_pending_ = true;
    ++server_->in_flight_;
    auto message = parser_->release();
    close_after_answer_ = !message.keep_alive();
    HttpRequest request;
    request.method = message.method_string().to_string();
    request.target = message.target().to_string();
    for (const auto& it : message) {
      request.headers.push_back(
          {it.name_string().to_string(), it.value().to_string()});
    }
    request.body = std::move(message.body());
    server_->handler_(
        std::move(request),
        // Owns the session, which keeps the connection open until the response.
        [self = shared_from_this(),
         number = ++request_number_](HttpResponse answer) {
          if (number == self->request_number_ && self->request_pending_ &&
              !self->responding_) {
            self->Respond(std::move(answer));
          }
        });
  }

  void Respond(HttpResponse answer) {
    responding_ = true;
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(answer.status));
    for (const auto& it : answer.headers) {
      response_.set(it.name, it.value);
    }
    if (!answer.body.empty() && !response_.count(http::field::content_type)) {
      response_.set(http::field::content_type, "application/json");
    }
    response_.body() = std::move(answer.body);
    response_.keep_alive(!close_after_answer_ && !server_->draining_);
    response_.prepare_payload();
    RestartTimer(server_->limits.body_timeout);
    http::async_write(
        socket_, response_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->EndRequest();
          if (error || !self->response_.keep_alive()) {
            self->ShutDownAndClose();
            return;
          }
          self->Read();
        });
  }

  void EndRequest() {
    if (request_pending_) {
      request_pending_ = false;
      responding_ = false;
      --server_->in_flight_;
    }
  }

  void RestartTimer(Duration timeout) {
    StopTimer();
    timer_.expires_after(timeout);
    timer_.async_wait(timer_guard_.Bind([this](const error_code& error) {
      if (!error) {
        Close();
      }
    }));
  }

  /** Stops the timer, also if it is due and its handler is queued. */
  void StopTimer() {
    timer_guard_.Revoke();
    timer_.cancel();
  }

  void ShutDownAndClose() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    Close();
  }

  const std::shared_ptr<Impl> server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  CallbackGuard timer_guard_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  /** The first bytes of a request have arrived. */
  bool request_started_ = false;
  /** The head is complete and the body timeout is running. */
  bool body_started_ = false;
  /** A request was received whose response is not fully sent. */
  bool request_pending_ = false;
  /** Number of the newest request on this connection; a second response to an
   * earlier one is dropped. */
  std::uint64_t request_number_ = 0;
  /** The response is being sent. */
  bool responding_ = false;
  bool close_after_answer_ = false;
};

Result<void> AsyncHttpServer::Impl::Listen(const Endpoint& endpoint) {
  const auto fail = [&](const error_code& error) {
    return tl::unexpected(Error{"listen", ToString(endpoint), error.message()});
  };
  error_code error;
  const auto ip = asio::ip::make_address(endpoint.ip, error);
  if (error) {
    return fail(error);
  }
  const tcp::endpoint local(ip, static_cast<unsigned short>(endpoint.port));
  acceptor_.open(local.protocol(), error);
  if (error) {
    return fail(error);
  }
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(local, error);
  if (error) {
    return fail(error);
  }
  acceptor_.listen(kBacklog, error);
  if (error) {
    return fail(error);
  }
  Accept();
  return {};
}

void AsyncHttpServer::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const error_code& error, tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (error) {
          self->accept_timer_.expires_after(kAcceptBackoff);
          self->accept_timer_.async_wait([self](const error_code& stopped) {
            if (!stopped) {
              self->Accept();
            }
          });
          return;
        }
        if (self->sessions_.size() < self->limits.max_connections) {
          std::make_shared<Session>(self, std::move(socket))->Read();
        }
        self->Accept();
      });
}

void AsyncHttpServer::Impl::Drain(bool close_idle) {
  draining_ = true;
  if (close_idle) {
    for (auto* it : std::set<Session*>(sessions_)) {
      it->CloseIfIdle();
    }
  }
}

void AsyncHttpServer::Impl::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
}

void AsyncHttpServer::Impl::CloseAll() {
  Stop();
  for (auto* it : std::set<Session*>(sessions_)) {
    it->Close();
  }
}

AsyncHttpServer::AsyncHttpServer(asio::io_context& loop, Handler handler)
    : impl_(std::make_shared<Impl>(loop, guard_.Bind(std::move(handler)))) {}

AsyncHttpServer::~AsyncHttpServer() {
  impl_->CloseAll();
}

Result<void> AsyncHttpServer::Listen(const Endpoint& endpoint) {
  return impl_->Listen(endpoint);
}

int AsyncHttpServer::Port() const {
  return impl_->Port();
}

void AsyncHttpServer::SetLimits(const AsyncServerLimits& limits) {
  impl_->limits = limits;
}

void AsyncHttpServer::Drain(bool close_idle) {
  impl_->Drain(close_idle);
}

void AsyncHttpServer::Stop() {
  impl_->Stop();
}

std::size_t AsyncHttpServer::InFlight() const {
  return impl_->InFlight();
}

}  // namespace baobab
