#include "libdecision/backlog.h"

#include <algorithm>

namespace baobab {

void BacklogBytes::SetQueues(const std::map<QueueId, QueueRow>& queues) {
  std::int64_t total_weight = 0;
  for (const auto& [id, row] : queues) {
    total_weight += row.weight.value();
  }
  std::erase_if(queues_,
                [](const auto& it) { return it.second.used == Bytes(); });
  for (auto& [id, use] : queues_) {
    use.reserved = Bytes();
  }
  for (const auto& [id, row] : queues) {
    queues_[id].reserved =
        Bytes(limit_.value() / 2 * row.weight.value() / total_weight);
  }
  excess_ = Bytes();
  for (const auto& [id, use] : queues_) {
    excess_ += Excess(use);
  }
}

bool BacklogBytes::Fits(const QueueId& queue, Bytes size) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end()) {
    return false;
  }
  Usage after = it->second;
  after.used += size;
  const Bytes more = Excess(after) - Excess(it->second);
  return more == Bytes() || excess_ + more <= Bytes(limit_.value() / 2);
}

void BacklogBytes::Add(const QueueId& queue, Bytes size) {
  ChangeUsage(queue, size);
}

void BacklogBytes::Remove(const QueueId& queue, Bytes size) {
  ChangeUsage(queue, Bytes() - size);
}

Bytes BacklogBytes::Excess(const Usage& use) {
  return std::max(Bytes(), use.used - use.reserved);
}

void BacklogBytes::ChangeUsage(const QueueId& queue, Bytes change) {
  Usage& use = queues_[queue];
  excess_ -= Excess(use);
  use.used += change;
  excess_ += Excess(use);
  total_ += change;
}

}  // namespace baobab
