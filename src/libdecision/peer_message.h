#ifndef SRC_LIBDECISION_PEER_MESSAGE_H_
#define SRC_LIBDECISION_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace baobab {

/** Version of the messages between nodes; others are refused and counted. */
inline constexpr std::uint32_t kPeerProtocol = 1;

enum class ResourceKind { kMinionSlots, kQueueLimit, kTeamQuota };

/** Something with a fleet-wide limit of units: a minion, queue or team. */
struct ResourceId {
  ResourceKind kind = ResourceKind::kMinionSlots;
  /** MinionId, QueueId or TeamId by kind. */
  std::string name;

  auto operator<=>(const ResourceId&) const = default;
};

struct ResourceUnits {
  ResourceId resource;
  Units units;

  bool operator==(const ResourceUnits&) const = default;
};

/** Spare and wanted slots of a service at the sending node. */
struct ServiceLoad {
  ServiceId service;
  Units spare;
  Units wanted;

  bool operator==(const ServiceLoad&) const = default;
};

struct Heartbeat {
  DataCentreId data_centre;
  /** View in use at the sender. */
  ViewNumber view;
  /** Highest view of which the sender has released all units that it lost. It
   * may be lower than `view`. */
  ViewNumber released_view;
  Offset next_offset;
  TableVersion version;
  bool stopping = false;
  /** Of the nodes in the sender's data centre and the receiver, those whose
   * heartbeats the sender heard lately. */
  std::vector<NodeId> hears;
  std::vector<ServiceLoad> loads;
  std::vector<MinionId> leaving;

  bool operator==(const Heartbeat&) const = default;
};

/** Asks for units to start requests of one queue. */
struct BorrowRequest {
  BorrowId id;
  QueueId queue;
  Units slots;
  Units limit_units;
  Units quota_units;
  /** Time left until the most urgent waiting request must have started. */
  Duration deadline_in{0};

  bool operator==(const BorrowRequest&) const = default;
};

/** Lends units for requests of one queue that start within the term. */
struct LoanGrant {
  BorrowId borrow;
  LoanId loan;
  QueueId queue;
  std::vector<ResourceUnits> units;
  Duration term{0};

  bool operator==(const LoanGrant&) const = default;
};

/** Gives units of a loan back; the rest of the loan stays out. `units` are all
 * units of the loan given back so far, so that a repeated, late or lost message
 * does no harm. */
struct LoanReturn {
  LoanId loan;
  std::vector<ResourceUnits> units;

  bool operator==(const LoanReturn&) const = default;
};

/** Asks the issuer of an idempotency key for the right to run its request. */
struct KeyClaim {
  /** The claiming node's request. */
  RequestId request;
  std::uint64_t key_number = 0;
  Incarnation issuer_incarnation;

  bool operator==(const KeyClaim&) const = default;
};

enum class KeyState { kGranted, kInProgress, kFinished, kUnknownKey };

/** An answer kept for callers that repeat a request with the same key. */
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

struct KeyClaimReply {
  RequestId request;
  std::uint64_t key_number = 0;
  KeyState state = KeyState::kUnknownKey;
  /** Set if state is kFinished: what the first caller was told. */
  int outcome = 0;
  /** Set if an answer is kept; status 0 otherwise. */
  StoredAnswer answer;

  bool operator==(const KeyClaimReply&) const = default;
};

/** Tells the issuer how the request of a claimed key ended. */
struct KeyOutcome {
  std::uint64_t key_number = 0;
  Incarnation issuer_incarnation;
  int outcome = 0;
  StoredAnswer answer;
  /** The claiming node's request; a report counts only for its own claim. */
  RequestId request;

  bool operator==(const KeyOutcome&) const = default;
};

/** Tells that a minion leaves or is out, or is back. */
struct MinionNotice {
  MinionId minion;
  bool leaving = false;
  bool healthy = true;

  bool operator==(const MinionNotice&) const = default;
};

/** Asks for the folded log by a node that starts while the log is down. */
struct StateRequest {
  bool operator==(const StateRequest&) const = default;
};

struct StateReply {
  /** The text holds the fold of all records below this offset. */
  Offset covers;
  std::string text;

  bool operator==(const StateReply&) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 BorrowRequest,
                                 LoanGrant,
                                 LoanReturn,
                                 KeyClaim,
                                 KeyClaimReply,
                                 KeyOutcome,
                                 MinionNotice,
                                 StateRequest,
                                 StateReply>;

/** What travels between nodes. */
struct PeerEnvelope {
  std::uint32_t protocol = kPeerProtocol;
  NodeId from;
  Incarnation incarnation;
  /** Lamport clock of the time line. */
  std::uint64_t clock = 0;
  PeerMessage message;

  bool operator==(const PeerEnvelope&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_PEER_MESSAGE_H_
