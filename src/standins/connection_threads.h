#ifndef SRC_STANDINS_CONNECTION_THREADS_H_
#define SRC_STANDINS_CONNECTION_THREADS_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace baobab::standins {

/** Thread pool that serves each open connection on its own thread. Threads are
 * started on demand up to `max_threads`; further connections wait. */
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(int max_threads);

  // NOLINTNEXTLINE(readability-identifier-naming): overrides httplib's name.
  void enqueue(std::function<void()> task) override;
  // NOLINTNEXTLINE(readability-identifier-naming): overrides httplib's name.
  void shutdown() override;

 private:
  /** Runs queued tasks on a pool thread until shutdown. */
  void RunTasks();

  const int max_threads_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<std::function<void()>> queued_tasks_;
  std::vector<std::thread> threads_;
  int idle_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_CONNECTION_THREADS_H_
