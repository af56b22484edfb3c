#include "load/balancer.h"

#include <chrono>

#include <httplib.h>

namespace baobab::load {
namespace {

constexpr std::chrono::milliseconds kCheckInterval(500);
constexpr std::chrono::milliseconds kCheckTimeout(1000);

}  // namespace

Balancer::Balancer(std::vector<std::string> addresses) {
  for (auto& it : addresses) {
    targets_.push_back(std::make_unique<Target>());
    targets_.back()->address = std::move(it);
  }
  for (auto& it : targets_) {
    threads_.emplace_back([this, &it] { MonitorHealth(*it); });
  }
}

Balancer::~Balancer() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_all();
  for (auto& it : threads_) {
    it.join();
  }
}

std::string Balancer::Pick(std::mt19937_64& random,
                           const std::string& excluded_address) const {
  std::vector<const Target*> healthy;
  std::vector<const Target*> others;
  for (const auto& it : targets_) {
    if (it->healthy) {
      healthy.push_back(it.get());
      if (it->address != excluded_address) {
        others.push_back(it.get());
      }
    }
  }
  const auto& choice = !others.empty() ? others : healthy;
  if (choice.empty()) {
    return targets_[random() % targets_.size()]->address;
  }
  return choice[random() % choice.size()]->address;
}

void Balancer::MonitorHealth(Target& target) {
  std::unique_lock lock(mutex_);
  do {
    lock.unlock();
    httplib::Client client("http://" + target.address);
    client.set_connection_timeout(kCheckTimeout);
    client.set_read_timeout(kCheckTimeout);
    const auto answer = client.Get("/healthz");
    target.healthy = answer && answer->status == 200;
    lock.lock();
  } while (!stopping_changed_.wait_for(lock, kCheckInterval,
                                       [this] { return stopping_; }));
}

}  // namespace baobab::load
