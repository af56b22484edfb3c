#ifndef SRC_LIBDECISION_STATE_FETCH_H_
#define SRC_LIBDECISION_STATE_FETCH_H_

#include <optional>

#include "libdecision/log_fold.h"
#include "libdecision/membership.h"

namespace baobab {

/** Fetches the replicated state from a peer if this node starts while the log
 * is down, and serves it to other nodes. */
class StateFetch {
 public:
  explicit StateFetch(Time now) : started_at_(now) {}

  void OnLogRead() { log_failed_ = false; }
  void OnLogReadFailed() { log_failed_ = true; }

  /** Requests the state of the peer with the highest offset, at most every 2 s
   * and not within 3 s of the start. Sends no request until more than half of
   * all peers are alive and have a state: a smaller group may have missed an
   * edit that was in force before this node started. */
  void Tick(Time now,
            const LogFold& fold,
            const Membership& membership,
            Effects& effects);

  /** Sends the state to another node, if this node has caught up itself. */
  static void OnRequest(const NodeId& from,
                        const LogFold& fold,
                        Effects& effects);

  /** Adopts the state in the reply under the conditions of Tick() and of
   * LogFold::Adopt(). */
  void OnReply(const NodeId& from,
               const StateReply& reply,
               Time now,
               const Membership& membership,
               LogFold& fold,
               Effects& effects) const;

 private:
  /** Returns whether more than half of all peers are alive and have a state. */
  static bool HeardMajority(Time now, const Membership& membership);

  Time started_at_;
  Time next_request_at_;
  /** The last read of the log failed. */
  bool log_failed_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_STATE_FETCH_H_
