#ifndef SRC_LIBFLEET_DECISION_LOG_H_
#define SRC_LIBFLEET_DECISION_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "libtelemetry/metrics.h"

namespace baobab {

enum class LineKind {
  kDecision,
  /** On one run of a task; a busy owner makes thousands a second. */
  kRun,
};

/** Writes one line for each decision to standard output. Lines are collected
 * and written together, without waiting for a slow reader; what exceeds the
 * rate or the buffer is left out and counted in a later line. Used from the
 * event loop only. */
class DecisionLog {
 public:
  /** Each line is counted in `metrics` as decisions_EVENT. */
  DecisionLog(std::string node, Metrics& metrics);
  ~DecisionLog();

  /** "time=.. node=.. event=.. job=.. FIELDS"; `job` may be empty. */
  void Write(std::string_view event,
             std::string_view job,
             std::string_view fields,
             LineKind kind = LineKind::kDecision);

  Metrics& metrics() { return metrics_; }

  /** Writes what was collected, as far as the reader takes it. */
  void Flush();

 private:
  /** Lines a second; about ten times the decisions of a busy node. */
  static constexpr int kMaxLinesPerSecond = 3000;
  /** Of these, lines on single runs, so that they leave room for those on jobs
   * and take little of the processor time of a busy owner. */
  static constexpr int kMaxRunLinesPerSecond = 300;
  static constexpr std::size_t kMaxBufferedBytes = 512u << 10;

  void Append(std::int64_t wall_ms,
              std::string_view event,
              std::string_view job,
              std::string_view fields);

  const std::string node_;
  Metrics& metrics_;
  fmt::memory_buffer buffer_;
  std::int64_t current_second_ = 0;
  int lines_in_second_ = 0;
  int run_lines_in_second_ = 0;
  std::uint64_t dropped_lines_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_DECISION_LOG_H_
