#ifndef SRC_LIBDECISION_KEY_REGISTRY_H_
#define SRC_LIBDECISION_KEY_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libdecision/effect.h"
#include "libdecision/node_config.h"
#include "libdecision/outcome.h"
#include "libdecision/peer_message.h"

namespace baobab {

/** Parsed idempotency key; its text is "{node}.{incarnation}.{number}". */
struct KeyName {
  NodeId node;
  Incarnation incarnation;
  std::uint64_t number = 0;

  bool operator==(const KeyName&) const = default;
};

std::string FormatKey(const KeyName& key);

/** Parses a key. Fails unless the text has the form that FormatKey() writes. */
Result<KeyName> ParseKey(std::string_view text);

/** State of a claim on an idempotency key. */
enum class ClaimState {
  /** The request may run; Report() must be called when it ends. */
  kGranted,
  /** The issuer was asked; OnReply() or TakeTimedOut() resolves the claim. */
  kPending,
  /** Another request holds the key. */
  kInProgress,
  /** An earlier request with this key has ended. */
  kFinished,
  /** The key has expired, was never issued, or its issuer is gone. */
  kUnresolved,
  /** The text is not a key. */
  kBadKey,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnresolved;
  /** Outcome of the earlier request, if finished. */
  Outcome outcome = Outcome::kUnknown;
  /** Stored answer of the earlier request, if finished and available; otherwise
   * its status is 0. */
  StoredAnswer answer;
};

/** Registry of the idempotency keys issued by this node, and of the claims of
 * its requests on keys of any node. A key is granted to one request; see
 * ReleaseKey() for the only case in which another request may get it later. */
class KeyRegistry {
 public:
  /** Time after the last issue, claim or outcome at which a key and its stored
   * answer expire. */
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /** Timeout for the issuer's reply to a claim. */
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  /** Maximum size of one stored answer (body and content type), and of all of
   * them together. */
  static constexpr Bytes kMaxAnswerSize{64 << 10};
  static constexpr Bytes kMaxTotalAnswerSize{8 << 20};
  /** Maximum number of retained keys, about 100 B each; allows 109 keys per
   * second. */
  static constexpr std::size_t kMaxKeys = 65536;
  /** Maximum number of times a key is released for another request; bounds the
   * memory for former holders. */
  static constexpr std::size_t kMaxReleases = 8;

  explicit KeyRegistry(const NodeConfig& config);

  /** Issues a new key. Fails if kMaxKeys keys are retained. */
  Result<std::string> Issue(Time now);

  /** Claims a key for a request of this node. */
  ClaimResult Claim(RequestId request,
                    const std::string& key,
                    Time now,
                    Effects& effects);

  /** Records, here or at the issuer, the outcome of a request that holds a
   * granted claim. Ignores other requests. */
  void Report(RequestId request,
              Outcome outcome,
              const StoredAnswer& answer,
              Time now,
              Effects& effects);

  /** Handles a peer's claim on a key of this node. */
  void OnClaim(const NodeId& from,
               Incarnation incarnation,
               const KeyClaim& claim,
               Time now,
               Effects& effects);

  /** Handles the issuer's reply to Claim(). Returns nothing if the reply
   * resolves no pending claim, such as after the timeout or for a duplicate. */
  std::optional<ClaimResult> OnReply(const NodeId& from,
                                     Incarnation incarnation,
                                     const KeyClaimReply& reply,
                                     Effects& effects);

  /** Handles the outcome of a peer's request that holds a key of this node. */
  void OnOutcome(const NodeId& from,
                 Incarnation incarnation,
                 const KeyOutcome& outcome,
                 Time now,
                 Effects& effects);

  /** Removes and returns the pending claims whose issuer did not reply in time.
   * A later reply does not grant them. */
  std::vector<RequestId> TakeTimedOut(Time now);

  /** Removes expired keys. */
  void Advance(Time now);

  /** Returns true from the grant of the request's claim until Report(). */
  bool Holds(RequestId request) const { return held_.contains(request); }

  /** Number of retained keys. */
  std::size_t keys() const { return keys_.size(); }
  /** Size of all stored answers. */
  Bytes answer_bytes() const { return answer_bytes_; }

 private:
  /** Unique identity of a request: a node never reuses a RequestId within an
   * incarnation, nor an incarnation. */
  struct Holder {
    NodeId node;
    Incarnation incarnation;
    RequestId request;

    bool operator==(const Holder&) const = default;
  };

  enum class Phase { kIssued, kClaimed, kFinished };

  /** State of a key that this process issued. */
  struct Key {
    Phase phase = Phase::kIssued;
    Time expires;
    Holder holder;
    /** Former holders, which released the key. */
    std::vector<Holder> released;
    Outcome outcome = Outcome::kUnknown;
    StoredAnswer answer;
  };

  struct PendingClaim {
    KeyName key;
    Time deadline;
  };

  using Keys = std::map<std::uint64_t, Key>;

  /** Decides a claim on a key of this node. */
  ClaimResult DecideClaim(const Holder& holder, const KeyName& name, Time now);
  /** Records the outcome of the holder of a key of this node. */
  void RecordOutcome(const Holder& holder,
                     const KeyName& name,
                     Outcome outcome,
                     const StoredAnswer& answer,
                     Time now,
                     Effects& effects);
  /** Makes a claimed key available again after its holder proved not to have
   * run. */
  static void ReleaseKey(Key& key);
  /** Stores the answer and drops the oldest ones beyond kMaxTotalAnswerSize. */
  void StoreAnswer(std::uint64_t number, Key& key, const StoredAnswer& answer);
  void DropAnswer(std::uint64_t number, Key& key);
  /** Restarts the retention of the key. */
  void ExtendExpiry(std::uint64_t number, Key& key, Time now);
  /** Returns the key if this process issued it and it has not expired. */
  Keys::iterator Find(const KeyName& name, Time now);

  NodeId node_;
  Incarnation incarnation_;
  std::set<NodeId> peers_;
  std::uint64_t last_number_ = 0;
  Keys keys_;
  /** Keys by time of expiry. */
  std::set<std::pair<Time, std::uint64_t>> expiry_;
  /** Keys with stored answers by time of expiry. */
  std::set<std::pair<Time, std::uint64_t>> answers_;
  Bytes answer_bytes_;
  /** Claims that wait for the issuer's reply. */
  std::map<RequestId, PendingClaim> pending_;
  /** Granted claims of this node's requests. */
  std::map<RequestId, KeyName> held_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_KEY_REGISTRY_H_
