#include "libtelemetry/log.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <ctime>
#include <iterator>
#include <string>

namespace baobab {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

std::atomic<LogLevel> min_log_level = LogLevel::kInfo;

/** Returns the current UTC time as "2026-12-04T09:30:00.123Z". */
std::string UtcTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday,
                     utc.tm_hour, utc.tm_min, utc.tm_sec, ms % 1000);
}

/** Appends the text with control characters replaced by '?', so that a message
 * with untrusted text stays on one line. */
void AppendWithoutControlCharacters(std::string& line, std::string_view text) {
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    line += byte < 0x20 || byte == 0x7F ? '?' : c;
  }
}

}  // namespace

void SetLogLevel(LogLevel level) {
  min_log_level = level;
}

void WriteLog(LogLevel level,
              std::string_view component,
              std::string_view message) {
  if (level < min_log_level) {
    return;
  }
  std::string line =
      fmt::format("{} {:<7} {}: ", UtcTime(),
                  kLevelNames.at(static_cast<std::size_t>(level)), component);
  AppendWithoutControlCharacters(line, message);
  line += '\n';
  // One write() for each line, so that lines of different threads do not mix. A
  // failed write cannot be reported.
  while (write(STDERR_FILENO, line.data(), line.size()) < 0 && errno == EINTR) {
  }
}

}  // namespace baobab
