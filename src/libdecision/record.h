#ifndef SRC_LIBDECISION_RECORD_H_
#define SRC_LIBDECISION_RECORD_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"
#include "libtable/table.h"

namespace baobab {

/** Highest record format this release understands. Records with a higher one
 * are skipped and counted, so that two releases can run side by side. */
inline constexpr std::uint32_t kRecordFormat = 1;

/** A node of a view, as the planner learned it from heartbeats. */
struct ViewNode {
  NodeId id;
  DataCentreId data_centre;

  auto operator<=>(const ViewNode&) const = default;
};

/** Edit of the table; valid if each cell still holds its old value and the
 * result has no faults. */
struct TableEdit {
  EditId id;
  std::string author;
  /** Version the operator saw; for explanations, not for validity. */
  TableVersion base;
  std::vector<CellChange> changes;

  bool operator==(const TableEdit&) const = default;
};

/** Claims the planner lease with current term + 1, or renews the own term. */
struct PlannerClaim {
  Term term;

  bool operator==(const PlannerClaim&) const = default;
};

/** Sets the nodes that own capacity units. */
struct ViewChange {
  Term term;
  ViewNumber number;
  /** Sorted by id. */
  std::vector<ViewNode> nodes;

  bool operator==(const ViewChange&) const = default;
};

/** States that every view node had this table version at this time. */
struct VersionInForce {
  Term term;
  TableVersion version;
  /** Wall clock in milliseconds since 1970, for `table history` only. */
  std::int64_t wall_ms = 0;

  bool operator==(const VersionInForce&) const = default;
};

/** One part of a snapshot of the folded log. */
struct SnapshotPart {
  Term term;
  std::string snapshot_id;
  /** The snapshot holds the fold of all records below this offset. */
  Offset covers;
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  /** This part's share of the encoded fold. */
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

struct WriterId {
  NodeId node;
  Incarnation incarnation;

  auto operator<=>(const WriterId&) const = default;
};

/** A record of the platform's log. */
struct Record {
  std::uint32_t format = kRecordFormat;
  WriterId writer;
  RecordSequence sequence;
  /** Wall clock of the writer in milliseconds since 1970; never decides. */
  std::int64_t wall_ms = 0;
  RecordBody body;

  bool operator==(const Record&) const = default;
};

struct LogEntry {
  Offset offset;
  Record record;

  bool operator==(const LogEntry&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_RECORD_H_
