#ifndef SRC_LIBJOBS_POOL_BALANCE_H_
#define SRC_LIBJOBS_POOL_BALANCE_H_

#include <map>

#include "libjobs/pool_usage.h"

namespace baobab {

/** Cores that pools lack and cores that they can give away, at one moment.
 * Answers queues whose demand turns within seconds: a pool asks for what the
 * arriving work will keep busy, not only for what waits already, since a host
 * takes seconds to arrive; a pool whose turn is over gives away the rest. */
class PoolBalance {
 public:
  /** Adds a pool; `moving_in` are cores of hosts on their way to it. */
  void Add(const ServiceUsage& usage, double moving_in);

  /** Cores to move into each pool that lacks some, by pool. */
  const std::map<ServiceId, double>& deficits() const { return deficits_; }
  /** True if the pool can do without a host of `cores`. */
  bool CanSpare(const ServiceId& pool, double cores) const;
  /** A host of `cores` leaves the pool, or its room is not usable any more. */
  void RemoveCores(const ServiceId& pool, double cores);

 private:
  std::map<ServiceId, double> deficits_;
  std::map<ServiceId, double> spare_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_BALANCE_H_
