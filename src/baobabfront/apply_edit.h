#ifndef SRC_BAOBABFRONT_APPLY_EDIT_H_
#define SRC_BAOBABFRONT_APPLY_EDIT_H_

#include <functional>
#include <string>
#include <vector>

#include "baobabfront/control_client.h"
#include "baobabfront/exit_code.h"

namespace baobab {

/** Outcome of `table apply` with the text for the operator. */
struct ApplyResult {
  ExitCode code = kExitUnclear;
  std::string text;
};

using PostEditFunction =
    std::function<ControlAnswer(const Address&, const TableEdit&)>;

/** Submits the same edit to one node after the other, at least twice, until an
 * answer is clear. Repeating is safe: the fleet applies an edit id once. */
ApplyResult ApplyEdit(const std::vector<Address>& nodes,
                      const TableEdit& edit,
                      const PostEditFunction& post);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_APPLY_EDIT_H_
