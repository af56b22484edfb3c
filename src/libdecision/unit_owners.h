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

/** Ownership of the units of one resource, as seen by one node. */
struct Ownership {
  /** Units owned by this node in the current view. */
  Units owned;
  /** Owned units that may still be used by their former owner. */
  struct PendingUnits {
    /** Former owner, empty if it is not known; this node after a restart. */
    NodeId former;
    /** The former owner no longer uses the units once it has adopted this
     * view. */
    ViewNumber view;
    /** Time from which this node may use the units even if the former owner
     * has not adopted `view`. */
    Time ready_at;
    Units units;
  };
  /** Owned units that this node may not use yet. */
  std::vector<PendingUnits> waiting;
  /** Units by owner in the current view, including this node. */
  std::map<NodeId, Units> by_node;
  /** Owned units with a number of at least `reserved`; see Compute(). */
  Units owned_unreserved;
};

/** Decides which node owns which unit in the current view, and when a unit that
 * changed its owner may be used by the new one. */
class UnitOwners {
 public:
  UnitOwners(const NodeConfig& config, Duration loan_term, Time started);

  /** Sets the current view, or records that more nodes have adopted it. Lower
   * numbers are ignored. Views must be given in order and without gaps; after a
   * gap all gained units wait for the full time. The first view given by a
   * process must be the newest of the log; number 0 (no nodes) means that the
   * log was read to its end and never held a view, and only then the process
   * takes units without waiting for an earlier incarnation of itself. Returns
   * true if the view changed. */
  bool SetView(ViewNumber number,
               const std::vector<ViewNode>& nodes,
               const std::set<NodeId>& adopted,
               Time now);

  /** Returns the ownership of units 0 to `units` - 1. Minion slots belong to
   * the view's nodes in `data_centre`, or to all nodes if there are none. Units
   * below `reserved` are not counted in owned_unreserved. */
  Ownership Compute(const ResourceId& resource,
                    Units units,
                    const DataCentreId& data_centre,
                    Units reserved,
                    Time now) const;

  /** Returns true if the pending units may be used at `now`. */
  bool Ready(const Ownership::PendingUnits& waiting, Time now) const;

  /** Returns the time after which no former owner can still use a unit that
   * changed its owner at `now`, even if it did not learn of the change. */
  Time HandoverDeadline(Time now) const { return now + handover_timeout_; }

  /** End of the time in which an earlier incarnation of this node may have
   * loans out or requests running. */
  Time RestartWaitEnd() const { return restart_wait_end_; }

  /** End of the time in which the current view must not be announced: after
   * rapid view changes or a recent start, units that this node passed on may
   * still be used by an owner before it. */
  Time AnnounceHoldEnd() const { return announce_hold_end_; }

  ViewNumber number() const { return number_; }
  const std::vector<ViewNode>& nodes() const { return current_.nodes; }

 private:
  /** A view with the hashes of its nodes. */
  struct View {
    ViewNumber number;
    std::vector<ViewNode> nodes;
    std::vector<std::uint64_t> hashes;
    /** Indexes into `nodes`, and their hashes, by data centre. */
    std::map<DataCentreId,
             std::pair<std::vector<std::size_t>, std::vector<std::uint64_t>>>
        by_data_centre;
  };
  /** A change of the view. */
  struct Transition {
    View from;
    ViewNumber to;
    Time at;
    /** Views between `from` and `to` were missed; their owners are unknown. */
    bool gap = false;
  };

  static View MakeView(ViewNumber number, std::vector<ViewNode> nodes);
  /** Returns the owner of a unit in a view, or null if the view is empty. */
  static const NodeId* Owner(const View& view,
                             std::uint64_t resource_hash,
                             std::uint64_t unit,
                             const DataCentreId& data_centre);
  /** Returns true if all nodes of the old view are known to have adopted the
   * new one. */
  bool AllAdopted(const Transition& transition) const;
  /** Returns why a unit of this node may not be used yet; empty if it may. The
   * result counts no units. */
  std::optional<Ownership::PendingUnits> PendingHandover(
      std::uint64_t resource_hash,
      std::uint64_t unit,
      const DataCentreId& data_centre,
      Time now) const;

  NodeId self_;
  /** Longest time a former owner may use units after a view change. */
  Duration handover_timeout_;
  Time restart_wait_end_;
  bool has_view_ = false;
  /** The log held no view when this process started. */
  bool started_without_views_ = false;
  ViewNumber number_;
  View current_;
  /** Time at which the first view was set. */
  Time first_view_at_;
  Time announce_hold_end_;
  /** View changes within the handover timeout, oldest first. */
  std::vector<Transition> transitions_;
  /** Highest view that each node is known to have adopted. */
  std::map<NodeId, ViewNumber> adopted_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_UNIT_OWNERS_H_
