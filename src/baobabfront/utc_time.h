#ifndef SRC_BAOBABFRONT_UTC_TIME_H_
#define SRC_BAOBABFRONT_UTC_TIME_H_

#include <cstdint>
#include <string>

namespace baobab {

/** Wall clock in milliseconds since 1970 as "2026-12-04 09:30:00.123Z"; "-" for
 * 0 and for times that are no valid date. */
std::string UtcText(std::int64_t wall_ms);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_UTC_TIME_H_
