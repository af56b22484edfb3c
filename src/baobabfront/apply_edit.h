#ifndef SRC_BAOBABFRONT_APPLY_EDIT_H_
#define SRC_BAOBABFRONT_APPLY_EDIT_H_

#include <functional>
#include <string>
#include <vector>

#include "baobabfront/control_client.h"
#include "baobabfront/exit_code.h"

namespace baobab {

/** Result of `table apply`: exit code and the text printed for the operator. */
struct ApplyResult {
  ExitCode code = kExitUnclear;
  std::string text;
};

using PostEditFunction =
    std::function<ControlResponse(const Address&, const TableEdit&)>;

/**
 * Submits `edit` to the nodes in turn until one returns a definite result,
 * with at least two attempts in total. Retrying is safe, because the fleet
 * applies each edit id at most once.
 */
ApplyResult ApplyEdit(const std::vector<Address>& nodes,
                      const TableEdit& edit,
                      const PostEditFunction& post);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_APPLY_EDIT_H_
