#include "libjobs/background_throttle.h"

#include <array>
#include <chrono>

namespace baobab {

namespace {

/** Speed levels, from full speed to none. The last is reached within three
 * polls, about 3 s; slow responses count as a violation after 4 s. */
constexpr std::array<int, 4> kSpeedPercents = {100, 40, 10, 0};

/** Ratios of tail response time to target above which background runs are
 * slowed, and below which they may speed up. The gap prevents a change with
 * each poll. */
constexpr double kThrottleAbove = 0.9;
constexpr double kReleaseBelow = 0.6;

/** Minimum time between two reductions: a new speed takes effect after 100 ms,
 * and the tail is that of the last half second. */
constexpr Duration kSettleTime = std::chrono::milliseconds(600);
/** Time with all tails below kReleaseBelow before the speed rises by a
 * level. */
constexpr Duration kCalmTime = std::chrono::milliseconds(3000);

}  // namespace

int BackgroundThrottle::SpeedPercentFor(const WorkerId& worker,
                                        double worst,
                                        Time now) {
  auto& state = states_[worker];
  const bool calm = worst < kReleaseBelow;
  if (calm && !state.calm) {
    state.calm_since = now;
  }
  state.calm = calm;
  if (worst > kThrottleAbove && state.level + 1 < kSpeedPercents.size() &&
      (state.level == 0 || now - state.changed_at >= kSettleTime)) {
    ++state.level;
    state.changed_at = now;
  } else if (calm && state.level > 0 && now - state.calm_since >= kCalmTime) {
    --state.level;
    state.changed_at = now;
    state.calm_since = now;
  }
  return kSpeedPercents.at(state.level);
}

}  // namespace baobab
