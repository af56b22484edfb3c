#include "standins/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "standins/connection_threads.h"

namespace baobab::standins {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr int kListenBacklog = 1024;
constexpr int kMaxDescriptors = 1024;

int PortOf(const sockaddr_in& address) {
  return ntohs(address.sin_port);
}

/** Finds the descriptor of a request's connection by its two ports, since the
 * library does not expose it. Returns -1 if the connection is closed. */
int FindSocket(const httplib::Request& request) {
  for (int fd = 0; fd < kMaxDescriptors; ++fd) {
    sockaddr_in local{};
    sockaddr_in remote{};
    socklen_t size = sizeof(local);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &size) != 0 ||
        local.sin_family != AF_INET || PortOf(local) != request.local_port) {
      continue;
    }
    size = sizeof(remote);
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &size) == 0 &&
        PortOf(remote) == request.remote_port) {
      return fd;
    }
  }
  return -1;
}

}  // namespace

HttpServer::HttpServer(int max_connections) {
  server_.new_task_queue = [max_connections] {
    return new ConnectionThreads(max_connections);
  };
  server_.set_socket_options([this](socket_t fd) {
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listen_socket_ = fd;
  });
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_max_count(1'000'000'000);
  server_.set_keep_alive_timeout(60);
}

HttpServer::~HttpServer() {
  if (thread_.joinable()) {
    server_.stop();
    thread_.join();
  }
}

Result<int> HttpServer::Start(int port) {
  int bound_port = port;
  if (port == 0) {
    bound_port = server_.bind_to_any_port(kLoopback);
  } else if (!server_.bind_to_port(kLoopback, port)) {
    bound_port = -1;
  }
  // The library's listen backlog of 5 is too short for a burst of callers.
  if (bound_port < 0 || listen(listen_socket_, kListenBacklog) != 0) {
    return tl::unexpected(
        Error{"listen", "127.0.0.1:" + std::to_string(port), "cannot bind"});
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return bound_port;
}

void CloseConnection(const httplib::Request& request) {
  const int fd = FindSocket(request);
  if (fd >= 0) {
    shutdown(fd, SHUT_RDWR);
  }
}

void WriteRaw(const httplib::Request& request, const std::string& bytes) {
  const int fd = FindSocket(request);
  if (fd >= 0) {
    (void)!send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
}

void RespondJson(httplib::Response& response,
                 const nlohmann::json& body,
                 int status) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

nlohmann::json ParseJsonBody(const httplib::Request& request,
                             httplib::Response& response) {
  auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    RespondJson(response, {{"error", "the body is not a JSON object"}}, 400);
    return nullptr;
  }
  return body;
}

}  // namespace baobab::standins
