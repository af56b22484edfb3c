#include "libdecision/key_registry.h"

#include <charconv>

namespace baobab {
namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || end != text.data() + text.size() ||
      std::to_string(number) != text) {
    return std::nullopt;
  }
  return number;
}

/** Converts a number from a peer; a value added by a later release counts as
 * unknown. */
Outcome ToOutcome(int number) {
  switch (number) {
    case static_cast<int>(Outcome::kDone):
      return Outcome::kDone;
    case static_cast<int>(Outcome::kNotRun):
      return Outcome::kNotRun;
    default:
      return Outcome::kUnknown;
  }
}

Bytes SizeOf(const StoredAnswer& answer) {
  return Bytes(static_cast<std::int64_t>(answer.body.size() +
                                         answer.content_type.size()));
}

bool CanStoreAnswer(const StoredAnswer& answer) {
  return answer.status != 0 && SizeOf(answer) <= KeyRegistry::kMaxAnswerSize;
}

KeyState ToKeyState(ClaimState state) {
  switch (state) {
    case ClaimState::kGranted:
      return KeyState::kGranted;
    case ClaimState::kInProgress:
      return KeyState::kInProgress;
    case ClaimState::kFinished:
      return KeyState::kFinished;
    default:
      return KeyState::kUnknownKey;
  }
}

ClaimState ToClaimState(KeyState state) {
  switch (state) {
    case KeyState::kGranted:
      return ClaimState::kGranted;
    case KeyState::kInProgress:
      return ClaimState::kInProgress;
    case KeyState::kFinished:
      return ClaimState::kFinished;
    case KeyState::kUnknownKey:
      break;
  }
  return ClaimState::kUnresolved;
}

void AddTimelineEntry(Effects& effects,
                      std::string kind,
                      const KeyName& key,
                      RequestId request,
                      std::string detail) {
  effects.push_back(WriteTimelineEntry{
      {std::move(kind), "key/" + FormatKey(key),
       "request/" + std::to_string(request.value()), std::move(detail)}});
}

}  // namespace

std::string FormatKey(const KeyName& key) {
  return key.node.value() + "." + std::to_string(key.incarnation.value()) +
         "." + std::to_string(key.number);
}

Result<KeyName> ParseKey(std::string_view text) {
  // Parsed from the end, since a node id may contain dots.
  const std::size_t second = text.rfind('.');
  const std::size_t first = second == std::string_view::npos || second == 0
                                ? std::string_view::npos
                                : text.rfind('.', second - 1);
  if (first != std::string_view::npos && first > 0) {
    const auto incarnation =
        ParseNumber(text.substr(first + 1, second - first - 1));
    const auto number = ParseNumber(text.substr(second + 1));
    if (incarnation && number) {
      return KeyName{NodeId(std::string(text.substr(0, first))),
                     Incarnation(*incarnation), *number};
    }
  }
  return tl::make_unexpected(
      Error{"parse idempotency key", "", "not of the form node.number.number"});
}

KeyRegistry::KeyRegistry(const NodeConfig& config)
    : node_(config.id), incarnation_(config.incarnation) {
  for (const PeerConfig& it : config.peers) {
    peers_.insert(it.id);
  }
}

Result<std::string> KeyRegistry::Issue(Time now) {
  Advance(now);
  if (keys_.size() >= kMaxKeys) {
    return tl::make_unexpected(Error{"issue idempotency key", "",
                                     "the limit of " +
                                         std::to_string(kMaxKeys) +
                                         " retained keys is reached"});
  }
  const std::uint64_t number = ++last_number_;
  ExtendExpiry(number, keys_[number], now);
  return FormatKey({node_, incarnation_, number});
}

