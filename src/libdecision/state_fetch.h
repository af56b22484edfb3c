#ifndef SRC_LIBDECISION_STATE_FETCH_H_
#define SRC_LIBDECISION_STATE_FETCH_H_

#include <optional>

#include "libdecision/log_fold.h"
#include "libdecision/membership.h"

namespace baobab {

/** Gets the folded log from a peer for a node that starts while the log is
 * down, and serves it to others. */
class StateFetch {
 public:
  explicit StateFetch(Time now) : started_at_(now) {}

  void OnLogRead() { log_failed_ = false; }
  void OnLogReadFailed() { log_failed_ = true; }

  /** Asks the peer with the highest offset, at most every 2 s and not before
   * 3 s after the start. Asks nobody until more than half of all peers were
   * heard with a state: any smaller group may have missed an edit that was in
   * force before this node started. */
  void Tick(Time now,
            const LogFold& fold,
            const Membership& membership,
            Effects& effects);

  /** Answers another node, unless this node has no whole state itself. */
  static void OnRequest(const NodeId& from,
                        const LogFold& fold,
                        Effects& effects);

  /** Adopts the reply if the rules of LogFold::Adopt() and of Tick() allow. */
  void OnReply(const NodeId& from,
               const StateReply& reply,
               Time now,
               const Membership& membership,
               LogFold& fold,
               Effects& effects) const;

 private:
  static bool HeardMajority(Time now, const Membership& membership);

  Time started_at_;
  Time next_request_at_;
  bool log_failed_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_STATE_FETCH_H_
