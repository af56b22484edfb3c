#ifndef SRC_STANDINS_RELAY_H_
#define SRC_STANDINS_RELAY_H_

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "standins/http_server.h"

namespace baobab::standins {

/** TCP relay to another port on 127.0.0.1. It can drop the state of open
 * connections like a middlebox: they stay open, but forward no more data. */
class Relay {
 public:
  /** Relays to `target_port` on 127.0.0.1. */
  explicit Relay(int target_port);

  /** Listens on both ports, of which 0 means any free one, and starts to relay.
   * Returns the relay port and the port that serves POST /faults. */
  Result<std::pair<int, int>> Start(int port, int control_port);

 private:
  /** A relayed connection; closes both sockets when it is destroyed. */
  struct Connection {
    int caller_fd = -1;
    int target_fd = -1;
    /** Whether all data on the connection is discarded. */
    std::atomic<bool> silent = false;
    ~Connection();
  };

  void AcceptConnections();
  /** Copies data from one socket to the other until the connection ends. */
  void Forward(const std::shared_ptr<Connection>& connection, int from, int to);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  /** Returns the connections that are still open. */
  std::list<std::shared_ptr<Connection>> OpenConnections();

  const int target_port_;
  int listen_socket_ = -1;
  std::mutex mutex_;
  std::list<std::weak_ptr<Connection>> connections_;
  std::atomic<int> delay_ms_ = 0;
  std::atomic<int> accepted_ = 0;
  HttpServer control_server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_RELAY_H_
