#include "standins/connection_threads.h"

#include <utility>

namespace baobab::standins {

ConnectionThreads::ConnectionThreads(int max_threads)
    : max_threads_(max_threads) {}

void ConnectionThreads::enqueue(std::function<void()> task) {
  std::lock_guard lock(mutex_);
  queued_tasks_.push_back(std::move(task));
  if (static_cast<int>(queued_tasks_.size()) > idle_threads_ &&
      static_cast<int>(threads_.size()) < max_threads_) {
    threads_.emplace_back([this] { RunTasks(); });
  }
  queue_changed_.notify_one();
}

void ConnectionThreads::shutdown() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_all();
  for (auto& it : threads_) {
    it.join();
  }
}

void ConnectionThreads::RunTasks() {
  std::unique_lock lock(mutex_);
  for (;;) {
    ++idle_threads_;
    queue_changed_.wait(lock,
                        [this] { return stopping_ || !queued_tasks_.empty(); });
    --idle_threads_;
    if (queued_tasks_.empty()) {
      return;
    }
    auto task = std::move(queued_tasks_.front());
    queued_tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace baobab::standins
