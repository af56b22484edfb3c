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

/** Chooses the node of each request like the platform's load balancer: at
 * random among those whose GET /healthz succeeds. */
class Balancer {
 public:
  /** `addresses` are "ip:port". */
  explicit Balancer(std::vector<std::string> addresses);
  /** Ends the checks. */
  ~Balancer();

  /** An address other than `not_this` if there is one that is healthy. */
  std::string Pick(std::mt19937_64& random, const std::string& not_this) const;

 private:
  struct Target {
    std::string address;
    std::atomic<bool> healthy = true;
  };

  void Check(Target& target);

  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace baobab::load

#endif  // SRC_LOAD_BALANCER_H_
