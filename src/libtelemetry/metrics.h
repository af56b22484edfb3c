#ifndef SRC_LIBTELEMETRY_METRICS_H_
#define SRC_LIBTELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace baobab {

/** Counters and sample distributions of a process. Thread-safe. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Adds n to a counter, which starts at 0. */
  void Count(std::string_view name, std::int64_t n = 1);

  /** Adds a sample to a distribution. The name ends in the unit of the sample,
   * such as "start_seconds". */
  void Observe(std::string_view name, double sample);

  /** Returns all counters, and the p50, p99, sum, count, mean and max of each
   * distribution, in the Prometheus text format. */
  std::string PrometheusText() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBTELEMETRY_METRICS_H_
