#ifndef SRC_LIBNET_STOPPABLE_THREAD_H_
#define SRC_LIBNET_STOPPABLE_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "libbase/base.h"

namespace baobab {

/** Thread with a sleep that Stop() and Wake() interrupt. */
class StoppableThread {
 public:
  ~StoppableThread() { Stop(); }

  void Start(std::function<void()> run);
  bool stopping();
  /** Sleeps for `time`, or until Wake() or Stop(). Returns immediately if
   * Wake() was called since the last sleep. Returns false if the thread must
   * stop. */
  bool SleepFor(Duration time);
  /** Interrupts the current or next sleep. */
  void Wake();
  /** Interrupts a sleep and joins the thread. */
  void Stop();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool woken_ = false;
  std::thread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_STOPPABLE_THREAD_H_
