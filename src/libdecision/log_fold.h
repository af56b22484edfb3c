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

enum class FoldOutcome {
  kApplied,
  /** Already applied: same writer and sequence, or same edit id. */
  kDuplicate,
  /** Breaks a rule and has no effect. */
  kRejected,
  /** Newer format or undecodable body; skipped and counted. */
  kUnknownFormat,
  /** Offset below the next one; nothing changed, not even counts. */
  kAlreadyFolded,
  /** Records before this one are missing; kept until a snapshot is whole. */
  kWaitsForSnapshot,
  /** Completed a snapshot that replaced the state. */
  kAdopted,
};

struct FoldResult {
  FoldOutcome outcome = FoldOutcome::kApplied;
  /** Rule with its numbers; empty if applied, but "renewal" for a planner's
   * claim of its own term. */
  std::string reason;
  std::vector<CellConflict> conflicts;
  CellFaults faults;
};

/** The state derived from the log. Bounded memory: 256 edits and 8192 changes
 * of history, 8192 cell authors, 1024 edit ids, 1024 writers, and 20,000
 * records kept while a snapshot is awaited; the oldest are dropped first. */
class LogFold {
 public:
  /** Folds one record. Records must come in ascending order of offset. */
  FoldResult Apply(const LogEntry& entry);

  /** Replaces the state by a newer one of a peer or snapshot. Errors: text
   * does not decode or covers another offset, or it is not above the present
   * offset, or below an offset heard from a peer; the state then stays. */
  Result<void> Adopt(Offset covers, std::string_view text);

  /** Notes that a peer has folded all records below this offset. */
  void NotePeerOffset(Offset offset);

  /** Notes what a read of the log told: oldest offset and log end. */
  void NoteLogRange(Offset first, Offset next);

  /** True once the state reached the log end of the first read and all offsets
   * heard until then, or was adopted from a peer at those; it stays true.
   * Before that the table may be older than one already in force. */
  bool caught_up() const { return caught_up_; }

  /** Records were dropped by retention and no snapshot bridged them yet. */
  bool waits_for_snapshot() const { return records_missing_; }

  const FoldState& state() const { return state_; }
  const Table& table() const { return state_.table; }
  TableVersion version() const { return state_.version; }
  Offset next_offset() const { return state_.next_offset; }
  const View& view() const { return state_.view; }
  const PlannerLease& planner() const { return state_.planner; }

  /** The verdict on an edit id, if one of its records was folded lately. */
  std::optional<EditDecision> FindEdit(const EditId& id) const;

  /** Cells that do not hold the old value of the edit, with who changed them.
   */
  std::vector<CellConflict> Conflicts(const TableEdit& edit) const;

  /** Highest sequence read from this process; 0 if none. */
  RecordSequence LastSequence(const WriterId& writer) const;

  /** Highest offset heard from a peer. */
  Offset max_peer_offset() const { return max_peer_offset_; }

  std::uint64_t rejected_records() const;

  /** Hash of the whole state; equal on all nodes at one offset. */
  std::uint64_t Digest() const;

 private:
  /** Parts of one snapshot while records are missing. */
  struct PartialSnapshot {
    Offset covers;
    std::vector<std::string> parts;
    std::size_t received = 0;
  };

  FoldResult Fold(const LogEntry& entry);
  FoldResult FoldBody(const LogEntry& entry, const TableEdit& edit);
  FoldResult FoldBody(const LogEntry& entry, const PlannerClaim& claim);
  FoldResult FoldBody(const LogEntry& entry, const ViewChange& change);
  FoldResult FoldBody(const LogEntry& entry, const VersionInForce& in_force);
  FoldResult FoldBody(const LogEntry& entry, const SnapshotPart& part);
  FoldResult FoldBody(const LogEntry& entry, const UnknownRecord& unknown);
  FoldResult Reject(const std::string& kind, std::string reason);
  /** Reason why the record is not the planner's; empty if it is. */
  std::string FencingFault(const LogEntry& entry, Term term) const;
  bool AdvanceWriter(const LogEntry& entry);
  void CommitEdit(const LogEntry& entry, const TableEdit& edit);
  void StoreDecision(const EditId& id, EditDecision decision);
  FoldResult BufferUntilSnapshot(const LogEntry& entry);
  std::optional<std::string> CollectPart(const LogEntry& entry);
  void ReplaceState(FoldState state);
  void UpdateCaughtUp();

  FoldState state_;
  bool caught_up_ = false;
  bool records_missing_ = false;
  std::optional<Offset> first_log_end_;
  Offset max_peer_offset_;
  std::deque<LogEntry> buffered_;
  std::map<std::string, PartialSnapshot> partial_snapshots_;
};

/** The rule that an edit breaks whatever the table holds: its names or its
 * number of cells; none if it breaks none. */
std::optional<std::string> EditLimitFault(const TableEdit& edit);

/** Explains what a record led to: edits, planner terms, views, voids. */
void ReportFoldResult(const LogEntry& entry,
                      const FoldResult& result,
                      Effects& effects);

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_FOLD_H_
