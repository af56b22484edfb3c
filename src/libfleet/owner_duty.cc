#include "libfleet/owner_duty.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** A node stands back for owners with this many times its processor time. */
constexpr int kMuchLarger = 2;

/** A node of one core waits this long before it joins; smaller ones in
 * proportion longer, since all nodes of a fleet may start within 0.3 s. */
constexpr Duration kDelayOfOneCore = std::chrono::milliseconds(100);
constexpr Duration kLongestDelay = std::chrono::milliseconds(1000);

}  // namespace

Duration OwnerDuty::JoinDelay() const {
  if (milli_cores_ <= 0) {
    return Duration(0);
  }
  return std::min(kLongestDelay, kDelayOfOneCore * 1000 / milli_cores_);
}

void OwnerDuty::Observe(const std::map<ShardId, ShardHolder>& owners) {
  wanted_ = milli_cores_ <= 0 ||
            std::none_of(owners.begin(), owners.end(), [this](const auto& it) {
              return it.second.milli_cores >= kMuchLarger * milli_cores_;
            });
}

}  // namespace baobab
