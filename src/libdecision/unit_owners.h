#ifndef SRC_LIBDECISION_UNIT_OWNERS_H_
#define SRC_LIBDECISION_UNIT_OWNERS_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libdecision/node_config.h"
#include "libdecision/peer_message.h"
#include "libdecision/record.h"

namespace baobab {

/** Owners of the units of one resource, as one node sees them. */
struct Ownership {
  /** Units which this node owns in the current view. */
  Units owned;
  /** Of them, those which it may not use yet, by former owner and the latest
   * time at which they become usable. */
  struct Waiting {
    NodeId former;
    ViewNumber view;
    Time ready_at;
    Units units;
  };
  std::vector<Waiting> waiting;
  /** Units by owner in the current view, including this node. */
  std::map<NodeId, Units> by_node;
  /** Owned units with a number of at least `reserved`; see Compute(). */
  Units owned_unreserved;
};

/** Which node owns which unit in the current view, and from when on a unit is
 * free of its former owner. */
class UnitOwners {
 public:
  UnitOwners(const NodeConfig& config, Duration loan_term, Time started);

  /** Enters a view, or learns that more nodes have adopted the current one.
   * Lower numbers are ignored. Views must be given in order and without gaps;
   * after a gap all gained units wait for the full time. The first view given
   * by a process must be the newest of the log; number 0 (no nodes) means that
   * the log was read to its end and never held a view, and only then the
   * process takes units without waiting for an earlier incarnation of itself.
   * Returns true if the view changed. */
  bool SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);

  /** Owners of units 0 to `units` - 1. Minion slots belong to the view's nodes
   * in `data_centre`, or to all nodes if there are none. Units below
   * `reserved` are not counted in owned_unreserved. */
  Ownership Compute(const ResourceId& resource,
                    Units units,
                    const DataCentreId& data_centre,
                    Units reserved,
                    Time now) const;

  /** True if the waiting units may be used at `now`. */
  bool Ready(const Ownership::Waiting& waiting, Time now) const;

  /** Time after which no former owner can still use a unit that changed hands
   * at `now` without its knowledge. */
  Time HandoverDeadline(Time now) const { return now + handover_timeout_; }

  /** Until then, an earlier incarnation of this node may have loans out or
   * requests running. */
  Time RestartWaitEnd() const { return restart_wait_end_; }

  /** Until then, a unit that passed through this node in quick view changes, or
   * soon after its start, may still be used by an owner before it. */
  Time AnnounceHoldEnd() const { return announce_hold_end_; }

  ViewNumber number() const { return number_; }
  const std::vector<ViewNode>& nodes() const { return current_.nodes; }

 private:
  struct View {
    ViewNumber number;
    std::vector<ViewNode> nodes;
    std::vector<std::uint64_t> hashes;
    /** Indexes into `nodes`, and their hashes, by data centre. */
    std::map<DataCentreId,
             std::pair<std::vector<std::size_t>, std::vector<std::uint64_t>>>
        by_data_centre;
  };
  struct Transition {
    View from;
    ViewNumber to;
    Time at;
    /** The owners between `from` and `to` are unknown. */
    bool gap = false;
  };

  static View MakeView(ViewNumber number, std::vector<ViewNode> nodes);
  static const NodeId* Owner(const View& view,
                             std::uint64_t resource_hash,
                             std::uint64_t unit,
                             const DataCentreId& data_centre);
  bool AllAdopted(const Transition& transition) const;
  std::optional<Ownership::Waiting> PendingHandover(
      std::uint64_t resource_hash,
      std::uint64_t unit,
      const DataCentreId& data_centre,
      Time now) const;

  NodeId self_;
  Duration handover_timeout_;
  Time restart_wait_end_;
  bool has_view_ = false;
  bool started_without_views_ = false;
  ViewNumber number_;
  View current_;
  /** When the first view was entered. */
  Time first_view_at_;
  Time announce_hold_end_;
  /** Recent view changes, oldest first; older than the full wait are gone. */
  std::vector<Transition> transitions_;
  /** Highest view each node is known to have adopted. */
  std::map<NodeId, ViewNumber> adopted_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_UNIT_OWNERS_H_
