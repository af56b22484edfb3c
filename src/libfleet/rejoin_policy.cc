#include "libfleet/rejoin_policy.h"

namespace baobab {

namespace {

/** Share of the former owners that must own shards for a node to stay out; the
 * load of the others then rises by half at most. */
constexpr std::size_t kMinOwnersNumerator = 2;
constexpr std::size_t kMinOwnersDenominator = 3;

}  // namespace

void RejoinPolicy::Expire(std::size_t owners) {
  if (!expired_) {
    expired_ = Expired{owners, std::nullopt};
  }
}

bool RejoinPolicy::MayJoin(std::size_t owners, Time now) {
  if (!expired_) {
    return true;
  }
  if (!expired_->asked_at) {
    expired_->asked_at = now;
  }
  return owners == 0 ||
         owners * kMinOwnersDenominator <
             expired_->owners * kMinOwnersNumerator ||
         now - *expired_->asked_at >= kDelay;
}

}  // namespace baobab
