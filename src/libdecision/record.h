#ifndef SRC_LIBDECISION_RECORD_H_
#define SRC_LIBDECISION_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"
#include "libtable/table.h"

namespace baobab {

/** Highest record format that this release can decode. Records with a higher
 * one are skipped and counted, so that two releases can run side by side. */
inline constexpr std::uint32_t kRecordFormat = 1;

/** A member of a view, as the planner knows it from heartbeats. */
struct ViewNode {
  NodeId id;
  DataCentreId data_centre;

  auto operator<=>(const ViewNode&) const = default;
};

/** Edit of the table. Accepted if each cell still holds its old value and the
 * resulting table is valid. */
struct TableEdit {
  EditId id;
  std::string author;
  /** Table version that the operator saw; for display only, not checked. */
  TableVersion base;
  std::vector<CellChange> changes;

  bool operator==(const TableEdit&) const = default;
};

/** Claims the planner lease with the current term + 1, or renews it with the
 * current term. */
struct PlannerClaim {
  Term term;

  bool operator==(const PlannerClaim&) const = default;
};

/** Replaces the view: the nodes that own capacity units. */
struct ViewChange {
  Term term;
  ViewNumber number;
  /** Sorted by id. */
  std::vector<ViewNode> nodes;

  bool operator==(const ViewChange&) const = default;
};

/** Records that all nodes of the view use this table version. */
struct VersionInForce {
  Term term;
  TableVersion version;
  /** Wall clock in ms since 1970; shown by `table history` only. */
  std::int64_t wall_ms = 0;

  bool operator==(const VersionInForce&) const = default;
};

/** One part of a snapshot of the state folded from the log. */
struct SnapshotPart {
  Term term;
  std::string snapshot_id;
  /** The snapshot holds the effect of all records below this offset. */
  Offset covers;
  /** Index of this part, from 0. */
  std::uint32_t part = 0;
  /** Number of parts of the snapshot. */
  std::uint32_t parts = 0;
  /** Slice of the text of EncodeFold(). */
  std::string text;

  bool operator==(const SnapshotPart&) const = default;
};

/** A record whose body this release cannot decode. */
struct UnknownRecord {
  std::string reason;

  bool operator==(const UnknownRecord&) const = default;
};

using RecordBody = std::variant<TableEdit,
                                PlannerClaim,
                                ViewChange,
                                VersionInForce,
                                SnapshotPart,
                                UnknownRecord>;

/** A process that writes to the log. */
struct WriterId {
  NodeId node;
  Incarnation incarnation;

  auto operator<=>(const WriterId&) const = default;
};

/** A record of the replicated log that the platform provides. */
struct Record {
  std::uint32_t format = kRecordFormat;
  WriterId writer;
  /** Number of the record within its writer, from 1; equal for all copies. */
  RecordSequence sequence;
  /** Wall clock of the writer in ms since 1970; for display only. */
  std::int64_t wall_ms = 0;
  RecordBody body;

  bool operator==(const Record&) const = default;
};

/** A record with its position in the log. */
struct LogEntry {
  Offset offset;
  Record record;

  bool operator==(const LogEntry&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_RECORD_H_
