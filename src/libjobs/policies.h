#ifndef SRC_LIBJOBS_POLICIES_H_
#define SRC_LIBJOBS_POLICIES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libjobs/ids.h"

namespace baobab {

/** Asks a service which workers may run a step before it is placed. */
struct AdvicePolicy {
  Duration decision_time{0};
  Duration time_per_worker{0};
  Duration ticket_ttl{0};

  bool operator==(const AdvicePolicy&) const = default;
};

/** What the operators set for one queue. */
struct QueuePolicy {
  QueueId name;
  /** Host and path of the callers' requests. */
  std::string host;
  std::string path_prefix;
  ServiceId service;
  /** 0 comes first. */
  int priority = 0;
  int max_attempts = 1;
  /** Objective of a job: stretch times its chain, plus `target`. */
  double stretch = 1;
  Duration target{0};
  std::optional<AdvicePolicy> advice;

  bool operator==(const QueuePolicy&) const = default;
};

/** What the operators set for the workers of one service. */
struct ServicePolicy {
  ServiceId name;
  /** Workers refuse starts that exceed their capacity. */
  bool workers_enforce_capacity = false;
  /** Hosts in this pool are switched off and cost nothing. */
  bool standby = false;

  bool operator==(const ServicePolicy&) const = default;
};

/** One version of the operators' configuration. */
struct PolicySet {
  std::int64_t version = 0;
  std::vector<QueuePolicy> queues;
  std::map<ServiceId, ServicePolicy> services;
  /** Longest accepted body of a caller's request. */
  std::size_t max_body_bytes = 262'144;
  std::size_t max_header_bytes = 16'384;

  /** The queue with the longest matching path prefix; null if none. */
  const QueuePolicy* Route(std::string_view host, std::string_view path) const;
  const QueuePolicy* Find(const QueueId& name) const;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POLICIES_H_
