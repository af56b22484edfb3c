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

/** Terms of an advice service that decides which workers may run a step, before
 * the step is placed. */
struct AdvicePolicy {
  /** Time that the service takes for a decision, and in addition per worker. */
  Duration decision_time{0};
  Duration time_per_worker{0};
  /** How long its tickets are valid. */
  Duration ticket_ttl{0};

  bool operator==(const AdvicePolicy&) const = default;
};

/** The operators' settings of one queue. */
struct QueuePolicy {
  QueueId name;
  /** Host and path prefix of the callers' requests to this queue. */
  std::string host;
  std::string path_prefix;
  ServiceId service;
  /** Lower values come first, from 0. */
  int priority = 0;
  /** Number of failed runs of a task after which its job fails. */
  int max_attempts = 1;
  /** The objective of a job is `stretch` times its critical path plus
   * `target`. */
  double stretch = 1;
  Duration target{0};
  std::optional<AdvicePolicy> advice;

  /** Returns a key that depends on host and path prefix only. */
  QueueKey Key() const;

  bool operator==(const QueuePolicy&) const = default;
};

/** The operators' settings for the workers of one service. */
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
  /** Maximum body size of a caller's request. */
  std::size_t max_body_bytes = 262'144;
  std::size_t max_header_bytes = 16'384;

  /** Returns the queue with the longest matching path prefix, or null. */
  const QueuePolicy* Route(std::string_view host, std::string_view path) const;
  /** Returns the queue of this name, or null. */
  const QueuePolicy* Find(const QueueId& name) const;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POLICIES_H_
