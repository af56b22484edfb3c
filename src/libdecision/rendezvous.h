#ifndef SRC_LIBDECISION_RENDEZVOUS_H_
#define SRC_LIBDECISION_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "libdecision/peer_message.h"

namespace baobab {

/** Hash of a text, the same in all processes and releases. */
std::uint64_t StableHash(std::string_view text);

/** Hash of a resource, to be passed to RendezvousOwner(). */
std::uint64_t StableHash(const ResourceId& resource);

/** Group of units of a resource which always have the same owner. Units below
 * 256 are groups of their own; above, groups grow with the unit number, so
 * that a limit of many thousands costs a few hundred hashes per node. The
 * group depends on the unit number only: a changed limit moves no unit. */
std::uint64_t UnitGroup(std::uint64_t unit);

/** First unit of the group after the one of `unit`. */
std::uint64_t NextUnitGroup(std::uint64_t unit);

/** Index into `node_hashes` of the owner of the unit's group by rendezvous
 * hashing; `node_hashes` must not be empty. A removed node changes the owner
 * of its own units only. */
std::size_t RendezvousOwner(std::uint64_t resource_hash,
                            std::uint64_t unit,
                            const std::vector<std::uint64_t>& node_hashes);

}  // namespace baobab

#endif  // SRC_LIBDECISION_RENDEZVOUS_H_
