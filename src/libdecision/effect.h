#ifndef SRC_LIBDECISION_EFFECT_H_
#define SRC_LIBDECISION_EFFECT_H_

#include <string>
#include <variant>
#include <vector>

#include "libdecision/outcome.h"
#include "libdecision/peer_message.h"
#include "libdecision/record.h"
#include "libdecision/report.h"

namespace baobab {

/** Calls the minion with the request and reports AttemptFinished. */
struct StartAttempt {
  AttemptId attempt;
  MinionId minion;
  /** "ip:port". */
  std::string address;
  Duration timeout{0};
};

/** Passes the answer of this attempt to the caller and ends the request. */
struct DeliverAnswer {
  AttemptId attempt;
};

/** Answers the caller without an answer of a minion and ends the request. */
struct Respond {
  RequestId id;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  /** When a retry may succeed; 0 if unknown. */
  Duration retry_after{0};
};

/** Answers the caller with an answer kept for its key. */
struct DeliverStoredAnswer {
  RequestId id;
  StoredAnswer answer;
};

struct IssueKey {
  RequestId id;
  std::string key;
};

struct SendPeer {
  NodeId to;
  PeerMessage message;
};

/** Appends to the log and reports AppendFinished. */
struct AppendRecord {
  Record record;
};

struct ProbeMinion {
  MinionId minion;
  std::string address;
};

struct AnswerCommand {
  CommandId command;
  CommandReply reply;
};

/** Writes an event to the time line. */
struct WriteTimelineEntry {
  TimelineEntry entry;
};

/** All accepted requests have ended and the process may exit. */
struct StopProcess {};

using Effect = std::variant<StartAttempt,
                            DeliverAnswer,
                            Respond,
                            DeliverStoredAnswer,
                            IssueKey,
                            SendPeer,
                            AppendRecord,
                            ProbeMinion,
                            AnswerCommand,
                            WriteTimelineEntry,
                            StopProcess>;

using Effects = std::vector<Effect>;

}  // namespace baobab

#endif  // SRC_LIBDECISION_EFFECT_H_
