#ifndef SRC_LIBFLEET_LOOP_TIMER_H_
#define SRC_LIBFLEET_LOOP_TIMER_H_

#include <time.h>

#include <chrono>
#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libbase/base.h"

namespace baobab {

/** One-shot timer on the event loop. Setting it again, cancelling or destroying
 * it cancels the pending function, even one that is due. */
class LoopTimer {
 public:
  explicit LoopTimer(boost::asio::io_context& loop) : timer_(loop) {}

  void Set(Duration delay, std::function<void()> action) {
    timer_.expires_after(delay);
    // The timer reports no error once its handler is queued, so that it alone
    // can't cancel an action that is due.
    guard_.Revoke();
    timer_.async_wait(guard_.Bind(
        [action = std::move(action)](const boost::system::error_code& error) {
          if (!error) {
            action();
          }
        }));
  }
  void Cancel() {
    guard_.Revoke();
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  CallbackGuard guard_;
};

/** Returns the time since the machine started, which includes the time while it
 * was suspended. Leases and memberships expire during that time, but the
 * monotonic clock does not count it. */
inline Time SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

/** Returns the wall clock time in milliseconds since 1970. */
inline std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace baobab

#endif  // SRC_LIBFLEET_LOOP_TIMER_H_
