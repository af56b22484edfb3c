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

/** Most parts of a snapshot, of at most 256 KB each. The bounds of LogFold keep
 * the text far below this. */
inline constexpr std::uint32_t kMaxSnapshotParts = 64;

/** Most cells that one edit may change; a table of two years' scale has about
 * 5000 cells. */
inline constexpr std::size_t kMaxEditCells = 16'384;

/** Most bytes of the id and the author of an edit. */
inline constexpr std::size_t kMaxEditNameBytes = 128;

/** The nodes that own capacity units. */
struct View {
  ViewNumber number;
  /** Sorted by id. */
  std::vector<ViewNode> nodes;

  bool operator==(const View&) const = default;
};

/** Last writer of a cell. */
struct CellAuthor {
  std::string author;
  TableVersion version;

  bool operator==(const CellAuthor&) const = default;
};

enum class EditVerdict { kAccepted, kConflict, kFaulty };

/** What the first record with an edit id led to; it is final for that id. */
struct EditDecision {
  Offset offset;
  EditVerdict verdict = EditVerdict::kAccepted;
  /** Version that the edit created; 0 if it was not accepted. */
  TableVersion version;
  /** Why it was not accepted; empty if it was. */
  std::string reason;

  bool operator==(const EditDecision&) const = default;
};

/** Newest process of a node that wrote to the log. */
struct WriterState {
  Incarnation incarnation;
  /** Records of this process up to this number are duplicates. */
  RecordSequence last;
  Offset last_offset;

  bool operator==(const WriterState&) const = default;
};

struct PlannerLease {
  Term term;
  WriterId holder;

  bool operator==(const PlannerLease&) const = default;
};

/** Progress of the snapshot in the log, without its text. */
struct SnapshotProgress {
  /** Newest complete snapshot. */
  Offset covers;
  std::string writing_id;
  Offset writing_covers;
  std::uint32_t next_part = 0;
  std::uint32_t parts = 0;

  bool operator==(const SnapshotProgress&) const = default;
};

/** All that nodes derive from the log; equal on all nodes at one offset. */
struct FoldState {
  Offset next_offset;
  Table table;
  TableVersion version;
  TableVersion in_force;
  std::vector<HistoryEntry> history;
  std::map<CellRef, CellAuthor> authors;
  std::map<EditId, EditDecision> edits;
  std::map<NodeId, WriterState> writers;
  View view;
  PlannerLease planner;
  SnapshotProgress snapshot;
  /** Records without effect by kind, for example "edit-conflict". */
  std::map<std::string, std::uint64_t> rejected_counts;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FOLD_STATE_H_
