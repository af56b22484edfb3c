#ifndef SRC_BAOBABFRONT_NODE_RUNNER_H_
#define SRC_BAOBABFRONT_NODE_RUNNER_H_

#include "libsettings/settings.h"

namespace baobab {

/**
 * Runs a node until SIGTERM or SIGINT and returns the exit code: 0 after a
 * graceful stop, 1 after a second signal, 2 if the node cannot start. An
 * incarnation of 0 in the settings is replaced by the wall clock time. Must be
 * called before the process starts any thread, since it blocks signals.
 */
int RunNode(const Settings& node_settings);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_NODE_RUNNER_H_
