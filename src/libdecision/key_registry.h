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

/** An idempotency key in parts; its text is "{node}.{incarnation}.{n}". */
struct KeyName {
  NodeId node;
  Incarnation incarnation;
  std::uint64_t number = 0;

  bool operator==(const KeyName&) const = default;
};

std::string FormatKey(const KeyName& key);

/** Errors: not of the form that FormatKey() writes. */
Result<KeyName> ParseKey(std::string_view text);

enum class ClaimState {
  /** The request may run; Report() must be called when it ends. */
  kGranted,
  /** The issuer was asked; OnReply() or TakeTimedOut() settles the claim. */
  kPending,
  kInProgress,
  /** A request of this key ended before. */
  kFinished,
  /** The key expired, was never issued, or its issuer is gone. */
  kUnresolved,
  kBadKey,
};

struct ClaimResult {
  ClaimState state = ClaimState::kUnresolved;
  /** Set if finished: what the first caller was told. */
  Outcome outcome = Outcome::kUnknown;
  /** Set if finished and an answer is kept; status 0 otherwise. */
  StoredAnswer answer;
};

/** The idempotency keys this node issued, and the claims of its requests on
 * keys of this and other nodes. A key is granted to one request; see Release()
 * for the only case in which another request may get it afterwards. */
class KeyRegistry {
 public:
  /** Age since the last change (issue, claim or outcome) at which a key and
   * its kept answer expire. */
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /** Longest wait for the issuer's reply to a claim. */
  static constexpr Duration kClaimTimeout = std::chrono::seconds(2);
  /** Largest body that is kept, and largest sum of all kept answers. */
  static constexpr Bytes kLargestAnswer{64 << 10};
  static constexpr Bytes kAllAnswers{8 << 20};
  /** Most keys at a time, about 100 B each; allows 109 keys per second. */
  static constexpr std::size_t kMostKeys = 65536;
  /** A key is granted anew after a proof of not run only this many times; it
   * bounds the memory for former holders. */
  static constexpr std::size_t kMostReleases = 8;

  explicit KeyRegistry(const NodeConfig& config);

  /** Errors: kMostKeys keys are retained already. */
  Result<std::string> Issue(Time now);

  /** Claims a key for a request of this node. */
  ClaimResult Claim(RequestId request,
                    const std::string& key,
                    Time now,
                    Effects& effects);

  /** Records how a request that holds a granted claim ended, here or at the
   * issuer. Ignores a request that holds none. */
  void Report(RequestId request,
              Outcome outcome,
              const StoredAnswer& answer,
              Time now,
              Effects& effects);

  /** A peer claims a key of this node. */
  void OnClaim(const NodeId& from,
               Incarnation incarnation,
               const KeyClaim& claim,
               Time now,
               Effects& effects);

  /** The issuer's reply to Claim(); nothing if it settles no pending claim, as
   * after the timeout or for a duplicate. */
  std::optional<ClaimResult> OnReply(const NodeId& from,
                                     Incarnation incarnation,
                                     const KeyClaimReply& reply,
                                     Effects& effects);

  /** A peer's request that holds a key of this node ended. */
  void OnOutcome(const NodeId& from,
                 Incarnation incarnation,
                 const KeyOutcome& outcome,
                 Time now,
                 Effects& effects);

  /** Removes the pending claims whose issuer did not reply in time. They are
   * never granted, even if the reply arrives later. */
  std::vector<RequestId> TakeTimedOut(Time now);

  /** Forgets expired keys. */
  void Advance(Time now);

  /** True from the grant of the request's claim until Report(). */
  bool Holds(RequestId request) const { return held_.contains(request); }

  std::size_t keys() const { return keys_.size(); }
  Bytes answer_bytes() const { return answer_bytes_; }

 private:
  /** Names one request for all time: a node never reuses a RequestId within an
   * incarnation, nor an incarnation. */
  struct Holder {
    NodeId node;
    Incarnation incarnation;
    RequestId request;

    bool operator==(const Holder&) const = default;
  };

  enum class Phase { kIssued, kClaimed, kFinished };

  struct Key {
    Phase phase = Phase::kIssued;
    Time expires;
    Holder holder;
    std::vector<Holder> released;
    Outcome outcome = Outcome::kUnknown;
    StoredAnswer answer;
  };

  struct PendingClaim {
    KeyName key;
    Time deadline;
  };

  using Keys = std::map<std::uint64_t, Key>;

  ClaimResult Grant(const Holder& holder, const KeyName& name, Time now);
  void Settle(const Holder& holder,
              const KeyName& name,
              Outcome outcome,
              const StoredAnswer& answer,
              Time now,
              Effects& effects);
  static void Release(Key& key);
  /** Keeps the answer and drops the oldest ones beyond kAllAnswers. */
  void Keep(std::uint64_t number, Key& key, const StoredAnswer& answer);
  void DropAnswer(std::uint64_t number, Key& key);
  void Extend(std::uint64_t number, Key& key, Time now);
  /** The key if it was issued by this process and has not expired. */
  Keys::iterator Find(const KeyName& name, Time now);

  NodeId node_;
  Incarnation incarnation_;
  std::set<NodeId> peers_;
  std::uint64_t last_number_ = 0;
  Keys keys_;
  /** Order in which keys expire. */
  std::set<std::pair<Time, std::uint64_t>> expiry_;
  /** Keys with kept answers, oldest first. */
  std::set<std::pair<Time, std::uint64_t>> answers_;
  Bytes answer_bytes_;
  std::map<RequestId, PendingClaim> pending_;
  std::map<RequestId, KeyName> held_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_KEY_REGISTRY_H_
