#ifndef SRC_BAOBABFRONT_EXIT_CODE_H_
#define SRC_BAOBABFRONT_EXIT_CODE_H_

namespace baobab {

/** Exit codes of the operators' commands. */
enum ExitCode : int {
  kExitDone = 0,
  /** Refused by a node, or a fault was found in what was checked. */
  kExitRefused = 1,
  /** Wrong arguments. */
  kExitUsage = 2,
  /** No node could be reached, or the result is not known. */
  kExitUnclear = 3,
  /** Accepted, but not yet in force on all nodes. */
  kExitPartly = 4,
};

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_EXIT_CODE_H_
