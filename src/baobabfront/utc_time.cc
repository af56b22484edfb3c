#include "baobabfront/utc_time.h"

#include <ctime>

#include <fmt/format.h>

namespace baobab {

std::string FormatUtc(std::int64_t wall_ms) {
  const std::time_t seconds = wall_ms / 1000;
  std::tm parts{};
  if (wall_ms <= 0 || gmtime_r(&seconds, &parts) == nullptr) {
    return "-";
  }
  return fmt::format("{:04}-{:02}-{:02} {:02}:{:02}:{:02}.{:03}Z",
                     parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday,
                     parts.tm_hour, parts.tm_min, parts.tm_sec, wall_ms % 1000);
}

}  // namespace baobab
