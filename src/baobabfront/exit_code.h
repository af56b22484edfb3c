#ifndef SRC_BAOBABFRONT_EXIT_CODE_H_
#define SRC_BAOBABFRONT_EXIT_CODE_H_

namespace baobab {

/** Exit codes of the commands for operators. */
enum ExitCode : int {
  kExitDone = 0,
  /** A node refused the request, or a check found faults in a file or node. */
  kExitRefused = 1,
  /** Invalid command-line arguments. */
  kExitUsage = 2,
  /** No node was reachable, or the result is unknown. */
  kExitUnclear = 3,
  /** The edit was accepted, but is not yet in force on all nodes. */
  kExitPartlyInForce = 4,
};

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_EXIT_CODE_H_
