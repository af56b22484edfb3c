#ifndef SRC_LOAD_LOAD_RUN_H_
#define SRC_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load/caller.h"

namespace baobab::load {

/** The requests of one load run and where to send them. */
struct LoadOptions {
  std::vector<QueueLoad> queues;
  /** Caller ports of the nodes, or ports of minions if `caller.direct` is set;
   * each "ip:port". */
  std::vector<std::string> targets;
  std::chrono::seconds duration{5};
  std::uint64_t seed = 7;
  /** Prefix of all request ids; must differ between runs. */
  std::string run_name = "load";
  CallerOptions caller;
};

/**
 * Sends all planned requests and returns their results. A request starts at its
 * planned time even if earlier ones have no response yet, unless all callers of
 * its queue are busy.
 */
std::vector<CallRecord> RunLoad(const LoadOptions& options);

}  // namespace baobab::load

#endif  // SRC_LOAD_LOAD_RUN_H_
