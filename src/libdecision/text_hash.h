#ifndef SRC_LIBDECISION_TEXT_HASH_H_
#define SRC_LIBDECISION_TEXT_HASH_H_

#include <cstdint>
#include <string_view>

namespace baobab {

/** Returns a hash that is the same in every process and release. */
std::uint64_t HashText(std::string_view text);

}  // namespace baobab

#endif  // SRC_LIBDECISION_TEXT_HASH_H_
