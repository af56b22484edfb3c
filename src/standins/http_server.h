#ifndef SRC_STANDINS_HTTP_SERVER_H_
#define SRC_STANDINS_HTTP_SERVER_H_

#include <string>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "libbase/base.h"

namespace baobab::standins {

/** HTTP server on 127.0.0.1 with a long listen backlog. */
class HttpServer {
 public:
  /** Serves at most `max_connections` connections concurrently. */
  explicit HttpServer(int max_connections);
  ~HttpServer();

  /** The server to which routes must be added before Start(). */
  httplib::Server& routes() { return server_; }

  /** Listens on `port`, or on a free port if it is 0, and serves requests on a
   * background thread. Returns the port. Error: the port cannot be bound. */
  Result<int> Start(int port);

 private:
  httplib::Server server_;
  int listen_socket_ = -1;
  std::thread thread_;
};

/** Shuts down the connection of a request immediately, so that the caller gets
 * no response, or only what was sent before. */
void CloseConnection(const httplib::Request& request);

/** Writes bytes to the connection of a request, outside its HTTP response. */
void WriteRaw(const httplib::Request& request, const std::string& bytes);

/** Sets status and JSON body of a response. */
void RespondJson(httplib::Response& response,
                 const nlohmann::json& body,
                 int status = 200);

/** Parses the request's body as a JSON object. If it is not one, responds with
 * status 400 and returns null. */
nlohmann::json ParseJsonBody(const httplib::Request& request,
                             httplib::Response& response);

}  // namespace baobab::standins

#endif  // SRC_STANDINS_HTTP_SERVER_H_
