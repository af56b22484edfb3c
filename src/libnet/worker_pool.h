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

/** Thread pool for cpp-httplib; each open connection holds one thread. Threads
 * are started on demand. When all are busy and the queue is full, enqueue()
 * blocks, so that further connections wait in the kernel's backlog. */
class WorkerPool : public httplib::TaskQueue {
 public:
  WorkerPool(std::size_t max_threads, std::size_t max_queued)
      : max_threads_(max_threads), max_queued_(max_queued) {}

  void enqueue(std::function<void()> task) override;
  /** Runs the queued tasks and joins all threads. */
  void shutdown() override;

 private:
  void Run();

  const std::size_t max_threads_;
  const std::size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable has_task_;
  std::condition_variable has_space_;
  std::deque<std::function<void()>> tasks_;
  /** Threads that wait for a task. */
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_WORKER_POOL_H_
