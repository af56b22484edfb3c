#ifndef SRC_LIBDECISION_STATE_H_
#define SRC_LIBDECISION_STATE_H_

#include <map>
#include <set>

#include "libdecision/event.h"
#include "libdecision/fair_scheduler.h"
#include "libdecision/key_registry.h"
#include "libdecision/log_fold.h"
#include "libdecision/log_reading.h"
#include "libdecision/log_writer.h"
#include "libdecision/membership.h"
#include "libdecision/minion_health.h"
#include "libdecision/node_config.h"
#include "libdecision/planner.h"
#include "libdecision/reducer.h"
#include "libdecision/request_flow.h"
#include "libdecision/state_fetch.h"
#include "libdecision/table_commands.h"

namespace baobab {

/** All state of one node, with one member per responsibility. reducer.cc passes
 * each event to the members that handle it. */
class State {
 public:
  State(const NodeConfig& config, Time now);
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  const NodeConfig config;

  /** Replicated state, derived from the log. */
  LogFold fold;
  LogReading reading;
  StateFetch fetch;
  LogWriter writer;
  Membership membership;
  TableCommands commands;
  Planner planner;

  FairScheduler scheduler;
  KeyRegistry keys;
  MinionHealth minions;
  RequestFlow requests;

  /** Table version last passed to the other members; -1 before the first. */
  std::int64_t table_in_use = -1;
  /** Nodes known to have released all units that they lost in the view in use;
   * always includes this node. */
  std::set<NodeId> released_nodes;
  /** View number last passed to the scheduler; -1 before the first. */
  std::int64_t view_in_use = -1;
  /** Number of invariant violations that the scheduler reported. */
  std::uint64_t violations = 0;
};

/** Returns the answer to StatusRequested. */
StatusReport MakeStatus(const State& state, Time now);

}  // namespace baobab

#endif  // SRC_LIBDECISION_STATE_H_
