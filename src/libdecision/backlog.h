#ifndef SRC_LIBDECISION_BACKLOG_H_
#define SRC_LIBDECISION_BACKLOG_H_

#include <map>

#include "libtable/table.h"

namespace baobab {

/** Accounts for the request bytes queued on this node and decides whether
 * another request fits. Half of the limit is reserved for the queues in
 * proportion to their weights; the other half is shared on demand. A queue
 * within its reservation always fits, whatever the others hold, and the total
 * never exceeds the limit. */
class BacklogBytes {
 public:
  explicit BacklogBytes(Bytes limit) : limit_(limit) {}

  /** Recomputes the reservations for the queues of a table version. */
  void SetQueues(const std::map<QueueId, QueueRow>& queues);

  /** Returns false if the request must be refused. */
  bool Fits(const QueueId& queue, Bytes size) const;
  void Add(const QueueId& queue, Bytes size);
  void Remove(const QueueId& queue, Bytes size);

  /** Bytes of all queued requests. */
  Bytes total() const { return total_; }

 private:
  /** Reserved and used bytes of one queue. */
  struct Usage {
    Bytes reserved;
    Bytes used;
  };

  /** Bytes that the queue uses above its reservation. */
  static Bytes Excess(const Usage& use);
  void ChangeUsage(const QueueId& queue, Bytes change);

  Bytes limit_;
  Bytes total_;
  /** Sum over the queues of the bytes above their reservations; at most half of
   * the limit. */
  Bytes excess_;
  std::map<QueueId, Usage> queues_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_BACKLOG_H_
