#ifndef SRC_LIBJOBS_OWNER_LOAD_H_
#define SRC_LIBJOBS_OWNER_LOAD_H_

#include "libbase/base.h"

namespace baobab {

/** Detects whether the owner of a pool keeps up with its own work. If the pool
 * has more tasks than the processor time of the owner suffices for, the owner
 * falls behind by seconds and answers, starts and stops everything late. It
 * refuses new jobs before that happens. */
class OwnerLoad {
 public:
  /** Records that a periodic event was handled `lag` after it was due. */
  void Observe(Duration lag);

  /** Returns whether the owner is too far behind to accept new jobs. */
  bool IsBusy() const { return busy_; }
  Duration lag() const { return lag_; }
  /** Returns the wait before refused callers should retry. */
  Duration RetryAfter() const;

 private:
  bool busy_ = false;
  Duration lag_{0};
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_OWNER_LOAD_H_
