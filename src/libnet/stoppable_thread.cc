#include "libnet/stoppable_thread.h"

#include <utility>

namespace baobab {

void StoppableThread::Start(std::function<void()> run) {
  thread_ = std::thread(std::move(run));
}

bool StoppableThread::stopping() {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

bool StoppableThread::SleepFor(Duration time) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time, [&] { return stopping_ || woken_; });
  woken_ = false;
  return !stopping_;
}

void StoppableThread::Wake() {
  {
    const std::lock_guard lock(mutex_);
    woken_ = true;
  }
  changed_.notify_all();
}

void StoppableThread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace baobab
