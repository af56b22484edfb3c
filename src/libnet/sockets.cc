#include "libnet/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace baobab {
namespace {

// TCP_USER_TIMEOUT: closes connections with unacknowledged data after this
// time, so that one silently dropped by a middlebox does not block for minutes.
constexpr unsigned kTcpUserTimeoutMs = 5000;

constexpr int kListenBacklog = 1024;

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

Result<SocketAddress> ToSocketAddress(const Endpoint& endpoint) {
  SocketAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  if (::inet_pton(AF_INET, endpoint.ip.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    address.size = sizeof(sockaddr_in);
    return address;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (::inet_pton(AF_INET6, endpoint.ip.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(endpoint.port));
    address.size = sizeof(sockaddr_in6);
    return address;
  }
  return tl::make_unexpected(
      Error{"read address", ToString(endpoint), "not an IP number"});
}

tl::unexpected<Error> SystemError(const std::string& step,
                                  const Endpoint& endpoint,
                                  int ec) {
  return tl::make_unexpected(
      Error{step, ToString(endpoint), std::strerror(ec)});
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.ip.find(':') != std::string::npos) {
    return "[" + endpoint.ip + "]:" + port;
  }
  return endpoint.ip + ":" + port;
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto fault = [&](const char* message) {
    return tl::make_unexpected(
        Error{"read address", std::string(text), message});
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fault("has no port");
  }
  std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  Endpoint endpoint{std::string(ip), 0};
  const auto [end, ec] = std::from_chars(
      digits.data(), digits.data() + digits.size(), endpoint.port);
  if (ec != std::errc() || end != digits.data() + digits.size() ||
      endpoint.port < 0 || endpoint.port > 65535) {
    return fault("port is not a number from 0 to 65535");
  }
  if (const auto address = ToSocketAddress(endpoint); !address) {
    return fault("not an IP number");
  }
  return endpoint;
}

UniqueFd& UniqueFd::operator=(UniqueFd&& other) noexcept {
  if (this != &other) {
    Reset();
    fd_ = other.Release();
  }
  return *this;
}

int UniqueFd::Release() {
  return std::exchange(fd_, -1);
}

void UniqueFd::Reset() {
  if (fd_ >= 0) {
    ::close(fd_);
    fd_ = -1;
  }
}

Result<UniqueFd> StartConnect(const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  UniqueFd fd(::socket(address->storage.ss_family,
                       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) {
    return SystemError("open socket", endpoint, errno);
  }
  const int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
               sizeof(kTcpUserTimeoutMs));
  if (::connect(fd.get(), address->get(), address->size) != 0 &&
      errno != EINPROGRESS) {
    return SystemError("connect", endpoint, errno);
  }
  return fd;
}

Result<UniqueFd> ConnectTcp(const Endpoint& endpoint, SocketTime deadline) {
  auto fd = StartConnect(endpoint);
  if (!fd) {
    return fd;
  }
  if (!WaitSocket(fd->get(), POLLOUT, deadline)) {
    return SystemError("connect", endpoint, ETIMEDOUT);
  }
  int ec = 0;
  socklen_t size = sizeof(ec);
  ::getsockopt(fd->get(), SOL_SOCKET, SO_ERROR, &ec, &size);
  if (ec != 0) {
    return SystemError("connect", endpoint, ec);
  }
  return fd;
}

Result<UniqueFd> ListenTcp(const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  UniqueFd fd(::socket(address->storage.ss_family,
                       SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) {
    return SystemError("open socket", endpoint, errno);
  }
  const int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (::bind(fd.get(), address->get(), address->size) != 0) {
    return SystemError("bind", endpoint, errno);
  }
  if (::listen(fd.get(), kListenBacklog) != 0) {
    return SystemError("listen", endpoint, errno);
  }
  return fd;
}

int BoundPort(int fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (::getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return 0;
  }
  if (storage.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6*>(&storage)->sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in*>(&storage)->sin_port);
}

bool WaitSocket(int fd, short events, SocketTime deadline) {
  while (true) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - SocketClock::now());
    pollfd poll_fd{fd, events, 0};
    const int timeout =
        static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 1'000'000));
    const int n = ::poll(&poll_fd, 1, timeout);
    if (n > 0) {
      return true;
    }
    if (n < 0 && errno != EINTR) {
      return false;
    }
    if (SocketClock::now() >= deadline) {
      return false;
    }
  }
}

bool IsClosedByPeer(int fd) {
  pollfd poll_fd{fd, POLLRDHUP, 0};
  return ::poll(&poll_fd, 1, 0) > 0 &&
         (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace baobab
