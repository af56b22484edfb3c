#ifndef SRC_LIBDECISION_REPORT_H_
#define SRC_LIBDECISION_REPORT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"
#include "libtable/table.h"

namespace baobab {

/** An entry of the timeline, which records the decisions of a node. */
struct TimelineEntry {
  /** For example "request-refused", "view-changed", "invariant-violated". */
  std::string kind;
  /** Object concerned: "request/7", "host/h12", "minion/m3", "table/41". */
  std::string subject;
  /** Subject of the entry that caused this one; empty if none. */
  std::string cause;
  /** The rule that was applied, with its numbers. */
  std::string detail;

  bool operator==(const TimelineEntry&) const = default;
};

/** Requests of one queue on this node. */
struct QueueStatus {
  QueueId queue;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
  /** Finished requests by Outcome, counted since the start. */
  std::int64_t done = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /** Time from arrival to start of recent requests: median, 99th percentile and
   * maximum. */
  Duration start_p50{0};
  Duration start_p99{0};
  Duration start_worst{0};
};

/** A minion as seen by this node. */
struct MinionStatus {
  MinionId minion;
  ServiceId service;
  /** "usable", "leaving" or "out". */
  std::string state;
  /** Slots of the minion that this node owns. */
  Units owned;
  /** Slots of the minion that this node uses. */
  Units in_use;
};

/** A peer as seen by this node. */
struct PeerStatus {
  NodeId node;
  bool in_view = false;
  /** Time since the last heartbeat; negative if there was none. */
  Duration silent{0};
  /** Table version that the peer reported. */
  TableVersion version;
};

/** Answer to StatusRequested. */
struct StatusReport {
  NodeId node;
  Incarnation incarnation;
  /** The node accepts requests; see IsReady(). */
  bool ready = false;
  /** The log was read within 10 s. */
  bool log_fresh = false;
  TableVersion version;
  Offset next_offset;
  ViewNumber view;
  /** Term and holder of the planner lease. */
  Term term;
  NodeId planner;
  std::vector<QueueStatus> queues;
  std::vector<MinionStatus> minions;
  std::vector<PeerStatus> peers;
  std::uint64_t invariant_violations = 0;
  /** Number of log records without effect. */
  std::uint64_t rejected_records = 0;
};

/** Answer to TableRequested. */
struct TableReply {
  TableVersion version;
  Table table;
};

/** A cell whose value differs from the old value in an edit. */
struct CellConflict {
  CellRef cell;
  /** Old value in the edit. */
  std::string expected;
  /** Value in the table. */
  std::string present;
  /** Author of the last change of the cell; empty if not known. */
  std::string changed_by;
  /** Table version that this change created; 0 if not known. */
  TableVersion changed_in;
};

/** Result of an edit, as reported to the operator. */
enum class EditState {
  /** Accepted and in force on all view nodes. */
  kInForce,
  /** Accepted, but not yet in force on the pending nodes. */
  kPartlyInForce,
  /** A cell no longer holds its old value. */
  kConflict,
  /** The resulting table would break a rule. */
  kFaulty,
  /** The log does not hold the edit; it may be sent again. */
  kNotAccepted,
  /** The log may or may not hold the edit; send it again with the same id. */
  kUnknown,
};

/** Answer to EditSubmitted. */
struct EditReply {
  EditState state = EditState::kUnknown;
  TableVersion version;
  /** View nodes that have not reported the version; for kPartlyInForce. */
  std::vector<NodeId> pending;
  std::vector<CellConflict> conflicts;
  CellFaults faults;
  std::string message;
};

/** An accepted edit of the table. */
struct HistoryEntry {
  TableVersion version;
  std::string author;
  std::vector<CellChange> changes;
  /** Wall clock of the edit, in ms since 1970. */
  std::int64_t edited_wall_ms = 0;
  /** Wall clock at which all view nodes used it, in ms since 1970; 0 if not
   * known. */
  std::int64_t in_force_wall_ms = 0;
};

/** Answer to HistoryRequested: the newest edits, oldest first. */
struct HistoryReply {
  std::vector<HistoryEntry> entries;
};

using CommandReply =
    std::variant<StatusReport, TableReply, EditReply, HistoryReply, Error>;

}  // namespace baobab

#endif  // SRC_LIBDECISION_REPORT_H_
