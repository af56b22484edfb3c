#ifndef SRC_LIBNET_STOPPABLE_THREAD_H_
#define SRC_LIBNET_STOPPABLE_THREAD_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "libbase/base.h"

namespace baobab {

/** A thread whose sleep ends at once when it is told to stop or woken. */
class StoppableThread {
 public:
  ~StoppableThread() { Stop(); }

  void Start(std::function<void()> run);
  bool stopping();
  /** Sleeps for the time, until Wake() or until Stop(). A Wake() since the
   * last sleep ends it at once. False if the thread must stop. */
  bool SleepFor(Duration time);
  void Wake();
  /** Ends sleeps and waits for the end of the thread. */
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
