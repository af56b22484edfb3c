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

/** What kept the first request of a queue from starting. */
enum class Shortage { kNone, kSlots, kLimit, kQuota };

/** Units that another node wants to borrow for a queue. */
struct RemoteDemand {
  Incarnation incarnation;
  BorrowId borrow;
  /** Beyond the loans it has; including them while `fresh` is set. */
  Units slots;
  Units limit_units;
  Units quota_units;
  /** Loans are not yet renewed for this borrow request. */
  bool renewal_pending = true;
  /** Latest start of its most urgent request, by this node's clock. */
  Time start_by;
  /** A grant after that would reach the borrower with too little time left. */
  Time valid_until;

  bool Empty() const {
    return slots == Units() && limit_units == Units() && quota_units == Units();
  }
};

/** One queue of a FairScheduler on this node. */
struct FairQueue {
  /** Earliest deadline first; ties in order of arrival. The tree gives the
   * number of earlier requests in logarithmic time. */
  using Key = std::pair<Time, RequestId>;
  using Waiting =
      __gnu_pbds::tree<Key,
                       __gnu_pbds::null_type,
                       std::less<Key>,
                       __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;

  QueueRow row;
  ResourceId limit;
  ResourceId quota;
  /** Position within the service; the order of equal tags. */
  std::size_t position = 0;

  Waiting waiting;
  Time waiting_since;
  std::map<NodeId, RemoteDemand> remote;
  std::int64_t in_flight = 0;

  /** Virtual time at which the next request may start. */
  std::int64_t start_tag = 0;
  /** In the service's set of queues with demand. */
  bool active = false;
  Shortage shortage = Shortage::kNone;

  /** Own slots in use by local requests. */
  std::int64_t own_slots = 0;
  bool is_long_running = false;

  /** Mean slot time, valid with at least one sample. */
  Duration mean_slot_time{0};
  std::int64_t samples = 0;
  /** Highest in_flight of the current and the last second. */
  Time window_start;
  std::int64_t peak = 0;
  std::int64_t last_peak = 0;

  /** Loans to other nodes, which may have ended. */
  std::map<NodeId, std::set<LoanId>> outgoing;
  /** Loans of other nodes for this queue, which may have ended. */
  std::set<LoanKey> loans;
  Time next_borrow_at;
  Shortage borrowed_for = Shortage::kNone;
  std::size_t lender_rotation = 0;

  /** Slot time to charge for a start whose run time is not known yet. */
  Duration ExpectedSlotTime() const;
  void AddSample(Duration slot_time);
  void UpdatePeak(Time now);
  std::int64_t RecentPeak() const { return std::max(peak, last_peak); }
  /** Charges slot time against the weight; negative to correct. */
  void Charge(Duration slot_time);
  /** Virtual time that corresponds to slot time of this queue. */
  std::int64_t VirtualTime(Duration slot_time) const;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_FAIR_QUEUE_H_
