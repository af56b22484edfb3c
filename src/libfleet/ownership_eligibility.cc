#include "libfleet/ownership_eligibility.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** A node yields to owners with at least this many times its CPU share. */
constexpr int kYieldRatio = 2;

/** Join delay of a node with one core. It is inversely proportional to the CPU
 * share, since all nodes of a fleet may start within 0.3 s. */
constexpr Duration kJoinDelayOfOneCore = std::chrono::milliseconds(100);
constexpr Duration kMaxJoinDelay = std::chrono::milliseconds(1000);

}  // namespace

Duration OwnershipEligibility::JoinDelay() const {
  if (milli_cores_ <= 0) {
    return Duration(0);
  }
  return std::min(kMaxJoinDelay, kJoinDelayOfOneCore * 1000 / milli_cores_);
}

void OwnershipEligibility::Observe(const std::map<ShardId, OwnerNode>& owners) {
  eligible_ =
      milli_cores_ <= 0 ||
      std::none_of(owners.begin(), owners.end(), [this](const auto& it) {
        return it.second.milli_cores >= kYieldRatio * milli_cores_;
      });
}

}  // namespace baobab
