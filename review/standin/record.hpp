#ifndef REVIEW_STANDIN_RECORD_HPP_
#define REVIEW_STANDIN_RECORD_HPP_

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

/** Milliseconds since the start of the case. */
inline std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kBegin)
      .count();
}

inline std::int64_t WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The file record.txt: one line for each event. */
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(Now()) / 1000.0,
                 text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_RECORD_HPP_
