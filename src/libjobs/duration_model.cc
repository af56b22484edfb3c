#include "libjobs/duration_model.h"

#include <algorithm>

namespace baobab {

void DurationModel::Observe(const QueueId& queue,
                            Duration estimate,
                            Duration actual) {
  if (estimate.count() <= 0 || actual.count() <= 0) {
    return;
  }
  const double sample = std::clamp(static_cast<double>(actual.count()) /
                                       static_cast<double>(estimate.count()),
                                   kMinRatio, kMaxRatio);
  auto& ratio = ratios_.try_emplace(queue, 1.0).first->second;
  ratio += kSampleWeight * (sample - ratio);
}

Duration DurationModel::ExpectedDuration(const QueueId& queue,
                                         Duration estimate) const {
  const auto it = ratios_.find(queue);
  const double ratio = it == ratios_.end() ? 1.0 : it->second;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(estimate.count()) * ratio));
}

}  // namespace baobab
