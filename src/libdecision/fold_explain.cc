#include <string>

#include "libdecision/log_fold.h"

namespace baobab {
namespace {

/** Makes the timeline entry for an applied record, without its cause. */
struct AppliedEntry {
  TimelineEntry operator()(const TableEdit& edit) const {
    return {"edit-accepted", "edit/" + edit.id.value(), "",
            "by " + edit.author + ", " + std::to_string(edit.changes.size()) +
                " cells, each held its old value"};
  }
  TimelineEntry operator()(const PlannerClaim& claim) const {
    return {"planner-claimed", "term/" + std::to_string(claim.term.value()), "",
            "term is the current one or the next"};
  }
  TimelineEntry operator()(const ViewChange& change) const {
    return {"view-changed", "view/" + std::to_string(change.number.value()), "",
            std::to_string(change.nodes.size()) + " nodes, term " +
                std::to_string(change.term.value())};
  }
  TimelineEntry operator()(const VersionInForce& it) const {
    return {"version-in-force", "table/" + std::to_string(it.version.value()),
            "", "all view nodes reported it"};
  }
  TimelineEntry operator()(const SnapshotPart& part) const {
    return {part.part + 1 == part.parts ? "snapshot-written" : "snapshot-part",
            "snapshot/" + part.snapshot_id, "",
            "part " + std::to_string(part.part + 1) + " of " +
                std::to_string(part.parts) + ", covers offsets below " +
                std::to_string(part.covers.value())};
  }
  TimelineEntry operator()(const UnknownRecord& it) const {
    return {"record-skipped", "", "", it.reason};
  }
};

/** Returns the kind of the timeline entry for a record without effect. */
std::string RejectionKind(const LogEntry& entry, FoldOutcome outcome) {
  if (outcome == FoldOutcome::kUnknownFormat) {
    return "record-skipped";
  }
  if (outcome == FoldOutcome::kDuplicate) {
    return "record-duplicate";
  }
  return std::holds_alternative<TableEdit>(entry.record.body) ? "edit-void"
                                                              : "record-void";
}

}  // namespace

void ReportFoldResult(const LogEntry& entry,
                      const FoldResult& result,
                      Effects& effects) {
  const std::string cause = "offset/" + std::to_string(entry.offset.value());
  switch (result.outcome) {
    case FoldOutcome::kAlreadyFolded:
    case FoldOutcome::kWaitsForSnapshot:
      return;
    case FoldOutcome::kAdopted:
      effects.push_back(
          WriteTimelineEntry{{"state-adopted", cause, "", result.reason}});
      return;
    case FoldOutcome::kApplied: {
      if (!result.reason.empty()) {
        // Renewals of the lease come every 2 s and change nothing.
        return;
      }
      auto it = std::visit(AppliedEntry(), entry.record.body);
      it.cause = cause;
      effects.push_back(WriteTimelineEntry{std::move(it)});
      return;
    }
    case FoldOutcome::kDuplicate:
    case FoldOutcome::kRejected:
    case FoldOutcome::kUnknownFormat: {
      const auto* edit = std::get_if<TableEdit>(&entry.record.body);
      effects.push_back(WriteTimelineEntry{
          {RejectionKind(entry, result.outcome),
           edit == nullptr ? "node/" + entry.record.writer.node.value()
                           : "edit/" + edit->id.value(),
           cause, result.reason}});
      return;
    }
  }
}

}  // namespace baobab
