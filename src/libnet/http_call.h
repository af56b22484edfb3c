#ifndef SRC_LIBNET_HTTP_CALL_H_
#define SRC_LIBNET_HTTP_CALL_H_

#include <string>

#include "libnet/http_headers.h"
#include "libnet/sockets.h"

namespace baobab {

/** A request to send or as received. */
struct HttpRequest {
  std::string method = "GET";
  /** Path and query, as sent on the wire. */
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/** A complete response. */
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/** Why a call returned no complete response. */
struct CallFailure {
  /** True if no byte of the request was sent. */
  bool not_sent = false;
  /** True if the deadline passed. */
  bool timed_out = false;
  std::string message;
};

/** One HTTP/1.1 request and its response on a connected socket. */
class HttpCall {
 public:
  /** Maximum size of a response body; a longer one makes the call fail. */
  static constexpr std::size_t kMaxResponseBytes = 16u << 20;

  HttpCall(UniqueFd fd, SocketTime deadline)
      : fd_(std::move(fd)), deadline_(deadline) {}

  /** Returns the response if it is complete: framed by one Content-Length or
   * by chunks including the last one. `extra_headers` are sent after those of
   * the request. Redirects are not followed. */
  tl::expected<HttpResponse, CallFailure> Run(const HttpRequest& request,
                                              const HttpHeaders& extra_headers);

  /** Releases the socket if another call may use it; otherwise returns an
   * invalid descriptor. */
  UniqueFd TakeReusable();

 private:
  UniqueFd fd_;
  SocketTime deadline_;
  bool reusable_ = false;
};

/** Opens a connection for a single call. `timeout` covers both the connect,
 * which is also limited by `connect_timeout`, and the call. */
tl::expected<HttpResponse, CallFailure> CallOnce(const Endpoint& endpoint,
                                                 const HttpRequest& request,
                                                 Duration connect_timeout,
                                                 Duration timeout);

}  // namespace baobab

#endif  // SRC_LIBNET_HTTP_CALL_H_
