#ifndef SRC_LIBDECISION_SCHEDULING_H_
#define SRC_LIBDECISION_SCHEDULING_H_

#include <functional>
#include <vector>

#include <tl/expected.hpp>

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

/** Decides which queued request starts next, and on which minion. */
class RequestScheduler {
 public:
  virtual ~RequestScheduler() = default;

  /** Queues the request; it is not kept if a Refusal is returned. A request
   * that is retried is admitted again under the same id after Finish(). */
  virtual tl::expected<void, Refusal> Admit(const QueuedRequest& request,
                                            Time now) = 0;

  /** Removes a queued request; ignores an id that is not queued. */
  virtual void Withdraw(RequestId id) = 0;

  /** Removes the requests that start now from the queues and takes a slot for
   * each; the caller starts all of them or gives the slot back by Finish(). */
  virtual std::vector<RequestStart> TakeStarts(Time now,
                                               const UsableMinion& usable) = 0;

  /** Removes the requests that can no longer start in time. */
  virtual std::vector<RefusedRequest> TakeExpired(Time now) = 0;

  /** Returns the slot of a started request. */
  virtual void Finish(RequestId id, Time now) = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_SCHEDULING_H_
