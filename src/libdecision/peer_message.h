#ifndef SRC_LIBDECISION_PEER_MESSAGE_H_
#define SRC_LIBDECISION_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libbase/base.h"

namespace baobab {

/** Version of the protocol between nodes. Messages of other versions are
 * refused and counted. */
inline constexpr std::uint32_t kPeerProtocol = 1;

/** Kind of resource that is divided into units: slots of a minion, the
 * concurrency limit of a queue, or the quota of a team. */
enum class ResourceKind { kMinionSlots, kQueueLimit, kTeamQuota };

/** A resource with a fleet-wide limit of units. */
struct ResourceId {
  ResourceKind kind = ResourceKind::kMinionSlots;
  /** The MinionId, QueueId or TeamId, depending on the kind. */
  std::string name;

  auto operator<=>(const ResourceId&) const = default;
};

/** A number of units of a resource. */
struct ResourceUnits {
  ResourceId resource;
  Units units;

  bool operator==(const ResourceUnits&) const = default;
};

/** Load of a service at the sending node. */
struct ServiceLoad {
  ServiceId service;
  /** Free own slots beyond those that waiting requests need. */
  Units spare;
  /** Slots that waiting requests need beyond the free own ones. */
  Units wanted;

  bool operator==(const ServiceLoad&) const = default;
};

/** Periodic status report of a node. */
struct Heartbeat {
  DataCentreId data_centre;
  /** View that the sender uses. */
  ViewNumber view;
  /** Highest view for which the sender released all units that it lost; may be
   * lower than `view`. */
  ViewNumber released_view;
  /** Offset of the next record that the sender folds. */
  Offset next_offset;
  /** Table version that the sender uses. */
  TableVersion version;
  /** The sender is shutting down. */
  bool stopping = false;
  /** Nodes that the sender considers alive, out of the receiver and the nodes
   * in the sender's data centre. */
  std::vector<NodeId> hears;
  /** Sent within a data centre only. */
  std::vector<ServiceLoad> loads;
  /** Minions that the sender knows to be leaving. */
  std::vector<MinionId> leaving;

  bool operator==(const Heartbeat&) const = default;
};

/** Asks for a loan of units to start requests of one queue. */
struct BorrowRequest {
  BorrowId id;
  QueueId queue;
  /** Minion slots wanted. */
  Units slots;
  /** Units of the queue limit wanted. */
  Units limit_units;
  /** Units of the team quota wanted. */
  Units quota_units;
  /** Time left until the most urgent waiting request has to start. */
  Duration deadline_in{0};

  bool operator==(const BorrowRequest&) const = default;
};

/** Grants a loan of units for requests of one queue. */
struct LoanGrant {
  /** The BorrowRequest that this answers. */
  BorrowId borrow;
  LoanId loan;
  QueueId queue;
  std::vector<ResourceUnits> units;
  /** Requests have to start within this time. */
  Duration term{0};

  bool operator==(const LoanGrant&) const = default;
};

/** Returns units of a loan; the rest stays lent. `units` is the total returned
 * so far, so that duplicated, delayed or lost messages do not matter. */
struct LoanReturn {
  LoanId loan;
  std::vector<ResourceUnits> units;

  bool operator==(const LoanReturn&) const = default;
};

/** Asks the node that issued an idempotency key for permission to run the
 * request with this key. */
struct KeyClaim {
  /** Request of the claiming node. */
  RequestId request;
  /** Number of the key within the incarnation that issued it. */
  std::uint64_t key_number = 0;
  Incarnation issuer_incarnation;

  bool operator==(const KeyClaim&) const = default;
};

/** State of an idempotency key at its issuer. */
enum class KeyState { kGranted, kInProgress, kFinished, kUnknownKey };

/** Answer stored for callers that repeat a request with the same key. */
struct StoredAnswer {
  /** HTTP status; 0 if there is no stored answer. */
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

/** Answer to KeyClaim. */
struct KeyClaimReply {
  RequestId request;
  std::uint64_t key_number = 0;
  KeyState state = KeyState::kUnknownKey;
  /** Outcome that the first caller got, as an integer; set if `state` is
   * kFinished. */
  int outcome = 0;
  /** Stored answer, if any; its status is 0 otherwise. */
  StoredAnswer answer;

  bool operator==(const KeyClaimReply&) const = default;
};

/** Reports the result of the request of a claimed key to the issuer. */
struct KeyOutcome {
  std::uint64_t key_number = 0;
  Incarnation issuer_incarnation;
  /** Outcome as an integer. */
  int outcome = 0;
  StoredAnswer answer;
  /** Request of the claiming node; ignored if another request holds the claim.
   */
  RequestId request;

  bool operator==(const KeyOutcome&) const = default;
};

/** Reports that the health of a minion changed. */
struct MinionNotice {
  MinionId minion;
  bool leaving = false;
  bool healthy = true;

  bool operator==(const MinionNotice&) const = default;
};

/** Asks for the replicated state; sent by a node that starts while the log is
 * down. */
struct StateRequest {
  bool operator==(const StateRequest&) const = default;
};

/** Answer to StateRequest. */
struct StateReply {
  /** The state holds the effect of all records below this offset. */
  Offset covers;
  /** Result of EncodeFold(). */
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

/** A message between nodes with its sender. */
struct PeerEnvelope {
  std::uint32_t protocol = kPeerProtocol;
  NodeId from;
  Incarnation incarnation;
  /** Lamport clock that orders timeline entries of different nodes. */
  std::uint64_t clock = 0;
  PeerMessage message;

  bool operator==(const PeerEnvelope&) const = default;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_PEER_MESSAGE_H_
