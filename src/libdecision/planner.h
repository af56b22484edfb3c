#ifndef SRC_LIBDECISION_PLANNER_H_
#define SRC_LIBDECISION_PLANNER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libdecision/log_fold.h"
#include "libdecision/log_writer.h"
#include "libdecision/membership.h"
#include "libdecision/platform.h"

namespace baobab {

/** Time without a record of the planner after which other nodes claim its
 * lease. */
inline constexpr Duration kPlannerSilenceTimeout = std::chrono::seconds(6);
/** Interval at which the planner renews its lease. */
inline constexpr Duration kLeaseRenewalInterval = std::chrono::seconds(2);
/** Interval at which the planner computes the view. The cost grows with the
 * nodes times the nodes of a data centre: computed on every tick of 50 ms, it
 * took the planner 0.85 % of a core at 81 nodes, against 0.19 % on average. */
inline constexpr Duration kViewCheckInterval = std::chrono::milliseconds(500);
/** Time without reading back an own record after which the holder of the lease
 * stops acting. Shorter than kPlannerSilenceTimeout, so that it stops before
 * another node takes over. */
inline constexpr Duration kPlannerStopTimeout = std::chrono::seconds(5);
/** Number of records after which a new snapshot is written. */
inline constexpr std::uint64_t kMaxRecordsBetweenSnapshots = 1000;
/** Size of a snapshot part; the last one may be smaller. */
inline constexpr std::size_t kSnapshotPartBytes = 256 << 10;

/** Claims the planner lease and, while it holds the lease, appends view
 * changes, versions in force and snapshots. Acts only on state read back from
 * the log. */
class Planner {
 public:
  Planner(const NodeConfig& config, Time now);

  /** Stores which nodes the platform lists; only these may be in the view. */
  void OnHostList(const HostList& list);

  /** Called for each record after LogFold::Apply(). */
  void OnFolded(const LogEntry& entry, const FoldResult& result, Time now);

  /** Restarts the silence timer: while the log cannot be read, the planner may
   * still be alive. */
  void OnLogReadFailed(Time now);

  /** Claims or renews the lease and, as planner, appends the records due. */
  void Tick(Time now,
            std::int64_t wall_ms,
            const LogFold& fold,
            const Membership& membership,
            LogWriter& writer,
            Effects& effects);

  /** Called when this node shuts down; it neither claims nor acts from then on.
   */
  void Stop() { stopping_ = true; }

  /** Returns whether this node holds the lease and read back an own record
   * within kPlannerStopTimeout. */
  bool IsActing(Time now, const LogFold& fold) const;

 private:
  /** A snapshot that is appended part by part. */
  struct SnapshotWrite {
    std::string id;
    Offset covers;
    std::string text;
    /** Index of the next part to append. */
    std::uint32_t part = 0;
    /** Number of parts. */
    std::uint32_t parts = 0;
  };

  /** Claims the lease if its holder has been silent too long. */
  void Claim(Time now,
             std::int64_t wall_ms,
             const LogFold& fold,
             LogWriter& writer,
             Effects& effects);
  /** Renews the lease if due. */
  void Renew(Time now,
             std::int64_t wall_ms,
             const LogFold& fold,
             LogWriter& writer);
  /** Appends the view change, version in force and snapshot part that are due.
   */
  void AppendDueRecords(Time now,
                        std::int64_t wall_ms,
                        const LogFold& fold,
                        const Membership& membership,
                        LogWriter& writer,
                        Effects& effects);
  void WriteSnapshot(Time now,
                     std::int64_t wall_ms,
                     const LogFold& fold,
                     LogWriter& writer,
                     Effects& effects);
  /** Stops the appends of a planner that lost its lease. */
  void WithdrawAppends(LogWriter& writer);
  /** Returns the nodes that the view should have, sorted by id. */
  std::vector<ViewNode> TargetNodes(Time now,
                                    const LogFold& fold,
                                    const Membership& membership) const;
  /** Returns false for a node that is delisted, has stopped, or that more than
   * half of the other view nodes in its data centre do not hear. */
  bool BelongsInView(const ViewNode& node,
                     Time now,
                     const View& view,
                     const Membership& membership) const;
  /** Returns a text with the nodes added and removed by a view change. */
  static std::string DescribeChange(const std::vector<ViewNode>& from,
                                    const std::vector<ViewNode>& to);
  /** Returns the silence of the planner after which this node claims the lease;
   * grows with the rank of the node. */
  Duration ClaimTimeout(const LogFold& fold) const;

  NodeConfig config_;
  WriterId self_;
  bool stopping_ = false;
  /** The host list was read and names at least one node. */
  bool host_list_known_ = false;
  std::set<NodeId> listed_nodes_;
  /** Last time that a planner record was read or its absence was excused. */
  Time silence_since_;
  Time last_tick_;
  /** Start of this process or end of its last pause. */
  Time running_since_;
  /** Last time that an own planner record was read back. */
  std::optional<Time> own_record_read_at_;
  Time next_renewal_at_;
  Time next_view_check_at_;
  Time last_snapshot_at_;
  bool was_acting_ = false;
  /** Appends in progress, by kind of record. */
  std::optional<RecordSequence> claim_;
  std::optional<RecordSequence> renewal_;
  std::optional<RecordSequence> view_change_;
  std::optional<RecordSequence> in_force_;
  std::optional<RecordSequence> snapshot_part_;
  std::optional<SnapshotWrite> snapshot_write_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_PLANNER_H_
