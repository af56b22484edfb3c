#ifndef SRC_BAOBABFRONT_STATUS_TEXT_H_
#define SRC_BAOBABFRONT_STATUS_TEXT_H_

#include <string>

#include "libdecision/decision.h"

namespace baobab {

/** Formats a node's status report as aligned text. Start delays are shown in
 * milliseconds, the silence of peers in seconds. */
std::string FormatStatus(const StatusReport& report);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_STATUS_TEXT_H_
