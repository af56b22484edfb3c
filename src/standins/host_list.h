#ifndef SRC_STANDINS_HOST_LIST_H_
#define SRC_STANDINS_HOST_LIST_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <utility>

#include "standins/http_server.h"

namespace baobab::standins {

/** The platform's host list; a change is served after a lag. */
class HostListService {
 public:
  explicit HostListService(std::chrono::milliseconds lag);

  /** Serves this list at once. Error: not an object with a "hosts" array. */
  Result<void> Load(const nlohmann::json& list);

  Result<int> Start(int port) { return server_.Start(port); }

 private:
  using Clock = std::chrono::steady_clock;

  void Put(const httplib::Request& request, httplib::Response& response);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  nlohmann::json Served();

  const std::chrono::milliseconds lag_;
  std::mutex mutex_;
  nlohmann::json served_ = {{"hosts", nlohmann::json::array()}};
  std::deque<std::pair<Clock::time_point, nlohmann::json>> pending_;
  bool down_ = false;
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_HOST_LIST_H_
