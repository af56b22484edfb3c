#ifndef SRC_LIBFLEET_LOOP_RUNNER_H_
#define SRC_LIBFLEET_LOOP_RUNNER_H_

#include <exception>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace baobab {

/** Runs the loop until it is stopped. An exception that leaves a handler ends
 * that handler only; `on_fault` gets its message. */
inline void RunLoop(boost::asio::io_context& loop,
                    const std::function<void(const char* what)>& on_fault) {
  for (;;) {
    try {
      loop.run();
      return;
    } catch (const std::exception& error) {
      on_fault(error.what());
    }
  }
}

}  // namespace baobab

#endif  // SRC_LIBFLEET_LOOP_RUNNER_H_
