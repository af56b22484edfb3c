#include "libjobs/owner_load.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** Lag from which the owner counts as busy: each step waits for the owner
 * twice, so jobs lose a noticeable part of the time to their objective. */
constexpr Duration kBusyLag = std::chrono::milliseconds(120);
/** Lag below which a busy owner has recovered; well below kBusyLag, so that a
 * few accepted jobs do not make it busy again. */
constexpr Duration kRecoveredLag = std::chrono::milliseconds(40);

/** Bounds of Retry-After. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(4000);
/** Expected recovery time as a multiple of the lag: working off a backlog takes
 * several times the lag, since runs keep ending meanwhile. */
constexpr int kRecoveryLagFactor = 8;

}  // namespace

void OwnerLoad::Observe(Duration lag) {
  lag_ = std::max(Duration(0), lag);
  busy_ = lag_ >= (busy_ ? kRecoveredLag : kBusyLag);
}

Duration OwnerLoad::RetryAfter() const {
  return std::clamp(lag_ * kRecoveryLagFactor, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace baobab
