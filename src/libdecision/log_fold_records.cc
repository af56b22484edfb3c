// Applies each kind of record to the folded state.

#include <algorithm>
#include <tuple>

#include "libdecision/log_fold.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxEdits = 1024;
constexpr std::size_t kMaxReasonBytes = 256;
constexpr std::size_t kMaxHistoryEdits = 256;
constexpr std::size_t kMaxHistoryChanges = 8192;
constexpr std::size_t kMaxCellAuthors = 8192;

std::string Text(std::uint64_t value) {
  return std::to_string(value);
}

std::string Text(const CellRef& cell) {
  return cell.sheet + "/" + cell.row + "/" + cell.column;
}

/** Drops the authors of the least recently changed cells. */
void TrimAuthors(std::map<CellRef, CellAuthor>& authors) {
  if (authors.size() <= kMaxCellAuthors) {
    return;
  }
  std::vector<std::pair<TableVersion, CellRef>> order;
  for (const auto& [cell, it] : authors) {
    order.emplace_back(it.version, cell);
  }
  std::sort(order.begin(), order.end());
  order.resize(authors.size() - kMaxCellAuthors);
  for (const auto& [version, cell] : order) {
    authors.erase(cell);
  }
}

/** Drops the oldest edits. */
void TrimHistory(std::vector<HistoryEntry>& history) {
  std::size_t changes = 0;
  for (const auto& it : history) {
    changes += it.changes.size();
  }
  // Keeps the newest edit, whatever its size.
  while (history.size() > 1 &&
         (history.size() > kMaxHistoryEdits || changes > kMaxHistoryChanges)) {
    changes -= history.front().changes.size();
    history.erase(history.begin());
  }
}

}  // namespace

std::optional<std::string> EditLimitFault(const TableEdit& edit) {
  if (edit.id.value().empty() || edit.id.value().size() > kMaxEditNameBytes ||
      edit.author.size() > kMaxEditNameBytes) {
    return "edit: id of 1 to " + Text(kMaxEditNameBytes) +
           " bytes and author of at most as many";
  }
  if (edit.changes.empty() || edit.changes.size() > kMaxEditCells) {
    return "edit: 1 to " + Text(kMaxEditCells) + " cells, now " +
           Text(edit.changes.size());
  }
  return std::nullopt;
}

std::optional<EditDecision> LogFold::FindEdit(const EditId& id) const {
  const auto it = state_.edits.find(id);
  return it == state_.edits.end() ? std::nullopt
                                  : std::optional<EditDecision>(it->second);
}

std::vector<CellConflict> LogFold::Conflicts(const TableEdit& edit) const {
  std::vector<CellConflict> conflicts;
  for (const auto& it : edit.changes) {
    const std::string present = CellText(state_.table, it.cell);
    if (present == it.old_value) {
      continue;
    }
    const auto author = state_.authors.find(it.cell);
    CellConflict conflict{it.cell, it.old_value, present, "", TableVersion(0)};
    if (author != state_.authors.end()) {
      conflict.changed_by = author->second.author;
      conflict.changed_in = author->second.version;
    }
    conflicts.push_back(std::move(conflict));
  }
  return conflicts;
}

FoldResult LogFold::Reject(const std::string& kind, std::string reason) {
  ++state_.rejected_counts[kind];
  return {FoldOutcome::kRejected, std::move(reason), {}, {}};
}

std::string LogFold::FencingFault(const LogEntry& entry, Term term) const {
  if (term != state_.planner.term) {
    return "term " + Text(term.value()) + ", current is " +
           Text(state_.planner.term.value());
  }
  if (entry.record.writer != state_.planner.holder) {
    return "writer does not hold term " + Text(term.value());
  }
  return "";
}

void LogFold::StoreDecision(const EditId& id, EditDecision decision) {
  // A rejected edit may name cells of any length.
  decision.reason.resize(std::min(decision.reason.size(), kMaxReasonBytes));
  state_.edits[id] = std::move(decision);
  if (state_.edits.size() > kMaxEdits) {
    state_.edits.erase(
        std::min_element(state_.edits.begin(), state_.edits.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.offset < b.second.offset;
                         }));
  }
}

