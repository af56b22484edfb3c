#ifndef SRC_LIBNET_ASYNC_HTTP_CLIENT_H_
#define SRC_LIBNET_ASYNC_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "libnet/http_call.h"

namespace baobab {

/** Calls over kept HTTP/1.1 connections on one event loop. Each call has a
 * deadline, since an open connection may go silent without a reset. */
class AsyncHttpClient {
 public:
  using Callback = std::function<void(tl::expected<HttpResponse, CallFailure>)>;

  struct Counters {
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };

  explicit AsyncHttpClient(boost::asio::io_context& loop);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /** Which connections a call may use. */
  struct Channel {
    /** Calls share connections only with calls of the same name. */
    std::string name;
    /** Fails as not sent if there is no open connection. */
    bool reuse_only = false;
  };

  /** Calls "ip:port" and runs `done` on the loop, exactly once and never
   * before Call returns. A call is not repeated. */
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
};

}  // namespace baobab

#endif  // SRC_LIBNET_ASYNC_HTTP_CLIENT_H_
