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

/** Serves each open connection on its own thread. Threads are started when
 * needed, up to a bound; connections above it wait. */
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(int most_threads);

  // NOLINTNEXTLINE(readability-identifier-naming): name of the base class.
  void enqueue(std::function<void()> task) override;
  // NOLINTNEXTLINE(readability-identifier-naming): name of the base class.
  void shutdown() override;

 private:
  void Work();

  const int most_threads_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> waiting_;
  std::vector<std::thread> threads_;
  int idle_ = 0;
  bool stopped_ = false;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_CONNECTION_THREADS_H_
