#ifndef SRC_LIBNET_CALLER_HTTP_H_
#define SRC_LIBNET_CALLER_HTTP_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "libnet/caller_server.h"
#include "libnet/http_call.h"
#include "libnet/socket_stream.h"

namespace baobab {

/** What a handler may know of the connection of its request. */
struct CallerConnection {
  int fd = -1;
  /** All threads are busy: the request must be refused at once. */
  bool refuse = false;
};

/** HTTP/1.1 server with strict reading of requests. cpp-httplib does the
 * parsing and the framing, but it changes bodies (multipart, compressed),
 * header values and answers (ranges, compression) on its way, so it is only
 * shown the headers that frame a body, and the raw head is read here. */
class CallerHttp : private httplib::Server {
 public:
  using Handler =
      std::function<HttpResponse(const HttpRequest&, const CallerConnection&)>;

  CallerHttp(const CallerServerOptions& options,
             Metrics& metrics,
             Handler handler);
  ~CallerHttp() override { Stop(); }

  /** Errors: the address cannot be bound. */
  Result<void> Start();
  int port() const { return port_; }
  /** Accepts no more and returns when all answers are sent. */
  void Stop();

 private:
  /** The request which a thread reads or answers. */
  struct Exchange {
    CallerConnection connection;
    SocketStream* stream = nullptr;
    /** Set once cpp-httplib has read the head. */
    httplib::Request* raw = nullptr;
    HttpRequest request;
    BodyFraming framing;
    /** Set if the request is answered without the handler. */
    std::optional<HttpResponse> rejection;
    std::optional<HttpResponse> answer;
    bool close = false;
  };

  bool process_and_close_socket(socket_t sock) override;
  /** Reads and answers one request; false if the connection must end. */
  bool ServeRequest(SocketStream& stream, const CallerConnection& connection);
  void ReadHead(Exchange& exchange);
  void ReadBody(Exchange& exchange, const httplib::ContentReader& reader);
  void Answer(Exchange& exchange, httplib::Response& response);
  void WriteHeaders(const httplib::Request& raw, httplib::Response& response);
  void RejectRequest(Exchange& exchange,
                     int status,
                     const std::string& message);

  /** cpp-httplib passes nothing of ours to its handlers. */
  static thread_local Exchange* current_exchange;

  const CallerServerOptions options_;
  Metrics& metrics_;
  const Handler handler_;
  std::atomic<int> busy_threads_ = 0;
  std::atomic<bool> stopping_ = false;
  int port_ = 0;
  std::thread thread_;
};

/** Answer made by this node: a JSON object with the message. */
HttpResponse MakeNodeResponse(int status,
                              Outcome outcome,
                              std::string_view reason,
                              std::string_view message);

}  // namespace baobab

#endif  // SRC_LIBNET_CALLER_HTTP_H_
