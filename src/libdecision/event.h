#ifndef SRC_LIBDECISION_EVENT_H_
#define SRC_LIBDECISION_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libdecision/outcome.h"
#include "libdecision/peer_message.h"
#include "libdecision/platform.h"
#include "libdecision/record.h"

// Inputs of Reduce(), produced by the runtime.

namespace baobab {

/** Drives all timers; sent by the runtime every 50 ms. */
struct Tick {};

/** A request was read completely and needs a decision. */
struct RequestArrived {
  RequestId id;
  QueueId queue;
  bool idempotent = false;
  /** Value of the Idempotency-Key header; empty if there is none. */
  std::string key;
  /** Size of the request body. */
  Bytes size;
};

/** The caller closed its connection before it got an answer. */
struct RequestAbandoned {
  RequestId id;
};

/** A caller asks for a new idempotency key. */
struct KeyRequested {
  RequestId id;
};

/** Result of StartAttempt. */
struct AttemptFinished {
  AttemptId attempt;
  MinionId minion;
  AttemptResult result = AttemptResult::kUnknown;
  /** The answer announced that the minion is leaving. */
  bool leaving = false;
  /** Set if `result` is kAnswered and the answer is small enough to store. */
  StoredAnswer answer;
};

/** Result of ProbeMinion. */
struct ProbeFinished {
  MinionId minion;
  /** The minion answered the probe. */
  bool ok = false;
  /** The answer announced that the minion is leaving. */
  bool leaving = false;
};

/** A new copy of the platform's host list was read. */
struct HostListRead {
  HostList list;
};

/** Result of a successful read of the log from NextLogOffset(). */
struct LogRead {
  /** Oldest offset that the log still holds. */
  Offset first;
  /** Offset of the next record to be appended. */
  Offset next;
  /** In ascending order of offset. */
  std::vector<LogEntry> entries;
};

struct LogReadFailed {
  Error error;
};

/** kUnknown: there was no answer, so the log may or may not hold the record. */
enum class AppendResult { kAppended, kRejected, kUnknown };

/** Result of AppendRecord. */
struct AppendFinished {
  RecordSequence sequence;
  AppendResult result = AppendResult::kUnknown;
};

/** A message of another node arrived. */
struct PeerMessageReceived {
  PeerEnvelope envelope;
};

/** The connection to a peer broke or the peer did not answer a PING. */
struct PeerLost {
  NodeId peer;
};

/** An operator submits a table edit. It is answered once the edit is in force
 * or has failed. */
struct EditSubmitted {
  CommandId command;
  TableEdit edit;
};

/** An operator asks for the current table. */
struct TableRequested {
  CommandId command;
};

/** An operator asks for the edit history of the table. */
struct HistoryRequested {
  CommandId command;
};

/** An operator asks for the status of this node. */
struct StatusRequested {
  CommandId command;
};

/** SIGTERM: the node accepts no more requests and finishes those accepted. */
struct StopRequested {};

using EventBody = std::variant<Tick,
                               RequestArrived,
                               RequestAbandoned,
                               KeyRequested,
                               AttemptFinished,
                               ProbeFinished,
                               HostListRead,
                               LogRead,
                               LogReadFailed,
                               AppendFinished,
                               PeerMessageReceived,
                               PeerLost,
                               EditSubmitted,
                               TableRequested,
                               HistoryRequested,
                               StatusRequested,
                               StopRequested>;

/** One input of Reduce(). */
struct Event {
  /** Monotonic clock; never lower than in an earlier event. */
  Time at;
  /** Wall clock in ms since 1970; for display only, no decision uses it. */
  std::int64_t wall_ms = 0;
  EventBody body;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_EVENT_H_
