#ifndef SRC_LIBNET_SOCKETS_H_
#define SRC_LIBNET_SOCKETS_H_

#include <chrono>
#include <string>
#include <string_view>

#include "libbase/base.h"

namespace baobab {

/** Deadlines of socket operations; sockets are outside the runtime's clock. */
using SocketClock = std::chrono::steady_clock;
using SocketTime = SocketClock::time_point;

/** An IP number, version 4 or 6, and a TCP port. */
struct Endpoint {
  std::string ip;
  int port = 0;

  bool operator==(const Endpoint&) const = default;
};

/** "ip:port", with an IPv6 number in brackets. */
std::string ToString(const Endpoint& endpoint);

/** Errors: not an IP number, or a port outside 0 to 65535. */
Result<Endpoint> ParseEndpoint(std::string_view text);

/** Closes a file descriptor when it goes out of scope. */
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(other.Release()) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept;
  ~UniqueFd() { Reset(); }

  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int Release();
  void Reset();

 private:
  int fd_ = -1;
};

/** Starts a TCP connection; the socket is non-blocking and close-on-exec, has
 * TCP_NODELAY, and TCP_USER_TIMEOUT of 5 s. */
Result<UniqueFd> StartConnect(const Endpoint& endpoint);

/** Connects by the deadline. An error means that nothing was sent. */
Result<UniqueFd> ConnectTcp(const Endpoint& endpoint, SocketTime deadline);

/** Listens with a backlog of 1024. `port` 0 takes a free one. */
Result<UniqueFd> ListenTcp(const Endpoint& endpoint);

/** Port to which the socket is bound. */
int BoundPort(int fd);

/** Waits until the deadline for the poll() events; false on timeout. */
bool WaitSocket(int fd, short events, SocketTime deadline);

/** True if the other side closed its direction, or the connection broke. */
bool IsClosedByPeer(int fd);

}  // namespace baobab

#endif  // SRC_LIBNET_SOCKETS_H_
