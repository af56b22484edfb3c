#ifndef SRC_LIBNET_SOCKETS_H_
#define SRC_LIBNET_SOCKETS_H_

#include <chrono>
#include <string>
#include <string_view>

#include "libbase/base.h"

namespace baobab {

/** Clock for deadlines of socket operations. Real time, since sockets are
 * independent of the runtime's clock. */
using SocketClock = std::chrono::steady_clock;
using SocketTime = SocketClock::time_point;

/** IPv4 or IPv6 address and TCP port. */
struct Endpoint {
  std::string ip;
  int port = 0;

  bool operator==(const Endpoint&) const = default;
};

/** Returns "ip:port", with an IPv6 address in brackets. */
std::string ToString(const Endpoint& endpoint);

/** Parses "ip:port". Errors: not an IP address, or a port not in 0 to 65535. */
Result<Endpoint> ParseEndpoint(std::string_view text);

/** Owns a file descriptor and closes it on destruction. */
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(other.Release()) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept;
  ~UniqueFd() { Reset(); }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  /** Gives up ownership and returns the descriptor. */
  int Release();
  /** Closes the descriptor. */
  void Reset();

 private:
  int fd_ = -1;
};

/** Starts a TCP connection. The socket is non-blocking and close-on-exec, with
 * TCP_NODELAY and a TCP_USER_TIMEOUT of 5 s. */
Result<UniqueFd> StartConnect(const Endpoint& endpoint);

/** Connects; blocks no longer than until the deadline. An error means that
 * nothing was sent. */
Result<UniqueFd> ConnectTcp(const Endpoint& endpoint, SocketTime deadline);

/** Returns a listening socket with a backlog of 1024. Port 0 selects a free
 * port. */
Result<UniqueFd> ListenTcp(const Endpoint& endpoint);

/** Returns the port to which the socket is bound, or 0 on an error. */
int BoundPort(int fd);

/** Waits for the poll() events until the deadline; returns false on timeout. */
bool WaitSocket(int fd, short events, SocketTime deadline);

/** Returns true if the peer closed its sending direction or the connection
 * broke. */
bool IsClosedByPeer(int fd);

}  // namespace baobab

#endif  // SRC_LIBNET_SOCKETS_H_
