#ifndef SRC_LIBFLEET_DECISION_LOG_H_
#define SRC_LIBFLEET_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "libtelemetry/metrics.h"

namespace baobab {

/** Kind of a log line, which selects its rate limit. */
enum class LineKind {
  kDecision,
  /** Decision on one run of a task; a busy owner makes thousands per second. */
  kRun,
};

/** Log of the decisions of a node, one line each, on standard output. Lines are
 * buffered and written without blocking on a slow reader. Lines beyond the rate
 * limit or the buffer are dropped, and a later line reports their number. Used
 * on the event loop only. */
class DecisionLog {
 public:
  /** Each call of Write() increments the counter decisions_EVENT in
   * `metrics`. */
  DecisionLog(std::string node, Metrics& metrics);
  ~DecisionLog();

  /** Logs "time=.. node=.. event=.. job=.. FIELDS"; an empty `job` is
   * omitted. */
  void Write(std::string_view event,
             std::string_view job,
             std::string_view fields,
             LineKind kind = LineKind::kDecision);

  Metrics& metrics() { return metrics_; }

  /** Writes buffered lines until standard output would block. */
  void Flush();

 private:
  /** Maximum lines per second: about ten times the decisions of a busy node. */
  static constexpr int kMaxLinesPerSecond = 3000;
  /** Maximum lines per second on single runs, so that they do not crowd out
   * lines on jobs and take little CPU time of a busy owner. */
  static constexpr int kMaxRunLinesPerSecond = 300;
  static constexpr std::size_t kMaxBufferedBytes = 512u << 10;

  void Append(std::int64_t wall_ms,
              std::string_view event,
              std::string_view job,
              std::string_view fields);

  const std::string node_;
  Metrics& metrics_;
  fmt::memory_buffer buffer_;
  /** Wall clock second that the line counts refer to. */
  std::int64_t current_second_ = 0;
  int lines_in_second_ = 0;
  int run_lines_in_second_ = 0;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_DECISION_LOG_H_
