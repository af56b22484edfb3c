#ifndef SRC_LIBFLEET_LOOP_TIMER_H_
#define SRC_LIBFLEET_LOOP_TIMER_H_

#include <functional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libbase/base.h"

namespace baobab {

/** One-shot timer on the event loop. Setting it again or destroying it cancels
 * the pending function. */
class LoopTimer {
 public:
  explicit LoopTimer(boost::asio::io_context& loop) : timer_(loop) {}

  void Set(Duration delay, std::function<void()> action) {
    timer_.expires_after(delay);
    timer_.async_wait(
        [action = std::move(action)](const boost::system::error_code& error) {
          if (!error) {
            action();
          }
        });
  }
  void Cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
};

/** Returns the time of the system's steady clock. */
inline Time SteadyNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** Returns the wall clock time in milliseconds since 1970. */
inline std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace baobab

#endif  // SRC_LIBFLEET_LOOP_TIMER_H_
