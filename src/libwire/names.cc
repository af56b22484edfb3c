#include "libwire/wire.h"

namespace baobab {

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kUnknownQueue:
      return "unknown-queue";
    case Reason::kBadKey:
      return "bad-key";
    case Reason::kOverLimit:
      return "over-limit";
    case Reason::kOverQuota:
      return "over-quota";
    case Reason::kBacklogFull:
      return "backlog-full";
    case Reason::kDeadlinePassed:
      return "deadline-passed";
    case Reason::kCannotStartInTime:
      return "cannot-start-in-time";
    case Reason::kNoMinion:
      return "no-minion";
    case Reason::kStopping:
      return "stopping";
    case Reason::kUnconfirmed:
      return "unconfirmed";
    case Reason::kNoTable:
      return "no-table";
    case Reason::kRetriesExhausted:
      return "retries-exhausted";
    case Reason::kAnswerLost:
      return "answer-lost";
    case Reason::kKeyInProgress:
      return "key-in-progress";
    case Reason::kKeyAlreadyRun:
      return "key-already-run";
    case Reason::kKeyUnresolved:
      return "key-unresolved";
    case Reason::kAbandoned:
      return "abandoned";
  }
  return "none";
}

}  // namespace baobab
