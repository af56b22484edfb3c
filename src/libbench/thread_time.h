#ifndef SRC_LIBBENCH_THREAD_TIME_H_
#define SRC_LIBBENCH_THREAD_TIME_H_

#include <chrono>
#include <ctime>

namespace baobab {

/** Returns the CPU time that the calling thread has used. */
inline std::chrono::nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace baobab

#endif  // SRC_LIBBENCH_THREAD_TIME_H_
