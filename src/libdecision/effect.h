#ifndef SRC_LIBDECISION_EFFECT_H_
#define SRC_LIBDECISION_EFFECT_H_

#include <string>
#include <variant>
#include <vector>

#include "libdecision/outcome.h"
#include "libdecision/peer_message.h"
#include "libdecision/record.h"
#include "libdecision/report.h"

// Effects that Reduce() returns; the runtime executes them in order.

namespace baobab {

/** Sends the request to a minion. The result arrives as AttemptFinished. */
struct StartAttempt {
  AttemptId attempt;
  MinionId minion;
  /** "ip:port" of the minion. */
  std::string address;
  Duration timeout{0};
};

/** Forwards the minion's answer to the caller and ends the request. */
struct DeliverAnswer {
  AttemptId attempt;
};

/** Ends the request with an answer of this node, not of a minion. */
struct Respond {
  RequestId id;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  /** Delay after which a retry may succeed; 0 if unknown. */
  Duration retry_after{0};
};

/** Ends the request with the answer stored for its idempotency key. */
struct DeliverStoredAnswer {
  RequestId id;
  StoredAnswer answer;
};

/** Answers KeyRequested with a new idempotency key. */
struct IssueKey {
  RequestId id;
  std::string key;
};

/** Sends a message to another node; it may get lost. */
struct SendPeer {
  NodeId to;
  PeerMessage message;
};

/** Appends a record to the log. The result arrives as AppendFinished. */
struct AppendRecord {
  Record record;
};

/** Checks the health of a minion. The result arrives as ProbeFinished. */
struct ProbeMinion {
  MinionId minion;
  /** "ip:port" of the minion. */
  std::string address;
};

/** Answers an operator's command. */
struct AnswerCommand {
  CommandId command;
  CommandReply reply;
};

/** Writes an entry to the timeline of decisions. */
struct WriteTimelineEntry {
  TimelineEntry entry;
};

/** Exits the process; all accepted requests have ended. */
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
