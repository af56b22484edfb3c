#ifndef SRC_LIBNET_ASYNC_HTTP_SERVER_H_
#define SRC_LIBNET_ASYNC_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "libbase/base.h"
#include "libnet/http_call.h"

namespace baobab {

/** Size, time and connection limits of an AsyncHttpServer. */
struct AsyncServerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  /** Time limit for a request head, from its first byte. */
  Duration header_timeout = std::chrono::milliseconds(3000);
  /** Time limit for receiving a body, and for sending a response. */
  Duration body_timeout = std::chrono::milliseconds(5000);
  /** A connection is closed after this time without a request. */
  Duration idle_timeout = std::chrono::milliseconds(15000);
  /** Connections beyond this number are closed immediately. */
  std::size_t max_connections = 3000;
};

/** HTTP/1.1 server on one event loop. Connections hold no threads, so clients
 * that stall within a request head do not delay others. */
class AsyncHttpServer {
 public:
  /** Sends the response. May be called after the handler has returned, but at
   * most once. */
  using Responder = std::function<void(HttpResponse)>;
  /** Handles one request on the loop. */
  using Handler = std::function<void(HttpRequest, Responder)>;

  AsyncHttpServer(boost::asio::io_context& loop, Handler handler);
  /** Closes all connections. The handler is not called from then on, and
   * responses that are sent later have no effect. */
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

  /** Errors: the address cannot be bound. */
  Result<void> Listen(const Endpoint& endpoint);
  /** Port in use, after Listen(). */
  int Port() const;
  void SetLimits(const AsyncServerLimits& limits);

  /** Closes each connection after its next response, and idle connections
   * immediately if `close_idle` is set. New connections are accepted until
   * Stop(). */
  void Drain(bool close_idle);
  /** Stops accepting connections; open ones are still served. */
  void Stop();
  /** Number of received requests whose response is not fully sent. */
  std::size_t InFlight() const;

 private:
  class Impl;
  /** Ends the calls of the handler by open connections, which own `impl_`. */
  CallbackGuard guard_;
  std::shared_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_ASYNC_HTTP_SERVER_H_