ClaimResult KeyRegistry::Claim(RequestId request,
                               const std::string& key,
                               Time now,
                               Effects& effects) {
  const Result<KeyName> name = ParseKey(key);
  if (!name) {
    return {ClaimState::kBadKey, Outcome::kNotRun, {}};
  }
  if (name->node == node_) {
    ClaimResult result =
        DecideClaim({node_, incarnation_, request}, *name, now);
    if (result.state == ClaimState::kGranted) {
      held_.emplace(request, *name);
    }
    return result;
  }
  if (!peers_.contains(name->node)) {
    return {ClaimState::kUnresolved, Outcome::kUnknown, {}};
  }
  pending_.insert_or_assign(request, PendingClaim{*name, now + kClaimTimeout});
  effects.push_back(
      SendPeer{name->node, KeyClaim{request, name->number, name->incarnation}});
  return {ClaimState::kPending, Outcome::kUnknown, {}};
}

void KeyRegistry::Report(RequestId request,
                         Outcome outcome,
                         const StoredAnswer& answer,
                         Time now,
                         Effects& effects) {
  const auto it = held_.find(request);
  if (it == held_.end()) {
    return;
  }
  const KeyName name = it->second;
  held_.erase(it);
  if (name.node == node_) {
    RecordOutcome({node_, incarnation_, request}, name, outcome, answer, now,
                  effects);
    return;
  }
  effects.push_back(SendPeer{
      name.node,
      KeyOutcome{name.number, name.incarnation, static_cast<int>(outcome),
                 CanStoreAnswer(answer) ? answer : StoredAnswer{}, request}});
}

void KeyRegistry::OnClaim(const NodeId& from,
                          Incarnation incarnation,
                          const KeyClaim& claim,
                          Time now,
                          Effects& effects) {
  const ClaimResult result =
      DecideClaim({from, incarnation, claim.request},
                  {node_, claim.issuer_incarnation, claim.key_number}, now);
  effects.push_back(SendPeer{
      from,
      KeyClaimReply{claim.request, claim.key_number, ToKeyState(result.state),
                    static_cast<int>(result.outcome), result.answer}});
}

std::optional<ClaimResult> KeyRegistry::OnReply(const NodeId& from,
                                                Incarnation incarnation,
                                                const KeyClaimReply& reply,
                                                Effects& effects) {
  const auto it = pending_.find(reply.request);
  if (it == pending_.end()) {
    if (reply.state == KeyState::kGranted && !Holds(reply.request)) {
      // The request was answered as unknown and must not run. The key stays
      // claimed until it expires.
      AddTimelineEntry(effects, "key-grant-late",
                       {from, incarnation, reply.key_number}, reply.request,
                       "no claim awaits this grant; it is not used");
    }
    return std::nullopt;
  }
  const KeyName name = it->second.key;
  // A later incarnation of the issuer can only reply that it does not know the
  // key.
  const bool from_issuer =
      from == name.node && reply.key_number == name.number &&
      (incarnation == name.incarnation || reply.state == KeyState::kUnknownKey);
  if (!from_issuer) {
    return std::nullopt;
  }
  pending_.erase(it);
  if (reply.state == KeyState::kGranted) {
    held_.emplace(reply.request, name);
  }
  return ClaimResult{ToClaimState(reply.state), ToOutcome(reply.outcome),
                     reply.answer};
}

void KeyRegistry::OnOutcome(const NodeId& from,
                            Incarnation incarnation,
                            const KeyOutcome& outcome,
                            Time now,
                            Effects& effects) {
  RecordOutcome({from, incarnation, outcome.request},
                {node_, outcome.issuer_incarnation, outcome.key_number},
                ToOutcome(outcome.outcome), outcome.answer, now, effects);
}

std::vector<RequestId> KeyRegistry::TakeTimedOut(Time now) {
  std::vector<RequestId> ids;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.deadline <= now) {
      ids.push_back(it->first);
      it = pending_.erase(it);
    } else {
      ++it;
    }
  }
  return ids;
}

void KeyRegistry::Advance(Time now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    const auto it = keys_.find(expiry_.begin()->second);
    DropAnswer(it->first, it->second);
    keys_.erase(it);
    expiry_.erase(expiry_.begin());
  }
}

