#ifndef SRC_LIBDECISION_FOLD_STATE_H_
#define SRC_LIBDECISION_FOLD_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libdecision/record.h"
#include "libdecision/report.h"

namespace baobab {

/** Maximum number of parts of a snapshot, of at most 256 KB each. The size
 * limits of LogFold keep snapshots far below this. */
inline constexpr std::uint32_t kMaxSnapshotParts = 64;

/** Maximum number of cells in one edit. The table expected in two years has
 * about 5000 cells. */
inline constexpr std::size_t kMaxEditCells = 16'384;

/** Maximum length of the id and of the author of an edit, in bytes. */
inline constexpr std::size_t kMaxEditNameBytes = 128;

/** The nodes among which all capacity units are divided. */
struct View {
  ViewNumber number;
  /** Sorted by id. */
  std::vector<ViewNode> nodes;

  bool operator==(const View&) const = default;
};

/** Author of the last change of a cell. */
struct CellAuthor {
  std::string author;
  /** Table version that the change created. */
  TableVersion version;

  bool operator==(const CellAuthor&) const = default;
};

/** Result of an edit record. kFaulty: the table would break a rule. */
enum class EditVerdict { kAccepted, kConflict, kFaulty };

/** Result of the first record with an edit id; later records with this id are
 * duplicates. */
struct EditDecision {
  /** Offset of that record. */
  Offset offset;
  EditVerdict verdict = EditVerdict::kAccepted;
  /** Table version that the edit created; 0 if it was not accepted. */
  TableVersion version;
  /** Why the edit was not accepted; empty if it was. */
  std::string reason;

  bool operator==(const EditDecision&) const = default;
};

/** Newest incarnation of a node that wrote to the log. */
struct WriterState {
  Incarnation incarnation;
  /** Highest sequence read from this incarnation; records up to it are
   * duplicates. */
  RecordSequence last;
  /** Offset of the record with that sequence. */
  Offset last_offset;

  bool operator==(const WriterState&) const = default;
};

/** Lease of the planner role, which one node holds at a time. */
struct PlannerLease {
  /** Fencing token; grows by one with each claim. */
  Term term;
  WriterId holder;

  bool operator==(const PlannerLease&) const = default;
};

/** Which snapshots the log holds; their text is not kept. */
struct SnapshotProgress {
  /** The newest complete snapshot holds all records below this offset. */
  Offset covers;
  /** Id of the snapshot that is being written; empty if none. */
  std::string writing_id;
  /** The snapshot being written will hold all records below this offset. */
  Offset writing_covers;
  /** Index of the next part of the snapshot being written. */
  std::uint32_t next_part = 0;
  /** Number of parts of the snapshot being written. */
  std::uint32_t parts = 0;

  bool operator==(const SnapshotProgress&) const = default;
};

/** State that each node derives from the log; equal on all nodes at the same
 * offset. */
struct FoldState {
  /** Offset of the next record to fold. */
  Offset next_offset;
  Table table;
  /** Version of `table`. */
  TableVersion version;
  /** Newest version that all nodes of the view are known to use. */
  TableVersion in_force;
  /** Accepted edits, oldest first. */
  std::vector<HistoryEntry> history;
  std::map<CellRef, CellAuthor> authors;
  std::map<EditId, EditDecision> edits;
  std::map<NodeId, WriterState> writers;
  View view;
  PlannerLease planner;
  SnapshotProgress snapshot;
  /** Number of records without effect by kind, for example "edit-conflict". */
  std::map<std::string, std::uint64_t> rejected_counts;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FOLD_STATE_H_
