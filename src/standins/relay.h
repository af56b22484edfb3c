#ifndef SRC_STANDINS_RELAY_H_
#define SRC_STANDINS_RELAY_H_

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "standins/http_server.h"

namespace baobab::standins {

/** Forwards TCP connections to another port on 127.0.0.1. It can lose the
 * state of open connections like a middlebox: they stay open but silent. */
class Relay {
 public:
  explicit Relay(int target_port);

  /** Returns the forwarding port and the port of POST /faults. */
  Result<std::pair<int, int>> Start(int port, int control_port);

 private:
  struct Link {
    int caller = -1;
    int target = -1;
    std::atomic<bool> silent = false;
    ~Link();
  };

  void Accept();
  void Forward(const std::shared_ptr<Link>& link, int from, int to);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  std::list<std::shared_ptr<Link>> OpenLinks();

  const int target_port_;
  int listen_socket_ = -1;
  std::mutex mutex_;
  std::list<std::weak_ptr<Link>> links_;
  std::atomic<int> delay_ms_ = 0;
  std::atomic<int> accepted_ = 0;
  HttpServer control_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_RELAY_H_
