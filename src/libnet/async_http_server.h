#ifndef SRC_LIBNET_ASYNC_HTTP_SERVER_H_
#define SRC_LIBNET_ASYNC_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "libnet/http_call.h"

namespace baobab {

struct AsyncServerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  /** Time for the head of a request once its first byte has arrived. */
  Duration header_timeout = std::chrono::milliseconds(3000);
  /** Time for a body, and for an answer to be taken by the caller. */
  Duration body_timeout = std::chrono::milliseconds(5000);
  Duration idle_timeout = std::chrono::milliseconds(15000);
  /** Further connections are closed at once. */
  std::size_t max_connections = 3000;
};

/** Serves HTTP/1.1 on one event loop. A connection costs no thread, so callers
 * that send half a head and stop do not delay others. */
class AsyncHttpServer {
 public:
  /** Sends the answer; may be called later, at most once. */
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  AsyncHttpServer(boost::asio::io_context& loop, Handler handler);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  Result<void> Listen(const Endpoint& endpoint);
  /** Port that was bound. */
  int Port() const;
  void SetLimits(const AsyncServerLimits& limits);

  /** Closes connections after their next answer, and idle ones at once when
   * `close_idle` is set. New ones are still accepted until Stop. */
  void Drain(bool close_idle);
  void Stop();
  /** Requests without a complete answer. */
  std::size_t InFlight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_ASYNC_HTTP_SERVER_H_
