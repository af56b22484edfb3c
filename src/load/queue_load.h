#ifndef SRC_LOAD_QUEUE_LOAD_H_
#define SRC_LOAD_QUEUE_LOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libbase/base.h"

namespace baobab::load {

/** The load on one queue. */
struct QueueLoad {
  std::string queue;
  /** Requests per second, with exponential gaps. */
  double rate = 10;
  /** Run time that the minion is asked for. */
  std::chrono::milliseconds run{20};
  /** Share of requests that are not idempotent. */
  double non_idempotent = 0.5;
  /** Share of the non-idempotent requests that carry an issued key. */
  double keys = 0;
  /** Most callers that wait for an answer at once. */
  int callers = 64;
};

/** Reads "NAME:rate=50,run-ms=20,non-idempotent=0.5,keys=0.3,callers=64"; all
 * values are optional. Errors: an unknown name or a value out of range. */
Result<QueueLoad> ParseQueueLoad(const std::string& text);

/** A request that will be sent at a given time from the start of the run. */
struct PlannedRequest {
  std::chrono::microseconds at{0};
  /** Index of the queue. */
  std::size_t queue = 0;
  /** Unique in the run. */
  std::string id;
  bool idempotent = true;
  bool keyed = false;
  /** Sent once more with its key after it is done. */
  bool repeat = false;
  /** Seeds the choices of this request. */
  std::uint64_t seed = 0;
};

/** All requests of one queue; the same seed gives the same plan. `run_name`
 * begins all ids. */
std::vector<PlannedRequest> PlanRequests(const QueueLoad& load,
                                         std::size_t queue,
                                         std::chrono::seconds duration,
                                         std::uint64_t seed,
                                         const std::string& run_name);

}  // namespace baobab::load

#endif  // SRC_LOAD_QUEUE_LOAD_H_
