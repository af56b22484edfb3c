#ifndef SRC_LIBDECISION_BACKLOG_H_
#define SRC_LIBDECISION_BACKLOG_H_

#include <map>

#include "libtable/table.h"

namespace baobab {

/** Bytes of request bodies that wait on this node. Half of the limit is
 * reserved for the queues by weight, the other half is taken as needed. A
 * queue below its share always gets in, whatever the others hold, and the sum
 * never exceeds the limit. */
class BacklogBytes {
 public:
  explicit BacklogBytes(Bytes limit) : limit_(limit) {}

  void SetQueues(const std::map<QueueId, QueueRow>& queues);

  /** False if the request must be refused. */
  bool Fits(const QueueId& queue, Bytes size) const;
  void Add(const QueueId& queue, Bytes size);
  void Remove(const QueueId& queue, Bytes size);

  Bytes total() const { return total_; }

 private:
  struct Usage {
    Bytes share;
    Bytes used;
  };

  static Bytes Excess(const Usage& use);
  void ChangeUsage(const QueueId& queue, Bytes change);

  Bytes limit_;
  Bytes total_;
  /** Bytes above the shares; at most half of the limit. */
  Bytes excess_;
  std::map<QueueId, Usage> queues_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_BACKLOG_H_
