#include "libjobs/ready_steps.h"

namespace baobab {

void ReadySteps::Add(const ServiceId& service, const ReadyStep& step) {
  by_service_[service].insert(step);
}

void ReadySteps::RemoveJob(const ServiceId& service, const JobId& job) {
  std::erase_if(by_service_[service],
                [&](const auto& it) { return it.job == job; });
}

void ReadySteps::Remove(const ServiceId& service, const ReadyStep& step) {
  by_service_[service].erase(step);
}

bool ReadySteps::Contains(const ServiceId& service,
                          const ReadyStep& step) const {
  const auto it = by_service_.find(service);
  return it != by_service_.end() && it->second.contains(step);
}

}  // namespace baobab
