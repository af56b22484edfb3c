#ifndef SRC_LIBBASE_IDS_H_
#define SRC_LIBBASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace baobab {

/** An identifier which cannot be confused with one of another kind. */
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

using NodeId = StrongId<struct NodeTag, std::string>;
using HostId = StrongId<struct HostTag, std::string>;
using RackId = StrongId<struct RackTag, std::string>;
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
using MinionId = StrongId<struct MinionTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using PoolId = StrongId<struct PoolTag, std::string>;
using QueueId = StrongId<struct QueueTag, std::string>;
using TeamId = StrongId<struct TeamTag, std::string>;

/** Chosen by the operators' command, so that a resent edit is applied once. */
using EditId = StrongId<struct EditTag, std::string>;

/** Distinguishes successive processes with the same NodeId. A later process
 * has a higher incarnation: the wall clock at its start, in microseconds. */
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/** Position of a record in the platform's log. */
using Offset = StrongId<struct OffsetTag, std::uint64_t>;

/** Orders planner leases; a higher term fences all lower ones. */
using Term = StrongId<struct TermTag, std::uint64_t>;

using ViewNumber = StrongId<struct ViewTag, std::uint64_t>;

/** Number of table edits accepted so far. */
using TableVersion = StrongId<struct TableVersionTag, std::uint64_t>;

/** Numbers the records of one writer; a resent record keeps its number. */
using RecordSequence = StrongId<struct RecordSequenceTag, std::uint64_t>;

/** A request accepted by this process. */
using RequestId = StrongId<struct RequestTag, std::uint64_t>;

/** A command of an operator that waits for its reply. */
using CommandId = StrongId<struct CommandTag, std::uint64_t>;

/** A borrow request, unique within the borrowing process. */
using BorrowId = StrongId<struct BorrowTag, std::uint64_t>;

/** A loan, unique within the lending process. */
using LoanId = StrongId<struct LoanTag, std::uint64_t>;

}  // namespace baobab

template <typename Tag, typename Rep>
struct std::hash<baobab::StrongId<Tag, Rep>> {
  std::size_t operator()(const baobab::StrongId<Tag, Rep>& id) const {
    return std::hash<Rep>()(id.value());
  }
};

#endif  // SRC_LIBBASE_IDS_H_
