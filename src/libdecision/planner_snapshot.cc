// Snapshots of the folded log, appended part by part so that renewals of the
// lease come in between.

#include <algorithm>

#include "libdecision/fold_codec.h"
#include "libdecision/planner.h"

namespace baobab {

void Planner::WriteSnapshot(Time now,
                            std::int64_t wall_ms,
                            const LogFold& fold,
                            LogWriter& writer,
                            Effects& effects) {
  const auto next = fold.next_offset();
  const auto records = next.value() - fold.state().snapshot.covers.value();
  if (!writing_) {
    const bool aged = now - snapshot_seen_at_ > config_.log_retention / 4;
    if (records <= kSnapshotRecords && !(aged && records > 0)) {
      return;
    }
    Writing writing;
    writing.id = self_.node.value() + "-" +
                 std::to_string(self_.incarnation.value()) + "-" +
                 std::to_string(next.value());
    writing.covers = next;
    writing.text = EncodeFold(fold.state());
    writing.parts = static_cast<std::uint32_t>(
        (writing.text.size() + kSnapshotPartBytes - 1) / kSnapshotPartBytes);
    effects.push_back(Explain{{"snapshot-started", "snapshot/" + writing.id, "",
                               std::to_string(records) +
                                   " records since the last one, limit " +
                                   std::to_string(kSnapshotRecords) + "; " +
                                   std::to_string(writing.parts) + " parts"}});
    writing_ = std::move(writing);
  }
  if (snapshot_part_) {
    return;
  }
  if (writing_->part == writing_->parts) {
    writing_.reset();
    return;
  }
  const auto sequence = writer.Submit(
      SnapshotPart{fold.planner().term, writing_->id, writing_->covers,
                   writing_->part, writing_->parts,
                   writing_->text.substr(writing_->part * kSnapshotPartBytes,
                                         kSnapshotPartBytes)},
      wall_ms);
  if (sequence) {
    snapshot_part_ = *sequence;
    ++writing_->part;
  }
}

}  // namespace baobab
