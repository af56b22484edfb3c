#include "libnet/worker_pool.h"

#include <utility>

namespace baobab {

void WorkerPool::enqueue(std::function<void()> task) {
  std::unique_lock lock(mutex_);
  has_space_.wait(lock, [&] { return tasks_.size() < max_queued_; });
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { Run(); });
  }
  has_task_.notify_one();
}

void WorkerPool::shutdown() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  has_task_.notify_all();
  for (std::thread& it : threads_) {
    it.join();
  }
}

void WorkerPool::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    has_task_.wait(lock, [&] { return !tasks_.empty() || stopping_; });
    --idle_threads_;
    if (tasks_.empty()) {
      return;
    }
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    has_space_.notify_one();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace baobab
