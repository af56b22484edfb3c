#ifndef SRC_BAOBABFRONT_CONTROL_CLIENT_H_
#define SRC_BAOBABFRONT_CONTROL_CLIENT_H_

#include <string>
#include <vector>

#include "libsettings/settings.h"
#include "libwire/wire.h"

namespace baobab {

/** Result of one HTTP request to a node's control port. */
struct ControlResponse {
  /** HTTP status; 0 if no complete response arrived. */
  int status = 0;
  /** False only if the request definitely did not reach the node. */
  bool sent = false;
  /** The decoded body. Errors: the node was not reachable, the response was
   * incomplete, or its body is not a valid reply. */
  Result<CommandReply> reply;
};

/** Sends a GET request for `path`, such as "/status", to a control port. */
ControlResponse GetControl(const Address& node, const std::string& path);

/** Posts an edit to a control port; waits up to 25 s for the response. */
ControlResponse PostEdit(const Address& node, const TableEdit& edit);

/** Prints "baobabfront: step (peer): message" to standard error. */
void PrintError(const Error& error);

/** A reply and the node that sent it. */
template <typename T>
struct NodeReply {
  Address node;
  T reply;
};

/**
 * Queries the nodes in order until one returns a reply of type T. Returns the
 * error of the last node if none does; errors of the others are printed to
 * standard error.
 */
template <typename T>
Result<NodeReply<T>> QueryInOrder(const std::vector<Address>& nodes,
                                  const std::string& path) {
  Error error{"ask a node", "", "no node was given"};
  for (const auto& node : nodes) {
    const ControlResponse response = GetControl(node, path);
    if (response.reply && std::holds_alternative<T>(*response.reply)) {
      return NodeReply<T>{node, std::get<T>(*response.reply)};
    }
    error = {"GET " + path, ToString(node), "unexpected kind of reply"};
    if (!response.reply) {
      error = response.reply.error();
    } else if (const auto* it = std::get_if<Error>(&*response.reply)) {
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
