#ifndef SRC_BAOBABFRONT_UTC_TIME_H_
#define SRC_BAOBABFRONT_UTC_TIME_H_

#include <cstdint>
#include <string>

namespace baobab {

/** Formats milliseconds since 1970 as "2026-12-04 09:30:00.123Z". Returns "-"
 * for times that are not positive or have no valid date. */
std::string FormatUtc(std::int64_t wall_ms);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_UTC_TIME_H_
