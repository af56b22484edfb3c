#ifndef SRC_LIBDECISION_OUTCOME_H_
#define SRC_LIBDECISION_OUTCOME_H_

#include <compare>
#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Outcome of a request as reported to its caller. */
enum class Outcome {
  /** Run; the complete answer of the minion is passed on. */
  kDone,
  /** Proved not to have run. */
  kNotRun,
  /** May or may not have run. */
  kUnknown,
};

/** Reason for a refusal or an unknown outcome, as reported to the caller. */
enum class Reason {
  kNone,
  kUnknownQueue,
  kBadKey,
  kOverLimit,
  kOverQuota,
  kBacklogFull,
  kDeadlinePassed,
  kCannotStartInTime,
  kNoMinion,
  kStopping,
  kUnconfirmed,
  kNoTable,
  kRetriesExhausted,
  kAnswerLost,
  kKeyInProgress,
  kKeyAlreadyRun,
  kKeyUnresolved,
  kAbandoned,
};

/** Identifies one call of a minion for a request; each retry increments the
 * number. */
struct AttemptId {
  RequestId request;
  std::uint32_t number = 0;

  auto operator<=>(const AttemptId&) const = default;
};

/** Result of one call of a minion. */
enum class AttemptResult {
  /** A complete answer arrived and echoed the attempt. */
  kAnswered,
  /** No byte of the request was sent. */
  kNotSent,
  /** The minion refused without running the request. */
  kRefused,
  /** Sent, but no complete answer arrived. */
  kUnknown,
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_OUTCOME_H_
