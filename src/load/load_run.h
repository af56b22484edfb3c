#ifndef SRC_LOAD_LOAD_RUN_H_
#define SRC_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load/caller.h"

namespace baobab::load {

struct LoadOptions {
  std::vector<QueueLoad> queues;
  /** Addresses of the nodes' caller ports, or of minions if direct. */
  std::vector<std::string> targets;
  std::chrono::seconds duration{5};
  std::uint64_t seed = 7;
  /** Begins the ids of all requests; two runs need different ones. */
  std::string run_name = "load";
  CallerOptions caller;
};

/** Sends all planned requests and returns what their callers got. Requests
 * start at their planned time even if earlier ones are not answered, as long
 * as a caller is free. */
std::vector<CallRecord> RunLoad(const LoadOptions& options);

}  // namespace baobab::load

#endif  // SRC_LOAD_LOAD_RUN_H_
