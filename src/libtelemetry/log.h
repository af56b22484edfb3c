#ifndef SRC_LIBTELEMETRY_LOG_H_
#define SRC_LIBTELEMETRY_LOG_H_

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace baobab {

/** Severity of a log line, in ascending order. */
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** Sets the minimum level; lines below it are dropped. Thread-safe. */
void SetLogLevel(LogLevel level);

/** Writes one line to standard error: time, level, component and message.
 * `component` is a fixed prefix such as "front" or "peer". Thread-safe. */
void WriteLog(LogLevel level,
              std::string_view component,
              std::string_view message);

/** Formats a message and writes it with WriteLog(). Thread-safe. */
template <typename... Args>
void Log(LogLevel level,
         std::string_view component,
         fmt::format_string<Args...> format,
         Args&&... args) {
  WriteLog(level, component, fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace baobab

#endif  // SRC_LIBTELEMETRY_LOG_H_
