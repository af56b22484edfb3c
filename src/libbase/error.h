#ifndef SRC_LIBBASE_ERROR_H_
#define SRC_LIBBASE_ERROR_H_

#include <string>

#include <tl/expected.hpp>

namespace baobab {

/** An error, with the failed operation and the peer it concerns. */
struct Error {
  /** The failed operation, for example "append record". */
  std::string step;
  /** Node, address, file or sheet that the operation used; empty if none. */
  std::string peer;
  /** What went wrong, in a short sentence. */
  std::string message;

  bool operator==(const Error&) const = default;
};

/** A value, or the error that prevented it. */
template <typename T>
using Result = tl::expected<T, Error>;

/** Formats the error for logs and the console: "step (peer): message". */
inline std::string ToString(const Error& error) {
  if (error.peer.empty()) {
    return error.step + ": " + error.message;
  }
  return error.step + " (" + error.peer + "): " + error.message;
}

}  // namespace baobab

#endif  // SRC_LIBBASE_ERROR_H_
