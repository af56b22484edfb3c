#ifndef SRC_LIBJOBS_POOL_BALANCE_H_
#define SRC_LIBJOBS_POOL_BALANCE_H_

#include <map>

#include "libjobs/pool_usage.h"

namespace baobab {

/** Computes the cores that pools lack and those that they can spare at one
 * point in time. Demand shifts between pools within seconds, and a host takes
 * seconds to move: so a pool requests the cores that arriving work will keep
 * busy, not only those for waiting tasks, and gives away the rest after a
 * demand peak. */
class PoolBalance {
 public:
  /** Returns the cores that a pool, or one cell of it, lacks as a whole;
   * negative if it has free cores. */
  static double DeficitOf(const ServiceUsage& usage);

  /** Returns the cores that the accepted work of a cell lacks, including those
   * of its missing hosts; negative if it has free cores. Unlike a request, it
   * cannot go to another cell. */
  static double AcceptedDeficitOf(const ServiceUsage& usage);

  /** Returns the cores that waiting tasks of late jobs lack in a cell,
   * including those of their missing hosts. */
  static double LateDeficitOf(const ServiceUsage& usage);

  /** Adds a pool. `moving_in` are the cores of hosts on their way to it. */
  void Add(const ServiceUsage& usage, double moving_in);

  /** Returns the missing cores by pool, for pools that lack some. */
  const std::map<ServiceId, double>& deficits() const { return deficits_; }
  /** Returns whether the pool can spare a host of `cores`. */
  bool CanSpare(const ServiceId& pool, double cores) const;
  /** Subtracts a host of `cores` that leaves the pool, or that it can no longer
   * use, from what the pool can spare. */
  void RemoveCores(const ServiceId& pool, double cores);

 private:
  /** Cores by pool. A spare value may be negative. */
  std::map<ServiceId, double> deficits_;
  std::map<ServiceId, double> spare_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_POOL_BALANCE_H_
