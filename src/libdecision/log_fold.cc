// Order, duplicates, missing records and newer states. What each kind of
// record means is in log_fold_records.cc.

#include "libdecision/log_fold.h"

#include <algorithm>

#include "libdecision/fold_codec.h"
#include "libdecision/text_hash.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxKept = 20'000;
constexpr std::size_t kMaxWriters = 1024;
// Two planners that follow each other may interleave their parts.
constexpr std::size_t kMaxCollected = 2;

}  // namespace

FoldResult LogFold::Apply(const LogEntry& entry) {
  if (entry.offset < state_.next_offset) {
    return {FoldOutcome::kOld, "already folded", {}, {}};
  }
  if (entry.offset > state_.next_offset) {
    return KeepForSnapshot(entry);
  }
  missing_ = false;
  kept_.clear();
  collected_.clear();
  auto result = Fold(entry);
  UpdateCaughtUp();
  return result;
}

FoldResult LogFold::Fold(const LogEntry& entry) {
  state_.next_offset = Offset(entry.offset.value() + 1);
  const Record& record = entry.record;
  if (!record.writer.node.value().empty() && !NoteWriter(entry)) {
    return {FoldOutcome::kDuplicate,
            "sequence " + std::to_string(record.sequence.value()) +
                " of this writer, or a later one, was read before",
            {},
            {}};
  }
  if (record.format > kRecordFormat) {
    ++state_.void_counts["unknown-format"];
    return {FoldOutcome::kUnknownFormat,
            "format " + std::to_string(record.format) + " is above " +
                std::to_string(kRecordFormat),
            {},
            {}};
  }
  return std::visit([&](const auto& body) { return FoldBody(entry, body); },
                    record.body);
}

bool LogFold::NoteWriter(const LogEntry& entry) {
  const Record& record = entry.record;
  auto& writer = state_.writers[record.writer.node];
  const bool is_new = record.writer.incarnation > writer.incarnation ||
                      (record.writer.incarnation == writer.incarnation &&
                       record.sequence > writer.last);
  if (!is_new) {
    ++state_.void_counts["duplicate"];
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

FoldResult LogFold::KeepForSnapshot(const LogEntry& entry) {
  const FoldResult waits = {
      FoldOutcome::kWaitsForSnapshot,
      "records " + std::to_string(state_.next_offset.value()) + " to " +
          std::to_string(entry.offset.value() - 1) + " are missing",
      {},
      {}};
  missing_ = true;
  if (!kept_.empty() && entry.offset <= kept_.back().offset) {
    return waits;
  }
  if (!kept_.empty() &&
      entry.offset.value() != kept_.back().offset.value() + 1) {
    // The log dropped more in between; earlier parts cannot be completed.
    kept_.clear();
    collected_.clear();
  }
  kept_.push_back(entry);
  if (auto* part = std::get_if<SnapshotPart>(&kept_.back().record.body)) {
    part->text.clear();
  }
  if (kept_.size() > kMaxKept) {
    kept_.pop_front();
  }
  const auto text = Collect(entry);
  if (!text) {
    return waits;
  }
  auto state = DecodeFold(*text);
  if (!state ||
      state->next_offset != std::get<SnapshotPart>(entry.record.body).covers) {
    return {FoldOutcome::kWaitsForSnapshot,
            state ? "the snapshot covers another offset than it says"
                  : ToString(state.error()),
            {},
            {}};
  }
  Replace(std::move(*state));
  return {FoldOutcome::kAdopted, "snapshot", {}, {}};
}

std::optional<std::string> LogFold::Collect(const LogEntry& entry) {
  const auto* part = std::get_if<SnapshotPart>(&entry.record.body);
  // The term does not matter here: all states at one offset are equal, whoever
  // encoded them.
  if (part == nullptr || entry.record.format > kRecordFormat ||
      part->parts == 0 || part->parts > kMaxSnapshotParts ||
      part->part >= part->parts) {
    return std::nullopt;
  }
  // All records from the covered offset on have to be at hand.
  if (part->covers < kept_.front().offset || part->covers > entry.offset) {
    return std::nullopt;
  }
  if (collected_.size() >= kMaxCollected &&
      !collected_.contains(part->snapshot_id)) {
    collected_.erase(std::min_element(
        collected_.begin(), collected_.end(), [](const auto& a, const auto& b) {
          return a.second.covers < b.second.covers;
        }));
  }
  auto& collected = collected_[part->snapshot_id];
  if (collected.parts.size() != part->parts ||
      collected.covers != part->covers || part->part == 0) {
    collected = {part->covers, std::vector<std::string>(part->parts), 0};
  }
  auto& text = collected.parts[part->part];
  if (text.empty() && !part->text.empty()) {
    text = part->text;
    ++collected.present;
  }
  if (collected.present < collected.parts.size()) {
    return std::nullopt;
  }
  std::string whole;
  for (const auto& it : collected.parts) {
    whole += it;
  }
  collected_.erase(part->snapshot_id);
  return whole;
}

void LogFold::Replace(FoldState state) {
  state_ = std::move(state);
  missing_ = false;
  collected_.clear();
  const auto kept = std::move(kept_);
  kept_.clear();
  for (const auto& it : kept) {
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
  if (covers < heard_) {
    return error("covers " + std::to_string(covers.value()) +
                 ", below the offset " + std::to_string(heard_.value()) +
                 " heard from a peer");
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
  Replace(std::move(*state));
  caught_up_ = true;
  return {};
}

void LogFold::HearOffset(Offset offset) {
  heard_ = std::max(heard_, offset);
}

void LogFold::HearLog(Offset first, Offset next) {
  if (!log_end_) {
    log_end_ = next;
  }
  if (first > state_.next_offset) {
    missing_ = true;
  }
  UpdateCaughtUp();
}

void LogFold::UpdateCaughtUp() {
  caught_up_ =
      caught_up_ || (!missing_ && log_end_ && state_.next_offset >= *log_end_ &&
                     state_.next_offset >= heard_);
}

std::uint64_t LogFold::void_records() const {
  std::uint64_t sum = 0;
  for (const auto& [kind, count] : state_.void_counts) {
    sum += count;
  }
  return sum;
}

std::uint64_t LogFold::Digest() const {
  const std::string text = EncodeFold(state_);
  return HashText(text);
}

}  // namespace baobab
