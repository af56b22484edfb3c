#include "libjobs/pool_balance.h"

#include <algorithm>

namespace baobab {

namespace {

/** Cores of a host of the most common size. */
constexpr double kTypicalHostCores = 64;

/** Cores that a pool keeps free for the next jobs: three typical hosts, which
 * is about the demand in the first second of a peak, before moved hosts arrive;
 * or a share of its busy cores if that is more. */
constexpr double kMinReserveCores = 3 * kTypicalHostCores;
constexpr double kReserveShare = 0.5;

}  // namespace

double PoolBalance::DeficitOf(const ServiceUsage& usage) {
  const double current_demand = usage.used + usage.waiting + usage.refused;
  const double need = usage.long_running +
                      std::max(current_demand, usage.arriving.ExpectedCores());
  return need - usage.cores;
}

double PoolBalance::AcceptedDeficitOf(const ServiceUsage& usage) {
  return std::max(usage.long_running + usage.used + usage.waiting - usage.cores,
                  usage.missing_hosts * kTypicalHostCores);
}

double PoolBalance::LateDeficitOf(const ServiceUsage& usage) {
  return std::max(usage.waiting_late - std::max(0.0, usage.FreeCores()),
                  usage.missing_hosts_late * kTypicalHostCores);
}

void PoolBalance::Add(const ServiceUsage& usage, double moving_in) {
  const double deficit = DeficitOf(usage) - moving_in;
  if (deficit > 0) {
    deficits_[usage.service] = deficit;
  }
  const double busy = std::max(usage.used, usage.arriving.ExpectedCores());
  spare_[usage.service] =
      usage.waiting + usage.refused + usage.missing_hosts > 0
          ? 0
          : usage.cores - usage.long_running - busy -
                std::max(kMinReserveCores, busy * kReserveShare);
}

bool PoolBalance::CanSpare(const ServiceId& pool, double cores) const {
  const auto it = spare_.find(pool);
  return it != spare_.end() && it->second >= cores;
}

void PoolBalance::RemoveCores(const ServiceId& pool, double cores) {
  spare_[pool] -= cores;
}

}  // namespace baobab
