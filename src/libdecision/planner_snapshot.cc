// Writes snapshots of the folded log, part by part so that lease renewals can
// be appended in between.

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
  if (!snapshot_write_) {
    const bool aged = now - last_snapshot_at_ > config_.log_retention / 4;
    if (records <= kMaxRecordsBetweenSnapshots && !(aged && records > 0)) {
      return;
    }
    SnapshotWrite snapshot_write;
    snapshot_write.id = self_.node.value() + "-" +
                        std::to_string(self_.incarnation.value()) + "-" +
                        std::to_string(next.value());
    snapshot_write.covers = next;
    snapshot_write.text = EncodeFold(fold.state());
    snapshot_write.parts = static_cast<std::uint32_t>(
        (snapshot_write.text.size() + kSnapshotPartBytes - 1) /
        kSnapshotPartBytes);
    effects.push_back(WriteTimelineEntry{
        {"snapshot-started", "snapshot/" + snapshot_write.id, "",
         std::to_string(records) + " records since the last one, limit " +
             std::to_string(kMaxRecordsBetweenSnapshots) + "; " +
             std::to_string(snapshot_write.parts) + " parts"}});
    snapshot_write_ = std::move(snapshot_write);
  }
  if (snapshot_part_) {
    return;
  }
  if (snapshot_write_->part == snapshot_write_->parts) {
    snapshot_write_.reset();
    return;
  }
  const auto sequence = writer.Submit(
      SnapshotPart{
          fold.planner().term, snapshot_write_->id, snapshot_write_->covers,
          snapshot_write_->part, snapshot_write_->parts,
          snapshot_write_->text.substr(
              snapshot_write_->part * kSnapshotPartBytes, kSnapshotPartBytes)},
      wall_ms);
  if (sequence) {
    snapshot_part_ = *sequence;
    ++snapshot_write_->part;
  }
}

}  // namespace baobab
