#include "libdecision/rendezvous.h"

#include <bit>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace baobab {
namespace {

/** Units below this number form groups of one. */
constexpr std::uint64_t kUngroupedUnits = 256;

/** Finalizer of MurmurHash3. */
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 33U)) * 0xff51afd7ed558ccdULL;
  value = (value ^ (value >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33U);
}

/** Returns the size of the group of `unit`: 1 below 256, 2 below 512, 4 below
 * 1024 and so on. */
std::uint64_t GroupSize(std::uint64_t unit) {
  return unit < kUngroupedUnits ? 1
                                : std::bit_floor(unit) / (kUngroupedUnits / 2);
}

}  // namespace

std::uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t StableHash(const ResourceId& resource) {
  return XXH64(resource.name.data(), resource.name.size(),
               static_cast<std::uint64_t>(resource.kind) + 1);
}

std::uint64_t UnitGroup(std::uint64_t unit) {
  return unit - unit % GroupSize(unit);
}

std::uint64_t NextUnitGroup(std::uint64_t unit) {
  return UnitGroup(unit) + GroupSize(unit);
}

std::size_t RendezvousOwner(std::uint64_t resource_hash,
                            std::uint64_t unit,
                            const std::vector<std::uint64_t>& node_hashes) {
  const std::uint64_t key =
      Mix(resource_hash + UnitGroup(unit) * 0x9e3779b97f4a7c15ULL);
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t n = 0; n < node_hashes.size(); ++n) {
    const std::uint64_t score = Mix(key ^ node_hashes[n]);
    if (n == 0 || score > best_score) {
      best = n;
      best_score = score;
    }
  }
  return best;
}

}  // namespace baobab
