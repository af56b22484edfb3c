#include "libjobs/owner_load.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** A lag at which jobs lose a noticeable part of their objective: each step
 * waits for the owner twice. */
constexpr Duration kBusyLag = std::chrono::milliseconds(120);
/** Well below it, so that a few accepted jobs do not make it busy again. */
constexpr Duration kRecoveredLag = std::chrono::milliseconds(40);

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(4000);
/** Work that has piled up takes several times its lag to be worked off, since
 * runs go on ending meanwhile. */
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
