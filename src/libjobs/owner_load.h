#ifndef SRC_LIBJOBS_OWNER_LOAD_H_
#define SRC_LIBJOBS_OWNER_LOAD_H_

#include "libbase/base.h"

namespace baobab {

/** Tells whether the owner of a pool keeps up with its own work. Answers pools
 * whose tasks are more than the processor time of their owner can order: an
 * owner that falls behind by seconds would answer, start and stop everything
 * late, so it refuses new jobs before. */
class OwnerLoad {
 public:
  /** A periodic event was handled `lag` after it was due. */
  void Observe(Duration lag);

  bool IsBusy() const { return busy_; }
  Duration lag() const { return lag_; }
  /** When refused callers may come back. */
  Duration RetryAfter() const;

 private:
  bool busy_ = false;
  Duration lag_{0};
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_OWNER_LOAD_H_
