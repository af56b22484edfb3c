#ifndef SRC_LIBNET_WORKER_POOL_H_
#define SRC_LIBNET_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace baobab {

/** Threads for cpp-httplib, one for each open connection. Threads are started
 * when they are needed first. When all are busy and as many connections wait
 * as allowed, enqueue() blocks, so that more wait in the kernel's backlog. */
class WorkerPool : public httplib::TaskQueue {
 public:
  WorkerPool(std::size_t max_threads, std::size_t max_queued)
      : max_threads_(max_threads), max_queued_(max_queued) {}

  void enqueue(std::function<void()> task) override;
  /** Returns when all tasks have run. */
  void shutdown() override;

 private:
  void Run();

  const std::size_t max_threads_;
  const std::size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable has_task_;
  std::condition_variable has_space_;
  std::deque<std::function<void()>> tasks_;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_WORKER_POOL_H_
