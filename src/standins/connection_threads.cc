#include "standins/connection_threads.h"

#include <utility>

namespace baobab::standins {

ConnectionThreads::ConnectionThreads(int most_threads)
    : most_threads_(most_threads) {}

void ConnectionThreads::enqueue(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  waiting_.push_back(std::move(task));
  if (static_cast<int>(waiting_.size()) > idle_ &&
      static_cast<int>(threads_.size()) < most_threads_) {
    threads_.emplace_back([this] { Work(); });
  }
  wake_.notify_one();
}

void ConnectionThreads::shutdown() {
  {
    std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  wake_.notify_all();
  for (auto& it : threads_) {
    it.join();
  }
}

void ConnectionThreads::Work() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_;
    wake_.wait(lock, [this] { return stopped_ || !waiting_.empty(); });
    --idle_;
    if (waiting_.empty()) {
      return;
    }
    auto task = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace baobab::standins
