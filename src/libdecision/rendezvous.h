#ifndef SRC_LIBDECISION_RENDEZVOUS_H_
#define SRC_LIBDECISION_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "libdecision/peer_message.h"

namespace baobab {

/** Returns a hash of a text that is the same in all processes and releases. */
std::uint64_t StableHash(std::string_view text);

/** Returns a hash of the resource, as RendezvousOwner() takes it. */
std::uint64_t StableHash(const ResourceId& resource);

/** Returns the group of a unit: consecutive units of a resource that always
 * have the same owner. Units below 256 form groups of one; above, the group
 * size grows with the unit number, so that a limit of many thousands costs a
 * few hundred hashes per node. The group depends on the unit number only, so a
 * changed limit moves no unit. */
std::uint64_t UnitGroup(std::uint64_t unit);

/** Returns the first unit of the next group. */
std::uint64_t NextUnitGroup(std::uint64_t unit);

/** Returns the index into `node_hashes` of the owner of the unit's group by
 * rendezvous hashing; `node_hashes` must not be empty. Removing a node changes
 * only the owners of its own units. */
std::size_t RendezvousOwner(std::uint64_t resource_hash,
                            std::uint64_t unit,
                            const std::vector<std::uint64_t>& node_hashes);

}  // namespace baobab

#endif  // SRC_LIBDECISION_RENDEZVOUS_H_
