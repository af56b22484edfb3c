#include "libjobs/sharding.h"

#include <xxhash.h>

namespace baobab {

ShardId ShardOf(const ServiceId& service, int shards) {
  const auto& text = service.value();
  const auto hash = XXH64(text.data(), text.size(), 0);
  return ShardId(static_cast<int>(hash % static_cast<std::uint64_t>(shards)));
}

}  // namespace baobab