ClaimResult KeyRegistry::DecideClaim(const Holder& holder,
                                     const KeyName& name,
                                     Time now) {
  const auto it = Find(name, now);
  if (it == keys_.end()) {
    return {ClaimState::kUnresolved, Outcome::kUnknown, {}};
  }
  Key& key = it->second;
  switch (key.phase) {
    case Phase::kIssued:
      for (const Holder& former : key.released) {
        if (former == holder) {
          // Duplicate of a claim whose request has ended.
          return {ClaimState::kInProgress, Outcome::kUnknown, {}};
        }
      }
      key.phase = Phase::kClaimed;
      key.holder = holder;
      ExtendExpiry(it->first, key, now);
      return {ClaimState::kGranted, Outcome::kUnknown, {}};
    case Phase::kClaimed:
      // A duplicate of the claim gets the same grant; its sender uses only the
      // first reply.
      return {
          key.holder == holder ? ClaimState::kGranted : ClaimState::kInProgress,
          Outcome::kUnknown,
          {}};
    case Phase::kFinished:
      break;
  }
  return {ClaimState::kFinished, key.outcome, key.answer};
}

void KeyRegistry::RecordOutcome(const Holder& holder,
                                const KeyName& name,
                                Outcome outcome,
                                const StoredAnswer& answer,
                                Time now,
                                Effects& effects) {
  const auto it = Find(name, now);
  if (it == keys_.end()) {
    return;
  }
  Key& key = it->second;
  if (key.phase != Phase::kClaimed || key.holder != holder) {
    return;
  }
  ExtendExpiry(it->first, key, now);
  if (outcome == Outcome::kNotRun && key.released.size() < kMaxReleases) {
    ReleaseKey(key);
    AddTimelineEntry(effects, "key-released", name, holder.request,
                     "proof of not run by node " + holder.node.value());
    return;
  }
  key.phase = Phase::kFinished;
  key.outcome = outcome;
  if (CanStoreAnswer(answer)) {
    StoreAnswer(it->first, key, answer);
  }
}

// Without this, a caller whose keyed request was refused as not run could never
// use the key again. Releasing is safe for three reasons. Only the holder
// itself reports that it was not run, as its final outcome, after which it
// starts no attempt. The report names the holder by node, incarnation and
// request, so a delayed or duplicated one cannot release the claim of a later
// holder. Former holders are recorded, so a duplicate of an old claim does not
// claim the key again.
void KeyRegistry::ReleaseKey(Key& key) {
  key.released.push_back(key.holder);
  key.holder = {};
  key.phase = Phase::kIssued;
}

void KeyRegistry::StoreAnswer(std::uint64_t number,
                              Key& key,
                              const StoredAnswer& answer) {
  key.answer = answer;
  answers_.emplace(key.expires, number);
  answer_bytes_ += SizeOf(answer);
  while (answer_bytes_ > kMaxTotalAnswerSize) {
    const std::uint64_t oldest = answers_.begin()->second;
    DropAnswer(oldest, keys_.at(oldest));
  }
}

void KeyRegistry::DropAnswer(std::uint64_t number, Key& key) {
  if (answers_.erase({key.expires, number}) > 0) {
    answer_bytes_ -= SizeOf(key.answer);
    key.answer = {};
  }
}

void KeyRegistry::ExtendExpiry(std::uint64_t number, Key& key, Time now) {
  expiry_.erase({key.expires, number});
  key.expires = now + kRetention;
  expiry_.emplace(key.expires, number);
}

KeyRegistry::Keys::iterator KeyRegistry::Find(const KeyName& name, Time now) {
  if (name.node != node_ || name.incarnation != incarnation_) {
    return keys_.end();
  }
  const auto it = keys_.find(name.number);
  return it != keys_.end() && it->second.expires > now ? it : keys_.end();
}

}  // namespace baobab
