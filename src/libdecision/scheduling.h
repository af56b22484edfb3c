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
  /** Latest time to start; the request is refused after it. */
  Time start_by;
  Bytes size;
  /** Minions on which attempts failed; used only if no other is free. */
  std::vector<MinionId> avoid;
};

/** A request that got a slot of a minion. */
struct RequestStart {
  RequestId id;
  QueueId queue;
  MinionId minion;
};

/** Reason for refusing a request, and time after which a retry may succeed. */
struct Refusal {
  Reason reason = Reason::kNone;
  Duration retry_after{0};
};

/** A queued request that was refused later. */
struct RefusedRequest {
  RequestId id;
  Refusal refusal;
};

/** Returns true if the minion may get new requests. */
using UsableMinion = std::function<bool(const MinionId&)>;

/** Interface of the scheduler, which decides which queued request starts next
 * and on which minion. */
class RequestScheduler {
 public:
  virtual ~RequestScheduler() = default;

  /** Queues the request, unless a Refusal is returned. A retry is admitted
   * again under the same id after Finish(). */
  virtual tl::expected<void, Refusal> Admit(const QueuedRequest& request,
                                            Time now) = 0;

  /** Removes a queued request; ignores an id that is not queued. */
  virtual void Withdraw(RequestId id) = 0;

  /** Removes the requests that start now from their queues and takes a slot for
   * each; the caller must start each or release its slot by Finish(). */
  virtual std::vector<RequestStart> TakeStarts(Time now,
                                               const UsableMinion& usable) = 0;

  /** Removes and returns the requests that can no longer start in time. */
  virtual std::vector<RefusedRequest> TakeExpired(Time now) = 0;

  /** Releases the slot of a started request. */
  virtual void Finish(RequestId id, Time now) = 0;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_SCHEDULING_H_
