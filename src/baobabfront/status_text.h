#ifndef SRC_BAOBABFRONT_STATUS_TEXT_H_
#define SRC_BAOBABFRONT_STATUS_TEXT_H_

#include <string>

#include "libdecision/decision.h"

namespace baobab {

/** A node's report as aligned text; times in milliseconds or seconds. */
std::string StatusText(const StatusReport& report);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_STATUS_TEXT_H_
