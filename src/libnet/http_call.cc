#include "libnet/http_call.h"

#include <poll.h>

#include <algorithm>
#include <optional>
#include <string_view>

#include "libnet/socket_stream.h"

namespace baobab {
namespace {

using namespace std::string_view_literals;

// cpp-httplib client that uses an already connected socket.
class CallClient : public httplib::ClientImpl {
 public:
  CallClient(int fd, SocketStream& stream)
      : ClientImpl("127.0.0.1", 0), fd_(fd), stream_(stream) {
    set_keep_alive(true);
    set_follow_location(false);
    set_url_encode(false);
    set_decompress(false);
  }
  // HttpCall owns the socket, so the base class must not close it.
  ~CallClient() override { socket_.sock = INVALID_SOCKET; }

  /** Returns true if cpp-httplib closed the connection during the call. */
  bool closed() const { return !socket_.is_open(); }

 protected:
  bool create_and_connect_socket(Socket& socket, httplib::Error&) override {
    socket.sock = fd_;
    return true;
  }

 private:
  bool process_socket(const Socket&,
                      std::function<bool(httplib::Stream&)> callback) override {
    return callback(stream_);
  }

  int fd_;
  SocketStream& stream_;
};

bool HasNoBody(const std::string& method, int status) {
  return method == "HEAD" || status == 204 || status == 304;
}

}  // namespace

tl::expected<HttpResponse, CallFailure> HttpCall::Run(
    const HttpRequest& request,
    const HttpHeaders& extra_headers) {
  reusable_ = false;
  SocketStream stream(fd_.get(), deadline_);
  httplib::Request raw;
  raw.method = request.method;
  raw.path = request.target;
  for (const HttpHeader& it : request.headers) {
    raw.headers.emplace(it.name, it.value);
  }
  for (const HttpHeader& it : extra_headers) {
    raw.headers.emplace(it.name, it.value);
  }
  if (!request.body.empty()) {
    // Uses a content provider, since cpp-httplib adds a Content-Type to a plain
    // body.
    raw.content_length_ = request.body.size();
    raw.content_provider_ = [&](std::size_t offset, std::size_t length,
                                httplib::DataSink& sink) {
      return sink.write(request.body.data() + offset, length);
    };
  } else if (request.method != "GET" && request.method != "HEAD" &&
             request.method != "OPTIONS") {
    raw.headers.emplace("Content-Length", "0");
  }

  HttpResponse answer;
  BodyFraming framing;
  std::string fault;
  raw.response_handler = [&](const httplib::Response& response) {
    auto headers = ParseHead(stream.TakeHead());
    if (!headers) {
      fault = headers.error().message;
      return false;
    }
    answer.status = response.status;
    answer.headers = std::move(*headers);
    const auto found = ReadFraming(answer.headers);
    if (!found) {
      fault = found.error().message;
      return false;
    }
    framing = *found;
    if (HasNoBody(request.method, answer.status)) {
      // cpp-httplib would wait for a body of a 304 response.
      auto& body_headers = const_cast<httplib::Response&>(response).headers;
      body_headers.erase("Transfer-Encoding");
      body_headers.erase("Content-Length");
      body_headers.emplace("Content-Length", "0");
      return true;
    }
    if (!framing.chunked && !framing.length) {
      fault = "the answer has neither Content-Length nor chunks";
      return false;
    }
    if (framing.length && *framing.length > kMaxResponseBytes) {
      fault = "the answer is too long";
      return false;
    }
    return true;
  };
  raw.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                             std::uint64_t) {
    if (answer.body.size() + size > kMaxResponseBytes) {
      fault = "the answer is too long";
      return false;
    }
    answer.body.append(data, size);
    return true;
  };

  stream.StartHeadCapture();
  CallClient client(fd_.get(), stream);
  httplib::Response response;
  httplib::Error ec = httplib::Error::Success;
  bool complete = client.send(raw, response, ec) && !stream.read_failed();
  if (complete && !HasNoBody(request.method, answer.status)) {
    // cpp-httplib also ends a chunked body at a malformed chunk header.
    const auto& tail = stream.tail();
    if (framing.chunked &&
        std::string_view(tail.data(), tail.size()) != "\r\n\r\n"sv) {
      complete = false;
      fault = "the chunks have no end";
    }
    if (framing.length && *framing.length != answer.body.size()) {
      complete = false;
      fault = "the body is shorter than Content-Length";
    }
  }
  if (client.closed()) {
    // cpp-httplib has closed the descriptor, at the server's request or after
    // an error.
    fd_.Release();
  }
  if (!complete) {
    if (fault.empty()) {
      fault = stream.timed_out() ? "timeout" : httplib::to_string(ec);
    }
    return tl::make_unexpected(
        CallFailure{stream.bytes_sent() == 0, stream.timed_out(), fault});
  }
  const bool close = response.version != "HTTP/1.1" ||
                     HasConnectionOption(answer.headers, "close");
  reusable_ = fd_.valid() && !close && !stream.has_unread();
  return answer;
}

UniqueFd HttpCall::TakeReusable() {
  return reusable_ ? std::move(fd_) : UniqueFd();
}

tl::expected<HttpResponse, CallFailure> CallOnce(const Endpoint& endpoint,
                                                 const HttpRequest& request,
                                                 Duration connect_timeout,
                                                 Duration timeout) {
  const SocketTime now = SocketClock::now();
  auto fd = ConnectTcp(endpoint, now + std::min(connect_timeout, timeout));
  if (!fd) {
    return tl::make_unexpected(CallFailure{true, false, ToString(fd.error())});
  }
  return HttpCall(std::move(*fd), now + timeout)
      .Run(request, {{"Host", ToString(endpoint)}, {"Connection", "close"}});
}

}  // namespace baobab
