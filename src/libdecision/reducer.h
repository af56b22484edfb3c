#ifndef SRC_LIBDECISION_REDUCER_H_
#define SRC_LIBDECISION_REDUCER_H_

#include <memory>

#include "libdecision/effect.h"
#include "libdecision/event.h"
#include "libdecision/node_config.h"

namespace baobab {

/** All state of one node. It lives in memory only. */
class State;

/** The one place where decisions are made. It has no side effects beyond
 * `state`; the caller executes the returned effects in order. */
Effects Reduce(State& state, const Event& event);

/** A fresh state, for a node that starts at `now`. */
std::shared_ptr<State> MakeState(const NodeConfig& config, Time now);

/** Offset from which the shell reads the log next; it may go back. */
Offset NextLogOffset(const State& state);

/** True if the balancer may send requests to this node. */
bool IsReady(const State& state, Time now);

}  // namespace baobab

#endif  // SRC_LIBDECISION_REDUCER_H_
