#ifndef SRC_STANDINS_HTTP_SERVER_H_
#define SRC_STANDINS_HTTP_SERVER_H_

#include <string>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "libbase/base.h"

namespace baobab::standins {

/** An HTTP server on 127.0.0.1 with a long listen queue. */
class HttpServer {
 public:
  /** Serves at most `connections` open connections at once. */
  explicit HttpServer(int connections);
  ~HttpServer();

  /** Routes are added here before Start. */
  httplib::Server& routes() { return server_; }

  /** Listens on `port`, or on a free one if it is 0, and serves on another
   * thread. Returns the port. Error: the port cannot be bound. */
  Result<int> Start(int port);

 private:
  httplib::Server server_;
  int listen_socket_ = -1;
  std::thread thread_;
};

/** Closes the connection of a request at once, so that its caller gets no
 * (further) answer. */
void CloseConnection(const httplib::Request& request);

/** Writes bytes on the connection of a request, outside its answer. */
void WriteRaw(const httplib::Request& request, const std::string& bytes);

void AnswerJson(httplib::Response& response,
                const nlohmann::json& body,
                int status = 200);

/** Reads the request's body as a JSON object; answers 400 and returns null if
 * it is none. */
nlohmann::json JsonBody(const httplib::Request& request,
                        httplib::Response& response);

}  // namespace baobab::standins

#endif  // SRC_STANDINS_HTTP_SERVER_H_
