#ifndef SRC_LIBDECISION_FOLD_CODEC_H_
#define SRC_LIBDECISION_FOLD_CODEC_H_

#include <string>
#include <string_view>

#include "libdecision/fold_state.h"

namespace baobab {

/** Snapshot text: one JSON object; equal states give equal text. */
std::string EncodeFold(const FoldState& state);

/** Errors: not JSON, wrong shape, another format, or a table with faults. */
Result<FoldState> DecodeFold(std::string_view text);

}  // namespace baobab

#endif  // SRC_LIBDECISION_FOLD_CODEC_H_
