#ifndef SRC_LIBDECISION_REDUCER_H_
#define SRC_LIBDECISION_REDUCER_H_

#include <memory>

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/node_config.h"

namespace baobab {

/** All state of one node; kept in memory only. */
class State;

/** Applies one event to the state and returns the effects, which the caller has
 * to execute in order. All decisions of a node are made here; there are no
 * side effects beyond `state`. */
Effects Reduce(State& state, const Event& event);

/** Returns the initial state of a node that starts at `now`. */
std::shared_ptr<State> MakeState(const NodeConfig& config, Time now);

/** Returns the offset at which the next read of the log starts; it may go back.
 */
Offset NextLogOffset(const State& state);

/** Returns whether the load balancer may send requests to this node. */
bool IsReady(const State& state, Time now);

}  // namespace baobab

#endif  // SRC_LIBDECISION_REDUCER_H_
