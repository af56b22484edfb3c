#include "standins/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace baobab::standins {
namespace {

constexpr int kMaxControlConnections = 8;
constexpr int kListenBacklog = 1024;
constexpr std::size_t kBufferBytes = 16384;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

bool SendAll(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t n = send(fd, data, size, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    data += n;
    size -= static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

Relay::Connection::~Connection() {
  close(caller_fd);
  if (target_fd >= 0) {
    close(target_fd);
  }
}

Relay::Relay(int target_port)
    : target_port_(target_port), control_server_(kMaxControlConnections) {
  control_server_.routes().Post(
      "/faults", [this](const auto& in, auto& out) { SetFaults(in, out); });
  control_server_.routes().Get("/stats", [this](const auto&, auto& out) {
    RespondJson(out, {{"accepted", accepted_.load()},
                      {"open", OpenConnections().size()}});
  });
}

Result<std::pair<int, int>> Relay::Start(int port, int control_port) {
  listen_socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(listen_socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  auto* generic_address = reinterpret_cast<sockaddr*>(&address);
  if (bind(listen_socket_, generic_address, size) != 0 ||
      listen(listen_socket_, kListenBacklog) != 0 ||
      getsockname(listen_socket_, generic_address, &size) != 0) {
    return tl::unexpected(
        Error{"listen", "127.0.0.1:" + std::to_string(port), "cannot bind"});
  }
  auto control = control_server_.Start(control_port);
  if (!control) {
    return tl::unexpected(control.error());
  }
  std::thread([this] { AcceptConnections(); }).detach();
  return std::pair(static_cast<int>(ntohs(address.sin_port)), *control);
}

void Relay::AcceptConnections() {
  for (;;) {
    auto connection = std::make_shared<Connection>();
    connection->caller_fd =
        accept4(listen_socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection->caller_fd < 0) {
      continue;
    }
    ++accepted_;
    connection->target_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(target_port_);
    if (connect(connection->target_fd,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      continue;
    }
    const int yes = 1;
    setsockopt(connection->caller_fd, IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
    setsockopt(connection->target_fd, IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
    {
      std::lock_guard lock(mutex_);
      connections_.push_back(connection);
    }
    std::thread([=, this] {
      Forward(connection, connection->caller_fd, connection->target_fd);
    }).detach();
    std::thread([=, this] {
      Forward(connection, connection->target_fd, connection->caller_fd);
    }).detach();
  }
}

void Relay::Forward(const std::shared_ptr<Connection>& connection,
                    int from,
                    int to) {
  std::array<char, kBufferBytes> buf{};
  for (;;) {
    const ssize_t n = recv(from, buf.data(), buf.size(), 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
    if (connection->silent) {
      // The end of the connection is not forwarded either.
      if (n <= 0) {
        return;
      }
      continue;
    }
    if (n <= 0 || !SendAll(to, buf.data(), static_cast<std::size_t>(n))) {
      shutdown(to, SHUT_WR);
      return;
    }
  }
}

void Relay::SetFaults(const httplib::Request& request,
                      httplib::Response& response) {
  const auto body = ParseJsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  int affected_connections = 0;
  try {
    delay_ms_ = body.value("delay_ms", delay_ms_.load());
    const bool silent = body.value("silent", false);
    const bool cut = body.value("cut", false);
    for (const auto& it : OpenConnections()) {
      affected_connections += silent || cut ? 1 : 0;
      if (silent) {
        it->silent = true;
      }
      if (cut) {
        shutdown(it->caller_fd, SHUT_RDWR);
        shutdown(it->target_fd, SHUT_RDWR);
      }
    }
  } catch (const nlohmann::json::exception& ec) {
    RespondJson(response, {{"error", ec.what()}}, 400);
    return;
  }
  RespondJson(response, {{"connections", affected_connections}});
}

std::list<std::shared_ptr<Relay::Connection>> Relay::OpenConnections() {
  std::lock_guard lock(mutex_);
  connections_.remove_if([](const auto& it) { return it.expired(); });
  std::list<std::shared_ptr<Connection>> open;
  for (const auto& it : connections_) {
    if (auto connection = it.lock()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

}  // namespace baobab::standins
