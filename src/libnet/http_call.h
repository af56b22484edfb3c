#ifndef SRC_LIBNET_HTTP_CALL_H_
#define SRC_LIBNET_HTTP_CALL_H_

#include <string>

#include "libnet/http_headers.h"
#include "libnet/sockets.h"

namespace baobab {

struct HttpRequest {
  std::string method = "GET";
  /** Path and query, as sent on the wire. */
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/** Why a call brought no whole answer. */
struct CallFailure {
  /** True if no byte of the request was sent. */
  bool not_sent = false;
  bool timed_out = false;
  std::string message;
};

/** One request and its answer on a connected socket, in HTTP/1.1. */
class HttpCall {
 public:
  /** Longest answer body in bytes; a longer one is not whole. */
  static constexpr std::size_t kMaxResponseBytes = 16u << 20;

  HttpCall(UniqueFd fd, SocketTime deadline)
      : fd_(std::move(fd)), deadline_(deadline) {}

  /** Returns the answer if it is whole: framed by one Content-Length or by
   * chunks up to their end. `extra_headers` are sent after those of the
   * request. Redirects are not followed. */
  tl::expected<HttpResponse, CallFailure> Run(const HttpRequest& request,
                                              const HttpHeaders& extra_headers);

  /** The socket, if another call may use it; otherwise an invalid one. */
  UniqueFd TakeReusable();

 private:
  UniqueFd fd_;
  SocketTime deadline_;
  bool reusable_ = false;
};

/** Connects within `connect_timeout` and makes one call. */
tl::expected<HttpResponse, CallFailure> CallOnce(const Endpoint& endpoint,
                                                 const HttpRequest& request,
                                                 Duration connect_timeout,
                                                 Duration timeout);

}  // namespace baobab

#endif  // SRC_LIBNET_HTTP_CALL_H_
