#ifndef SRC_LIBDECISION_FAIR_QUEUE_H_
#define SRC_LIBDECISION_FAIR_QUEUE_H_

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <map>
#include <set>
#include <utility>

#include "libdecision/slot_ledger.h"
#include "libtable/table.h"

namespace baobab {

/** Resource whose shortage kept the first request of a queue from starting. */
enum class Shortage { kNone, kSlots, kLimit, kQuota };

/** Open borrow request of another node for a queue. */
struct RemoteDemand {
  Incarnation incarnation;
  BorrowId borrow;
  /** Requested units beyond the loans that the borrower has; while
   * `renewal_pending` is set, including them. */
  Units slots;
  Units limit_units;
  Units quota_units;
  /** True until the loans of the borrower are renewed for this request. */
  bool renewal_pending = true;
  /** Latest start of the borrower's most urgent request, by the local clock. */
  Time start_by;
  /** End of validity; a later grant would leave the borrower too little of the
   * loan term. */
  Time valid_until;

  bool Empty() const {
    return slots == Units() && limit_units == Units() && quota_units == Units();
  }
};

/** Scheduling state of one queue on this node. */
struct FairQueue {
  /** Waiting requests, earliest deadline first, ties by request id. The
   * order-statistics tree returns the number of earlier requests in logarithmic
   * time. */
  using Key = std::pair<Time, RequestId>;
  using Waiting =
      __gnu_pbds::tree<Key,
                       __gnu_pbds::null_type,
                       std::less<Key>,
                       __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;

  QueueRow row;
  /** Resource ids of the queue's concurrency limit and its team's quota. */
  ResourceId limit;
  ResourceId quota;
  /** Index within the service; breaks ties between equal start tags. */
  std::size_t position = 0;

  Waiting waiting;
  /** Time at which `waiting` last became non-empty. */
  Time waiting_since;
  /** Open borrow requests by borrower. */
  std::map<NodeId, RemoteDemand> remote;
  /** Running requests. */
  std::int64_t in_flight = 0;

  /** SFQ start tag: virtual time at which the next request may start. */
  std::int64_t start_tag = 0;
  /** True while the queue is in its service's set of queues with demand. */
  bool active = false;
  /** Shortage found by the last scheduling run. */
  Shortage shortage = Shortage::kNone;

  /** Slots owned by this node that local requests use. */
  std::int64_t own_slots = 0;
  /** True for a batch queue whose requests may be too long to free a slot for
   * an urgent request in time. */
  bool is_long_running = false;

  /** Moving average of the slot time; valid if `samples` is not 0. */
  Duration mean_slot_time{0};
  std::int64_t samples = 0;
  /** Maxima of `in_flight` in the current and the previous second. */
  Time window_start;
  std::int64_t peak = 0;
  std::int64_t last_peak = 0;

  /** Loans to other nodes by borrower; may include ended ones. */
  std::map<NodeId, std::set<LoanId>> outgoing;
  /** Loans from other nodes for this queue; may include ended ones. */
  std::set<LoanKey> loans;
  /** Earliest time of the next borrow requests, unless the shortage changes. */
  Time next_borrow_at;
  /** Shortage for which units were last requested from peers. */
  Shortage borrowed_for = Shortage::kNone;
  /** Offset of the next peer to ask; rotates over the owners. */
  std::size_t lender_rotation = 0;

  /** Slot time to charge at a start, before the actual one is known. */
  Duration ExpectedSlotTime() const;
  /** Updates the mean with the slot time of an ended request. */
  void AddSample(Duration slot_time);
  /** Updates the maxima after a change of `in_flight`. */
  void UpdatePeak(Time now);
  std::int64_t RecentPeak() const { return std::max(peak, last_peak); }
  /** Advances the start tag by slot time over weight; a negative time corrects
   * an earlier charge. */
  void Charge(Duration slot_time);
  /** Converts slot time of this queue to virtual time. */
  std::int64_t VirtualTime(Duration slot_time) const;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FAIR_QUEUE_H_
