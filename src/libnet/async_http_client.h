#ifndef SRC_LIBNET_ASYNC_HTTP_CLIENT_H_
#define SRC_LIBNET_ASYNC_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "libbase/base.h"
#include "libnet/http_call.h"

namespace baobab {

/** HTTP/1.1 client with persistent connections on one event loop. Each call
 * has a timeout, since a connection may go silent without a reset. */
class AsyncHttpClient {
 public:
  /** Receives the response, or why there is none. */
  using Callback = std::function<void(tl::expected<HttpResponse, CallFailure>)>;

  /** Totals since the client was created. */
  struct Counters {
    std::uint64_t calls = 0;
    /** Connection attempts. */
    std::uint64_t connections = 0;
    /** Calls that failed after a connection was attempted or reused. */
    std::uint64_t failures = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };

  explicit AsyncHttpClient(boost::asio::io_context& loop);
  /** Closes idle connections. Calls in flight end without their callback. */
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /** Selects the connections a call may use. */
  struct Channel {
    /** Connections are shared only by calls with the same channel name. */
    std::string name;
    /** If there is no open connection, the call fails with `not_sent` instead
     * of opening one. */
    bool reuse_only = false;
  };

  /** Sends the request to "ip:port" and invokes `done` on the loop, exactly
   * once and never before Call() returns. A failed call is not retried. */
  void Call(const std::string& address,
            HttpRequest request,
            Duration timeout,
            Callback done);
  void Call(const std::string& address,
            HttpRequest request,
            Duration timeout,
            const Channel& channel,
            Callback done);

  const Counters& counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
  CallbackGuard guard_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_ASYNC_HTTP_CLIENT_H_
