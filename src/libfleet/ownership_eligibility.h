#ifndef SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_
#define SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_

#include <map>

#include "libfleet/ports.h"

namespace baobab {

/** Decides whether a node takes part in owning shards. Answers fleets of uneven
 * nodes: the owner of a busy pool needs several times the processor time of a
 * node that only forwards, so nodes stand back while much larger ones own
 * shards. */
class OwnershipEligibility {
 public:
  /** `milli_cores` is the processor time of this node; 0 if unknown. */
  explicit OwnershipEligibility(int milli_cores) : milli_cores_(milli_cores) {}

  /** How long a node waits after its start, so that larger ones come first. */
  Duration JoinDelay() const;
  /** A list of the owners was read. */
  void Observe(const std::map<ShardId, OwnerNode>& owners);
  /** False while this node leaves the shards to larger ones. */
  bool IsEligible() const { return eligible_; }

 private:
  const int milli_cores_;
  bool eligible_ = true;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_OWNERSHIP_ELIGIBILITY_H_
