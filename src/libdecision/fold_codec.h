#ifndef SRC_LIBDECISION_FOLD_CODEC_H_
#define SRC_LIBDECISION_FOLD_CODEC_H_

#include <string>
#include <string_view>

#include "libdecision/fold_state.h"

namespace baobab {

/** Returns the state as the text of a snapshot: one JSON object. Equal states
 * give equal text. */
std::string EncodeFold(const FoldState& state);

/** Parses the text of a snapshot. Fails if it is not JSON, lacks a field, has
 * another format version, or holds an invalid table. */
Result<FoldState> DecodeFold(std::string_view text);

}  // namespace baobab

#endif  // SRC_LIBDECISION_FOLD_CODEC_H_
