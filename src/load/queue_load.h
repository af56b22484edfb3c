#ifndef SRC_LOAD_QUEUE_LOAD_H_
#define SRC_LOAD_QUEUE_LOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace baobab::load {

/** Load to generate on one queue. */
struct QueueLoad {
  std::string queue;
  /** Mean arrival rate; the times between arrivals are exponential. */
  double requests_per_second = 10;
  /** Run time requested from the minion with X-Run-Ms. */
  std::chrono::milliseconds run_time{20};
  /** Share of the requests that are not idempotent. */
  double non_idempotent_share = 0.5;
  /** Share of the non-idempotent requests that carry an idempotency key. */
  double key_share = 0;
  /** Maximum number of concurrent requests. */
  int max_callers = 64;
};

/** Parses "NAME:rate=50,run-ms=20,non-idempotent=0.5,keys=0.3,callers=64"; all
 * settings are optional. Errors: no queue name, an unknown setting, or a value
 * out of range. */
Result<QueueLoad> ParseQueueLoad(const std::string& text);

/** A request to be sent at a given time. */
struct PlannedRequest {
  /** Time from the start of the run. */
  std::chrono::microseconds at{0};
  /** Index of the queue. */
  std::size_t queue = 0;
  /** Unique within the run. */
  std::string id;
  /** Whether the request is sent with an idempotent method. */
  bool idempotent = true;
  /** Whether the caller requests an idempotency key first. */
  bool keyed = false;
  /** Whether it is sent again with the same key after it is done. */
  bool repeat_when_done = false;
  /** Seed of the random choices of nodes. */
  std::uint64_t seed = 0;
};

/** Plans all requests of one queue. The same seed gives the same plan. All ids
 * start with `run_name`. */
std::vector<PlannedRequest> PlanRequests(const QueueLoad& load,
                                         std::size_t queue,
                                         std::chrono::seconds duration,
                                         std::uint64_t seed,
                                         const std::string& run_name);

}  // namespace baobab::load

#endif  // SRC_LOAD_QUEUE_LOAD_H_
