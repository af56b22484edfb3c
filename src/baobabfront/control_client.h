#ifndef SRC_BAOBABFRONT_CONTROL_CLIENT_H_
#define SRC_BAOBABFRONT_CONTROL_CLIENT_H_

#include <string>
#include <vector>

#include "libsettings/settings.h"
#include "libwire/wire.h"

namespace baobab {

/** Result of one call of a control port. */
struct ControlAnswer {
  /** HTTP status; 0 if no whole answer arrived. */
  int status = 0;
  /** False only if the node certainly did not get the request. */
  bool sent = false;
  /** Error: not reached, no whole answer, or an answer that is no reply. */
  Result<CommandReply> reply;
};

/** GET of a control port's path, such as "/status". */
ControlAnswer GetControl(const Address& node, const std::string& path);

/** POST of an edit; waits up to 25 s for the node's answer. */
ControlAnswer PostEdit(const Address& node, const TableEdit& edit);

/** Writes "baobabfront: step (peer): message" to standard error. */
void PrintError(const Error& error);

/** A reply and the node it came from. */
template <typename T>
struct NodeReply {
  Address node;
  T reply;
};

/** Asks the nodes in turn until one gives a reply of type T. The error holds
 * what was wrong with the last; earlier errors go to standard error. */
template <typename T>
Result<NodeReply<T>> AskInTurn(const std::vector<Address>& nodes,
                               const std::string& path) {
  Error error{"ask a node", "", "no node was named"};
  for (const auto& node : nodes) {
    const ControlAnswer answer = GetControl(node, path);
    if (answer.reply && std::holds_alternative<T>(*answer.reply)) {
      return NodeReply<T>{node, std::get<T>(*answer.reply)};
    }
    error = {"GET " + path, ToString(node), "unexpected kind of reply"};
    if (!answer.reply) {
      error = answer.reply.error();
    } else if (const auto* it = std::get_if<Error>(&*answer.reply)) {
      error.message = ToString(*it);
    }
    if (&node != &nodes.back()) {
      PrintError(error);
    }
  }
  return tl::unexpected(error);
}

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_CONTROL_CLIENT_H_
