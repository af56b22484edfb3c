#ifndef SRC_LOAD_BALANCER_H_
#define SRC_LOAD_BALANCER_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace baobab::load {

/** Picks nodes for requests like the platform's load balancer: at random among
 * those whose GET /healthz succeeds. */
class Balancer {
 public:
  /** Starts health checks of `addresses`, each "ip:port". */
  explicit Balancer(std::vector<std::string> addresses);
  /** Stops the health checks. */
  ~Balancer();

  /** Returns a random healthy address, if possible not `excluded_address`. If
   * no address is healthy, returns any. */
  std::string Pick(std::mt19937_64& random,
                   const std::string& excluded_address) const;

 private:
  struct Target {
    std::string address;
    std::atomic<bool> healthy = true;
  };

  /** Checks the health of a target until the destructor runs. */
  void MonitorHealth(Target& target);

  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace baobab::load

#endif  // SRC_LOAD_BALANCER_H_
