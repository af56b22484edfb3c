#include "libdecision/text_hash.h"

// Inline, so that the library does not link libxxhash.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace baobab {

std::uint64_t HashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace baobab
