// What a case has seen, in the order of its time: record.txt.
#ifndef REVIEW_STANDIN_2_RECORD_H_
#define REVIEW_STANDIN_2_RECORD_H_

#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

#include "http.h"

namespace review2 {

class Record {
 public:
  explicit Record(const std::string& path)
      : file_(std::fopen(path.c_str(), "w")) {}

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[4096];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    std::lock_guard lock(mutex_);
    if (file_) {
      std::fprintf(file_, "%8.3f %s\n", static_cast<double>(SteadyMs()) / 1000,
                   text);
      std::fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

}  // namespace review2

#endif  // REVIEW_STANDIN_2_RECORD_H_
