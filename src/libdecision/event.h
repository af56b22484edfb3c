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

namespace baobab {

/** Lets timers run; the shell sends one every 50 ms. */
struct Tick {};

/** A caller's request was read completely and waits for a decision. */
struct RequestArrived {
  RequestId id;
  QueueId queue;
  bool idempotent = false;
  /** Text of the Idempotency-Key header; empty if there is none. */
  std::string key;
  Bytes size;
};

/** The caller closed its connection. */
struct RequestAbandoned {
  RequestId id;
};

/** A caller asks for an idempotency key. */
struct KeyRequested {
  RequestId id;
};

/** One call of a minion ended. */
struct AttemptFinished {
  AttemptId attempt;
  MinionId minion;
  AttemptResult result = AttemptResult::kUnknown;
  /** The minion said that it leaves. */
  bool leaving = false;
  /** Set with kAnswered if the answer is small enough to keep. */
  StoredAnswer answer;
};

struct ProbeFinished {
  MinionId minion;
  bool ok = false;
  bool leaving = false;
};

struct HostListRead {
  HostList list;
};

/** Entries in ascending order from the offset that was asked for. */
struct LogRead {
  /** Oldest offset that the log still has. */
  Offset first;
  /** Offset that the next record will get. */
  Offset next;
  std::vector<LogEntry> entries;
};

struct LogReadFailed {
  Error error;
};

enum class AppendResult { kAppended, kRejected, kUnknown };

struct AppendFinished {
  RecordSequence sequence;
  AppendResult result = AppendResult::kUnknown;
};

struct PeerMessageReceived {
  PeerEnvelope envelope;
};

/** The link to a peer broke or its PING stayed unanswered. */
struct PeerLost {
  NodeId peer;
};

/** An operator submits an edit and waits until it is in force. */
struct EditSubmitted {
  CommandId command;
  TableEdit edit;
};

struct TableRequested {
  CommandId command;
};

struct HistoryRequested {
  CommandId command;
};

struct StatusRequested {
  CommandId command;
};

/** SIGTERM: finish what was started, accept nothing more. */
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

struct Event {
  /** Runtime clock; never lower than in an earlier event. */
  Time at;
  /** Wall clock in milliseconds since 1970; only shown, never decides. */
  std::int64_t wall_ms = 0;
  EventBody body;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_EVENT_H_
