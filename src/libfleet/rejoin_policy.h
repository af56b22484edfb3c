#ifndef SRC_LIBFLEET_REJOIN_POLICY_H_
#define SRC_LIBFLEET_REJOIN_POLICY_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "libbase/base.h"

namespace baobab {

/** Decides when a node whose membership has expired owns shards again. Each
 * join moves shards away from owners that work, and the planner's with them, to
 * a node that has just failed. The node therefore stays out for a while, unless
 * too many other owners have failed too. */
class RejoinPolicy {
 public:
  /** Time for which a node stays out once the store answers again. */
  static constexpr Duration kDelay = std::chrono::seconds(60);

  /** Records that the membership has expired, when `owners` nodes, including
   * this one, owned shards. */
  void Expire(std::size_t owners);
  /** Returns whether to join, now that `owners` other nodes own shards. */
  bool MayJoin(std::size_t owners, Time now);
  /** Forgets the expiry, as the node is a member again or has left. */
  void Reset() { expired_.reset(); }

 private:
  struct Expired {
    std::size_t owners = 0;
    /** First question after the expiry. */
    std::optional<Time> asked_at;
  };
  /** Set while the node stays out. */
  std::optional<Expired> expired_;
};

}  // namespace baobab

#endif  // SRC_LIBFLEET_REJOIN_POLICY_H_
