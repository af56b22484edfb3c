#include "libtelemetry/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>  // Needed by Boost 1.74, which does not include it.

#include <fmt/format.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace baobab {

namespace {

namespace acc = boost::accumulators;

constexpr double kMedianProbability = 0.5;
constexpr double kP99Probability = 0.99;

/** Statistics of samples. The P-square algorithm estimates both quantiles in
 * constant memory. */
class Distribution {
 public:
  Distribution()
      : samples_(acc::extended_p_square_probabilities = kProbabilities) {}

  void Add(double sample) { samples_(sample); }

  std::size_t count() const { return acc::count(samples_); }
  double mean() const { return acc::mean(samples_); }
  double max() const { return acc::max(samples_); }

  /** Returns the estimated quantile, at most the largest sample. With fewer
   * samples than P-square markers the estimate is undefined, so the largest
   * sample is returned. */
  double Quantile(double probability) const {
    if (count() < 2 * kProbabilities.size() + 3) {
      return max();
    }
    const double estimate =
        acc::quantile(samples_, acc::quantile_probability = probability);
    return std::min(estimate, max());
  }

 private:
  // The neighbours of the two quantiles bound the interpolation around them.
  static constexpr std::array<double, 5> kProbabilities = {
      0.25, kMedianProbability, 0.9, kP99Probability, 0.999};

  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::mean,
                                  acc::tag::max,
                                  acc::tag::extended_p_square_quantile>>
      samples_;
};

/** Adds the common prefix and replaces characters that the Prometheus text
 * format does not allow in names. */
std::string MetricName(std::string_view name) {
  std::string text = "baobab_";
  for (const char c : name) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    text += letter || digit || c == '_' ? c : '_';
  }
  return text;
}

}  // namespace

class Metrics::Impl {
 public:
  void Count(std::string_view name, std::int64_t n) {
    const std::lock_guard lock(mutex_);
    counters_[MetricName(name)] += n;
  }

  void Observe(std::string_view name, double sample) {
    const std::lock_guard lock(mutex_);
    if (!std::isfinite(sample)) {
      ++counters_["baobab_metrics_invalid_samples"];
      return;
    }
    distributions_[MetricName(name)].Add(sample);
  }

  std::string PrometheusText() const {
    const std::lock_guard lock(mutex_);
    std::string text;
    auto out = std::back_inserter(text);
    for (const auto& [name, value] : counters_) {
      fmt::format_to(out, "# TYPE {0} counter\n{0} {1}\n", name, value);
    }
    for (const auto& [name, it] : distributions_) {
      const double sum = it.mean() * static_cast<double>(it.count());
      fmt::format_to(out, "# TYPE {} summary\n", name);
      fmt::format_to(out, "{}{{quantile=\"0.5\"}} {:.9g}\n", name,
                     it.Quantile(kMedianProbability));
      fmt::format_to(out, "{}{{quantile=\"0.99\"}} {:.9g}\n", name,
                     it.Quantile(kP99Probability));
      fmt::format_to(out, "{}_sum {:.9g}\n{}_count {}\n", name, sum, name,
                     it.count());
      fmt::format_to(out, "# TYPE {0}_mean gauge\n{0}_mean {1:.9g}\n", name,
                     it.mean());
      fmt::format_to(out, "# TYPE {0}_max gauge\n{0}_max {1:.9g}\n", name,
                     it.max());
    }
    return text;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> counters_;
  std::map<std::string, Distribution> distributions_;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name, std::int64_t n) {
  impl_->Count(name, n);
}

void Metrics::Observe(std::string_view name, double sample) {
  impl_->Observe(name, sample);
}

std::string Metrics::PrometheusText() const {
  return impl_->PrometheusText();
}

}  // namespace baobab
