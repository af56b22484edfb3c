#ifndef SRC_BAOBABFRONT_NODE_RUNNER_H_
#define SRC_BAOBABFRONT_NODE_RUNNER_H_

#include "libsettings/settings.h"

namespace baobab {

/** Runs a node until SIGTERM or SIGINT and returns the exit code: 0 after a
 * graceful stop, 1 after a second signal, 2 if it cannot start. */
int RunNode(const Settings& settings);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_NODE_RUNNER_H_
