#ifndef TESTS_FREE_PORT_H_
#define TESTS_FREE_PORT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace baobab {

/** Returns a free port below the ephemeral range. Nodes list each other's ports
 * in their settings, so they cannot listen on port 0. */
inline int FreePort() {
  static int next = 20000 + getpid() * 41 % 11000;
  for (;; ++next) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    const int ec =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(fd);
    if (ec == 0) {
      return next++;
    }
  }
}

}  // namespace baobab

#endif  // TESTS_FREE_PORT_H_
