#include "libjobs/policies.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace baobab {

QueueKey QueuePolicy::Key() const {
  // Keys of the store are short, and a prefix may be long.
  const auto text = host + path_prefix;
  return QueueKey(fmt::format("{:016x}", XXH64(text.data(), text.size(), 0)));
}

const QueuePolicy* PolicySet::Route(std::string_view host,
                                    std::string_view path) const {
  const QueuePolicy* best = nullptr;
  for (const auto& it : queues) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (!best || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const QueuePolicy* PolicySet::Find(const QueueId& name) const {
  for (const auto& it : queues) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace baobab
