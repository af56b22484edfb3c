// Order of records, duplicates, gaps and snapshots. log_fold_records.cc applies
// the individual kinds of records.

#include "libdecision/log_fold.h"

#include <algorithm>

#include "libdecision/fold_codec.h"
#include "libdecision/text_hash.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxBufferedRecords = 20'000;
constexpr std::size_t kMaxWriters = 1024;
// Two successive planners may interleave the parts of their snapshots.
constexpr std::size_t kMaxPartialSnapshots = 2;

}  // namespace

FoldResult LogFold::Apply(const LogEntry& entry) {
  if (entry.offset < state_.next_offset) {
    return {FoldOutcome::kAlreadyFolded, "already folded", {}, {}};
  }
  if (entry.offset > state_.next_offset) {
    return BufferUntilSnapshot(entry);
  }
  records_missing_ = false;
  buffered_.clear();
  partial_snapshots_.clear();
  auto result = Fold(entry);
  UpdateCaughtUp();
  return result;
}

FoldResult LogFold::Fold(const LogEntry& entry) {
  state_.next_offset = Offset(entry.offset.value() + 1);
  const Record& record = entry.record;
  if (!record.writer.node.value().empty() && !AdvanceWriter(entry)) {
    return {FoldOutcome::kDuplicate,
            "sequence " + std::to_string(record.sequence.value()) +
                " of this writer, or a later one, was read before",
            {},
            {}};
  }
  if (record.format > kRecordFormat) {
    ++state_.rejected_counts["unknown-format"];
    return {FoldOutcome::kUnknownFormat,
            "format " + std::to_string(record.format) + " is above " +
                std::to_string(kRecordFormat),
            {},
            {}};
  }
  return std::visit([&](const auto& body) { return FoldBody(entry, body); },
                    record.body);
}

bool LogFold::AdvanceWriter(const LogEntry& entry) {
  const Record& record = entry.record;
  auto& writer = state_.writers[record.writer.node];
  const bool is_new = record.writer.incarnation > writer.incarnation ||
                      (record.writer.incarnation == writer.incarnation &&
                       record.sequence > writer.last);
  if (!is_new) {
    ++state_.rejected_counts["duplicate"];
    return false;
  }
  writer = {record.writer.incarnation, record.sequence, entry.offset};
  if (state_.writers.size() > kMaxWriters) {
    state_.writers.erase(
        std::min_element(state_.writers.begin(), state_.writers.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.last_offset < b.second.last_offset;
                         }));
  }
  return true;
}

RecordSequence LogFold::LastSequence(const WriterId& writer) const {
  const auto it = state_.writers.find(writer.node);
  if (it == state_.writers.end() ||
      it->second.incarnation != writer.incarnation) {
    return RecordSequence(0);
  }
  return it->second.last;
}

FoldResult LogFold::BufferUntilSnapshot(const LogEntry& entry) {
  const FoldResult waiting_result = {
      FoldOutcome::kWaitsForSnapshot,
      "records " + std::to_string(state_.next_offset.value()) + " to " +
          std::to_string(entry.offset.value() - 1) + " are missing",
      {},
      {}};
  records_missing_ = true;
  if (!buffered_.empty() && entry.offset <= buffered_.back().offset) {
    return waiting_result;
  }
  if (!buffered_.empty() &&
      entry.offset.value() != buffered_.back().offset.value() + 1) {
    // Retention dropped further records, so that a snapshot whose first parts
    // were read before this gap cannot be completed.
    buffered_.clear();
    partial_snapshots_.clear();
  }
  buffered_.push_back(entry);
  if (auto* part = std::get_if<SnapshotPart>(&buffered_.back().record.body)) {
    part->text.clear();
  }
  if (buffered_.size() > kMaxBufferedRecords) {
    buffered_.pop_front();
  }
  const auto text = CollectPart(entry);
  if (!text) {
    return waiting_result;
  }
  auto state = DecodeFold(*text);
  if (!state ||
      state->next_offset != std::get<SnapshotPart>(entry.record.body).covers) {
    return {FoldOutcome::kWaitsForSnapshot,
            state ? "the snapshot covers another offset than it states"
                  : ToString(state.error()),
            {},
            {}};
  }
  ReplaceState(std::move(*state));
  return {FoldOutcome::kAdopted, "snapshot", {}, {}};
}

