#ifndef SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_
#define SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_

#include <map>

#include "libfleet/ports.h"

namespace baobab {

/** Decides whether a node takes part in owning shards, in fleets of nodes of
 * uneven size. The owner of a busy pool needs several times the CPU time of a
 * node that only forwards requests, so a node yields ownership while much
 * larger nodes own shards. */
class OwnershipEligibility {
 public:
  /** `milli_cores` is the CPU share of this node in thousandths of a core; 0 if
   * unknown. */
  explicit OwnershipEligibility(int milli_cores) : milli_cores_(milli_cores) {}

  /** Returns the delay between the start of a node and its first attempt to
   * join. It lets larger nodes join first. */
  Duration JoinDelay() const;
  /** Updates the eligibility from the current list of owners. */
  void Observe(const std::map<ShardId, OwnerNode>& owners);
  /** Returns false while this node yields ownership to larger nodes. */
  bool IsEligible() const { return eligible_; }

 private:
  const int milli_cores_;
  bool eligible_ = true;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_
