#include "libjobs/pool_balance.h"

#include <algorithm>

namespace baobab {

namespace {

/** Cores of a host of the usual size. */
constexpr double kHostCores = 64;

/** Cores that a pool keeps free for the next jobs: three hosts of the usual
 * size, about what the first second of a turn asks for before moved hosts
 * arrive; or a share of what it uses. */
constexpr double kLeastReserve = 3 * kHostCores;
constexpr double kReserveShare = 0.5;

}  // namespace

void PoolBalance::Add(const ServiceOutlook& outlook, double moving_in) {
  const double present = outlook.used + outlook.waiting + outlook.refused;
  const double need =
      outlook.long_running + std::max(present, outlook.arriving);
  const double deficit =
      std::max(need - outlook.cores, outlook.hosts_lacking * kHostCores) -
      moving_in;
  if (deficit > 0) {
    deficits_[outlook.service] = deficit;
  }
  const double busy = std::max(outlook.used, outlook.arriving);
  spare_[outlook.service] =
      outlook.waiting + outlook.refused + outlook.hosts_lacking > 0
          ? 0
          : outlook.cores - outlook.long_running - busy -
                std::max(kLeastReserve, busy * kReserveShare);
}

bool PoolBalance::CanSpare(const ServiceId& pool, double cores) const {
  const auto it = spare_.find(pool);
  return it != spare_.end() && it->second >= cores;
}

void PoolBalance::Take(const ServiceId& pool, double cores) {
  spare_[pool] -= cores;
}

}  // namespace baobab