FoldResult LogFold::FoldBody(const LogEntry& entry, const TableEdit& edit) {
  if (FindEdit(edit.id)) {
    ++state_.rejected_counts["edit-duplicate"];
    return {FoldOutcome::kDuplicate, "the edit id was decided before", {}, {}};
  }
  if (auto fault = EditLimitFault(edit)) {
    // No decision is stored, since any copy is rejected too.
    return Reject("edit-faulty", std::move(*fault));
  }
  auto conflicts = Conflicts(edit);
  if (!conflicts.empty()) {
    const auto& first = conflicts.front();
    auto result =
        Reject("edit-conflict", "cell " + Text(first.cell) + " holds \"" +
                                    first.present + "\", not \"" +
                                    first.expected + "\"");
    StoreDecision(edit.id, {entry.offset, EditVerdict::kConflict,
                            TableVersion(0), result.reason});
    result.conflicts = std::move(conflicts);
    return result;
  }
  auto table = ApplyChanges(state_.table, edit.changes);
  if (!table) {
    const auto& first = table.error().front();
    auto result =
        Reject("edit-faulty", "cell " + Text(first.cell) + ": " + first.rule);
    StoreDecision(edit.id, {entry.offset, EditVerdict::kFaulty, TableVersion(0),
                            result.reason});
    result.faults = std::move(table.error());
    return result;
  }
  state_.table = std::move(*table);
  CommitEdit(entry, edit);
  return {};
}

void LogFold::CommitEdit(const LogEntry& entry, const TableEdit& edit) {
  state_.version = TableVersion(state_.version.value() + 1);
  StoreDecision(edit.id,
                {entry.offset, EditVerdict::kAccepted, state_.version, ""});
  for (const auto& it : edit.changes) {
    state_.authors[it.cell] = {edit.author, state_.version};
  }
  TrimAuthors(state_.authors);
  state_.history.push_back(
      {state_.version, edit.author, edit.changes, entry.record.wall_ms, 0});
  TrimHistory(state_.history);
}

FoldResult LogFold::FoldBody(const LogEntry& entry, const PlannerClaim& claim) {
  auto& lease = state_.planner;
  if (claim.term.value() == lease.term.value() + 1) {
    lease = {claim.term, entry.record.writer};
    return {};
  }
  const std::string reason = FencingFault(entry, claim.term);
  if (!reason.empty()) {
    return Reject("claim", reason);
  }
  return {FoldOutcome::kApplied, "renewal", {}, {}};
}

FoldResult LogFold::FoldBody(const LogEntry& entry, const ViewChange& change) {
  const std::string reason = FencingFault(entry, change.term);
  if (!reason.empty()) {
    return Reject("view-fenced", reason);
  }
  if (change.number.value() != state_.view.number.value() + 1) {
    return Reject("view-number", "view " + Text(change.number.value()) +
                                     " after view " +
                                     Text(state_.view.number.value()));
  }
  const auto& nodes = change.nodes;
  const bool unsorted =
      std::adjacent_find(nodes.begin(), nodes.end(),
                         [](const auto& a, const auto& b) {
                           return a.id.value() >= b.id.value();
                         }) != nodes.end();
  if (nodes.empty() || unsorted) {
    return Reject("view-nodes", "view without nodes, or not sorted by id");
  }
  state_.view = {change.number, nodes};
  return {};
}

FoldResult LogFold::FoldBody(const LogEntry& entry,
                             const VersionInForce& in_force) {
  const std::string reason = FencingFault(entry, in_force.term);
  if (!reason.empty()) {
    return Reject("in-force-fenced", reason);
  }
  if (in_force.version <= state_.in_force ||
      in_force.version > state_.version) {
    return Reject("in-force-version",
                  "version " + Text(in_force.version.value()) + " not in " +
                      Text(state_.in_force.value() + 1) + " to " +
                      Text(state_.version.value()));
  }
  state_.in_force = in_force.version;
  for (auto& it : state_.history) {
    if (it.version <= in_force.version && it.in_force_wall_ms == 0) {
      it.in_force_wall_ms = in_force.wall_ms;
    }
  }
  return {};
}

FoldResult LogFold::FoldBody(const LogEntry& entry, const SnapshotPart& part) {
  const std::string reason = FencingFault(entry, part.term);
  if (!reason.empty()) {
    return Reject("snapshot-fenced", reason);
  }
  auto& progress = state_.snapshot;
  if (part.part == 0 && part.parts > 0 && part.covers <= entry.offset &&
      part.covers > progress.covers) {
    progress.writing_id = part.snapshot_id;
    progress.writing_covers = part.covers;
    progress.next_part = 0;
    progress.parts = part.parts;
  }
  if (std::tie(part.snapshot_id, part.covers, part.part, part.parts) !=
      std::tie(progress.writing_id, progress.writing_covers, progress.next_part,
               progress.parts)) {
    return Reject("snapshot-order", "part " + Text(part.part) + " of " +
                                        Text(part.parts) +
                                        " does not continue a snapshot");
  }
  ++progress.next_part;
  if (progress.next_part == progress.parts) {
    progress = {part.covers, "", Offset(0), 0, 0};
  }
  return {};
}

FoldResult LogFold::FoldBody(const LogEntry&, const UnknownRecord& unknown) {
  ++state_.rejected_counts["unknown-record"];
  return {FoldOutcome::kUnknownFormat, unknown.reason, {}, {}};
}

}  // namespace baobab
