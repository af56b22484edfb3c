#ifndef SRC_LIBDECISION_SCHEDULING_H_
#define SRC_LIBDECISION_SCHEDULING_H_

#include <functional>
#include <vector>

#include "libdecision/outcome.h"

namespace baobab {

/** A request that waits for a slot. */
struct QueuedRequest {
  RequestId id;
  QueueId queue;
  Time arrived;
  /** The request must have started by then, or it is refused. */
  Time start_by;
  Bytes size;
  /** Minions that failed this request before; used only if no other is free. */
  std::vector<MinionId> avoid;
};

/** A request which got a slot of a minion. */
struct RequestStart {
  RequestId id;
  QueueId queue;
  MinionId minion;
};

/** Why a request is not run, and when a retry may succeed. */
struct Refusal {
  Reason reason = Reason::kNone;
  Duration retry_after{0};
};

struct RefusedRequest {
  RequestId id;
  Refusal refusal;
};

/** True if the minion may get new work. */
using UsableMinion = std::function<bool(const MinionId&)>;

}  // namespace baobab

#endif  // SRC_LIBDECISION_SCHEDULING_H_
