#ifndef SRC_LIBDECISION_REPORT_H_
#define SRC_LIBDECISION_REPORT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"
#include "libtable/table.h"

namespace baobab {

/** An event of the time line. */
struct TimelineEntry {
  /** For example "request-refused", "view-changed", "invariant-violated". */
  std::string kind;
  /** What it is about: "request/7", "host/h12", "minion/m3", "table/41". */
  std::string subject;
  /** The subject of the event that led to it; empty if none. */
  std::string cause;
  /** Which rule applied, with its numbers. */
  std::string detail;

  bool operator==(const TimelineEntry&) const = default;
};

struct QueueStatus {
  QueueId queue;
  std::int64_t waiting = 0;
  std::int64_t in_flight = 0;
  std::int64_t done = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /** Time between arrival and start of recent requests. */
  Duration start_p50{0};
  Duration start_p99{0};
  Duration start_worst{0};
};

struct MinionStatus {
  MinionId minion;
  ServiceId service;
  /** "usable", "leaving" or "out". */
  std::string state;
  Units owned;
  Units in_use;
};

struct PeerStatus {
  NodeId node;
  bool in_view = false;
  /** Time since the last heartbeat; negative if never heard. */
  Duration silent{0};
  TableVersion version;
};

/** Answer to StatusRequested. */
struct StatusReport {
  NodeId node;
  Incarnation incarnation;
  bool ready = false;
  bool log_fresh = false;
  TableVersion version;
  Offset next_offset;
  ViewNumber view;
  Term term;
  NodeId planner;
  std::vector<QueueStatus> queues;
  std::vector<MinionStatus> minions;
  std::vector<PeerStatus> peers;
  std::uint64_t invariant_violations = 0;
  std::uint64_t rejected_records = 0;
};

/** Answer to TableRequested. */
struct TableReply {
  TableVersion version;
  Table table;
};

/** A cell that another edit changed first. */
struct CellConflict {
  CellRef cell;
  std::string expected;
  std::string present;
  std::string changed_by;
  TableVersion changed_in;
};

enum class EditState {
  /** Accepted and in force on all view nodes. */
  kInForce,
  /** Accepted, but not yet in force on the named nodes. */
  kPartlyInForce,
  kConflict,
  kFaulty,
  /** The log did not take the edit; it may be sent again. */
  kNotAccepted,
  /** It is not known if the log took the edit; send the same id again. */
  kUnknown,
};

/** Answer to EditSubmitted. */
struct EditReply {
  EditState state = EditState::kUnknown;
  TableVersion version;
  std::vector<NodeId> pending;
  std::vector<CellConflict> conflicts;
  CellFaults faults;
  std::string message;
};

struct HistoryEntry {
  TableVersion version;
  std::string author;
  std::vector<CellChange> changes;
  std::int64_t edited_wall_ms = 0;
  /** 0 while it is not known to be in force everywhere. */
  std::int64_t in_force_wall_ms = 0;
};

/** Answer to HistoryRequested; the oldest edits are dropped by snapshots. */
struct HistoryReply {
  std::vector<HistoryEntry> entries;
};

using CommandReply =
    std::variant<StatusReport, TableReply, EditReply, HistoryReply, Error>;

}  // namespace baobab

#endif  // SRC_LIBDECISION_REPORT_H_