std::optional<std::string> LogFold::CollectPart(const LogEntry& entry) {
  const auto* part = std::get_if<SnapshotPart>(&entry.record.body);
  // The term need not be checked: the state at one offset is the same whichever
  // node encoded it.
  if (part == nullptr || entry.record.format > kRecordFormat ||
      part->parts == 0 || part->parts > kMaxSnapshotParts ||
      part->part >= part->parts) {
    return std::nullopt;
  }
  // All records from the covered offset on have to be buffered.
  if (part->covers < buffered_.front().offset || part->covers > entry.offset) {
    return std::nullopt;
  }
  if (partial_snapshots_.size() >= kMaxPartialSnapshots &&
      !partial_snapshots_.contains(part->snapshot_id)) {
    partial_snapshots_.erase(
        std::min_element(partial_snapshots_.begin(), partial_snapshots_.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.covers < b.second.covers;
                         }));
  }
  auto& partial = partial_snapshots_[part->snapshot_id];
  if (partial.parts.size() != part->parts || partial.covers != part->covers ||
      part->part == 0) {
    partial = {part->covers, std::vector<std::string>(part->parts), 0};
  }
  auto& text = partial.parts[part->part];
  if (text.empty() && !part->text.empty()) {
    text = part->text;
    ++partial.received;
  }
  if (partial.received < partial.parts.size()) {
    return std::nullopt;
  }
  std::string joined;
  for (const auto& it : partial.parts) {
    joined += it;
  }
  partial_snapshots_.erase(part->snapshot_id);
  return joined;
}

void LogFold::ReplaceState(FoldState state) {
  state_ = std::move(state);
  records_missing_ = false;
  partial_snapshots_.clear();
  const auto buffered = std::move(buffered_);
  buffered_.clear();
  for (const auto& it : buffered) {
    if (it.offset == state_.next_offset) {
      Fold(it);
    }
  }
  UpdateCaughtUp();
}

Result<void> LogFold::Adopt(Offset covers, std::string_view text) {
  const auto error = [](std::string message) {
    return tl::make_unexpected(Error{"adopt state", "", std::move(message)});
  };
  if (covers <= state_.next_offset) {
    return error("covers " + std::to_string(covers.value()) +
                 ", not above the present offset " +
                 std::to_string(state_.next_offset.value()));
  }
  if (covers < max_peer_offset_) {
    return error(
        "covers " + std::to_string(covers.value()) + ", below the offset " +
        std::to_string(max_peer_offset_.value()) + " heard from a peer");
  }
  auto state = DecodeFold(text);
  if (!state) {
    return tl::make_unexpected(state.error());
  }
  if (state->next_offset != covers) {
    return error("the text covers " +
                 std::to_string(state->next_offset.value()) + ", not " +
                 std::to_string(covers.value()));
  }
  ReplaceState(std::move(*state));
  caught_up_ = true;
  return {};
}

void LogFold::NotePeerOffset(Offset offset) {
  max_peer_offset_ = std::max(max_peer_offset_, offset);
}

void LogFold::NoteLogRange(Offset first, Offset next) {
  if (!first_log_end_) {
    first_log_end_ = next;
  }
  if (first > state_.next_offset) {
    records_missing_ = true;
  }
  UpdateCaughtUp();
}

void LogFold::UpdateCaughtUp() {
  caught_up_ = caught_up_ || (!records_missing_ && first_log_end_ &&
                              state_.next_offset >= *first_log_end_ &&
                              state_.next_offset >= max_peer_offset_);
}

std::uint64_t LogFold::rejected_records() const {
  std::uint64_t sum = 0;
  for (const auto& [kind, count] : state_.rejected_counts) {
    sum += count;
  }
  return sum;
}

std::uint64_t LogFold::Digest() const {
  const std::string text = EncodeFold(state_);
  return HashText(text);
}

}  // namespace baobab
