#ifndef SRC_LIBDECISION_LOG_FOLD_H_
#define SRC_LIBDECISION_LOG_FOLD_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/fold_state.h"

namespace baobab {

/** Effect of one record on the state. */
enum class FoldOutcome {
  kApplied,
  /** An equal record was folded before: same writer and sequence, or same edit
   * id. */
  kDuplicate,
  /** The record breaks a rule and has no effect. */
  kRejected,
  /** The record has a newer format or an undecodable body; it is skipped and
   * counted. */
  kUnknownFormat,
  /** The offset is below next_offset(); nothing changed, not even counts. */
  kAlreadyFolded,
  /** Earlier records are missing; the record is buffered until a snapshot is
   * complete. */
  kWaitsForSnapshot,
  /** The record completed a snapshot, which replaced the state. */
  kAdopted,
};

/** Result of folding one record. */
struct FoldResult {
  FoldOutcome outcome = FoldOutcome::kApplied;
  /** The rule that was broken, with its numbers; empty if applied, except
   * "renewal" if the planner claimed its own term again. */
  std::string reason;
  /** Set for an edit whose old values differ from the table. */
  std::vector<CellConflict> conflicts;
  /** Set for an edit that would make the table invalid. */
  CellFaults faults;
};

/** Builds the replicated state by folding the log record by record. Memory is
 * bounded: 256 edits and 8192 changes of history, 8192 cell authors, 1024 edit
 * ids, 1024 writers, and 20,000 records buffered while it waits for a
 * snapshot; the oldest are dropped first. */
class LogFold {
 public:
  /** Folds one record. Call in ascending order of offset. */
  FoldResult Apply(const LogEntry& entry);

  /** Replaces the state with the newer one that a peer sent. Fails and keeps
   * the state if the text does not decode or covers another offset, or if
   * `covers` is not above next_offset() or is below max_peer_offset(). */
  Result<void> Adopt(Offset covers, std::string_view text);

  /** Called when a peer reports that it folded all records below `offset`. */
  void NotePeerOffset(Offset offset);

  /** Called for each read of the log with its oldest offset and its end. */
  void NoteLogRange(Offset first, Offset next);

  /** Returns whether the state has reached the log end of the first read and
   * all offsets that peers reported until then, or was adopted from a peer; it
   * stays true. Until then the table may be older than one already in force.
   */
  bool caught_up() const { return caught_up_; }

  /** Returns whether log retention dropped records that were not folded and no
   * snapshot has replaced them yet. */
  bool waits_for_snapshot() const { return records_missing_; }

  const FoldState& state() const { return state_; }
  const Table& table() const { return state_.table; }
  TableVersion version() const { return state_.version; }
  /** Offset of the next record to fold. */
  Offset next_offset() const { return state_.next_offset; }
  const View& view() const { return state_.view; }
  const PlannerLease& planner() const { return state_.planner; }

  /** Returns the decision on an edit id, if it is among the last 1024. */
  std::optional<EditDecision> FindEdit(const EditId& id) const;

  /** Returns the cells whose value differs from the old value in the edit, with
   * the author of the last change. */
  std::vector<CellConflict> Conflicts(const TableEdit& edit) const;

  /** Returns the highest sequence read from this writer; 0 if none. */
  RecordSequence LastSequence(const WriterId& writer) const;

  /** Highest offset reported by a peer. */
  Offset max_peer_offset() const { return max_peer_offset_; }

  /** Returns the number of records without effect. */
  std::uint64_t rejected_records() const;

  /** Returns a hash of the state; equal on all nodes at the same offset. */
  std::uint64_t Digest() const;

 private:
  /** A snapshot of which some parts were read. */
  struct PartialSnapshot {
    /** The snapshot holds all records below this offset. */
    Offset covers;
    /** Text by part; empty if not read yet. */
    std::vector<std::string> parts;
    /** Number of parts read. */
    std::size_t received = 0;
  };

  /** Folds the record at next_offset(). */
  FoldResult Fold(const LogEntry& entry);
  FoldResult FoldBody(const LogEntry& entry, const TableEdit& edit);
  FoldResult FoldBody(const LogEntry& entry, const PlannerClaim& claim);
  FoldResult FoldBody(const LogEntry& entry, const ViewChange& change);
  FoldResult FoldBody(const LogEntry& entry, const VersionInForce& in_force);
  FoldResult FoldBody(const LogEntry& entry, const SnapshotPart& part);
  FoldResult FoldBody(const LogEntry& entry, const UnknownRecord& unknown);
  /** Counts a record that breaks a rule. */
  FoldResult Reject(const std::string& kind, std::string reason);
  /** Returns why the writer may not append planner records of this term; empty
   * if it may. */
  std::string FencingFault(const LogEntry& entry, Term term) const;
  /** Stores the sequence of the record. Returns false for a duplicate. */
  bool AdvanceWriter(const LogEntry& entry);
  /** Stores version, authors and history of an edit that was applied. */
  void CommitEdit(const LogEntry& entry, const TableEdit& edit);
  /** Stores the decision on an edit id; drops the oldest beyond the limit. */
  void StoreDecision(const EditId& id, EditDecision decision);
  /** Buffers a record that follows a gap. Adopts the snapshot that it
   * completes, if any. */
  FoldResult BufferUntilSnapshot(const LogEntry& entry);
  /** Adds a snapshot part. Returns the text of the snapshot once complete. */
  std::optional<std::string> CollectPart(const LogEntry& entry);
  /** Replaces the state, then folds the buffered records that follow it. */
  void ReplaceState(FoldState state);
  void UpdateCaughtUp();

  FoldState state_;
  bool caught_up_ = false;
  /** See waits_for_snapshot(). */
  bool records_missing_ = false;
  /** Log end of the first read. */
  std::optional<Offset> first_log_end_;
  Offset max_peer_offset_;
  /** Consecutive records after a gap, without the text of snapshot parts. */
  std::deque<LogEntry> buffered_;
  /** By snapshot id. */
  std::map<std::string, PartialSnapshot> partial_snapshots_;
};

/** Returns which size limit the edit breaks, independent of the table: the
 * length of its id or author, or its number of cells. */
std::optional<std::string> EditLimitFault(const TableEdit& edit);

/** Writes a timeline entry for a folded record: edit, planner term, view,
 * snapshot or rejected record. */
void ReportFoldResult(const LogEntry& entry,
                      const FoldResult& result,
                      Effects& effects);

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_FOLD_H_
