#ifndef SRC_LIBDECISION_OUTCOME_H_
#define SRC_LIBDECISION_OUTCOME_H_

#include <compare>
#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** What a caller is told about its request. */
enum class Outcome {
  /** The whole answer of the minion is passed on. */
  kDone,
  /** Proved not to have run. */
  kNotRun,
  /** It may or may not have run. */
  kUnknown,
};

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

/** One call of a minion for a request; a retry has the next number. */
struct AttemptId {
  RequestId request;
  std::uint32_t number = 0;

  auto operator<=>(const AttemptId&) const = default;
};

enum class AttemptResult {
  /** The whole answer arrived and echoed the attempt. */
  kAnswered,
  /** No byte of the request was sent. */
  kNotSent,
  /** The minion refused before it ran the request. */
  kRefused,
  /** Sent, but no whole answer arrived. */
  kUnknown,
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_OUTCOME_H_
