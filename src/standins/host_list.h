#ifndef SRC_STANDINS_HOST_LIST_H_
#define SRC_STANDINS_HOST_LIST_H_

#include <chrono>
#include <deque>
#include <mutex>
#include <utility>

#include "standins/http_server.h"

namespace baobab::standins {

/** Stand-in for the platform's host list, which serves changes with a delay. */
class HostListService {
 public:
  /** `lag` is the time until a changed list is served. */
  explicit HostListService(std::chrono::milliseconds lag);

  /** Sets the list without delay. Error: `list` is not an object with a "hosts"
   * array. */
  Result<void> Load(const nlohmann::json& list);

  /** Starts to serve; returns the port. */
  Result<int> Start(int port) { return server_.Start(port); }

 private:
  using Clock = std::chrono::steady_clock;

  /** Handles PUT /hosts. */
  void Put(const httplib::Request& request, httplib::Response& response);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  /** Applies pending changes that are due and returns the list. */
  nlohmann::json CurrentList();

  const std::chrono::milliseconds lag_;
  std::mutex mutex_;
  nlohmann::json served_list_ = {{"hosts", nlohmann::json::array()}};
  /** Changed lists and the times from which they are served. */
  std::deque<std::pair<Clock::time_point, nlohmann::json>> pending_lists_;
  bool outage_ = false;
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_HOST_LIST_H_
