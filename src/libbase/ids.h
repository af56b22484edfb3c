#ifndef SRC_LIBBASE_IDS_H_
#define SRC_LIBBASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace baobab {

/** A typed identifier; ids of different kinds do not convert to each other. */
template <typename Tag, typename Rep>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }

  auto operator<=>(const StrongId&) const = default;

 private:
  Rep value_{};
};

/** A node of the fleet; successive processes of the node share its id. */
using NodeId = StrongId<struct NodeTag, std::string>;
using HostId = StrongId<struct HostTag, std::string>;
using RackId = StrongId<struct RackTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/** A backend server that serves requests. */
using MinionId = StrongId<struct MinionTag, std::string>;
/** A service that minions provide. */
using ServiceId = StrongId<struct ServiceTag, std::string>;
/** A pool of hosts. */
using PoolId = StrongId<struct PoolTag, std::string>;
/** A queue of requests to one service. */
using QueueId = StrongId<struct QueueTag, std::string>;
/** A team; the quota of a team covers all of its queues. */
using TeamId = StrongId<struct TeamTag, std::string>;

/** A table edit. The operators' command chooses the id, so that a resent edit
 * is applied only once. */
using EditId = StrongId<struct EditTag, std::string>;

/** Distinguishes successive processes with the same NodeId: the wall clock at
 * process start, in microseconds. A later process has a higher value. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/** Offset of a record in the platform's log. */
using Offset = StrongId<struct OffsetTag, std::uint64_t>;

/** Number of a planner lease; a higher term fences all lower ones. */
using Term = StrongId<struct TermTag, std::uint64_t>;

/** Number of a view, the list of nodes that own capacity units. */
using ViewNumber = StrongId<struct ViewTag, std::uint64_t>;

/** Version of the operators' table: the number of edits accepted so far. */
using TableVersion = StrongId<struct TableVersionTag, std::uint64_t>;

/** Sequence number among the records of one writer; a resent record keeps its
 * number. */
using RecordSequence = StrongId<struct RecordSequenceTag, std::uint64_t>;

/** A request, unique within the process that accepted it. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;

/** An operator command that waits for its reply. */
using CommandId = StrongId<struct CommandTag, std::uint64_t>;

/** A request to borrow capacity, unique within the borrowing process. */
using BorrowId = StrongId<struct BorrowTag, std::uint64_t>;

/** A loan of capacity, unique within the lending process. */
using LoanId = StrongId<struct LoanTag, std::uint64_t>;

}  // namespace baobab

template <typename Tag, typename Rep>
struct std::hash<baobab::StrongId<Tag, Rep>> {
  std::size_t operator()(const baobab::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

#endif  // SRC_LIBBASE_IDS_H_
