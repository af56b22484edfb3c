#include "libdecision/state_fetch.h"

#include <string>

#include "libdecision/fold_codec.h"

namespace baobab {
namespace {

using std::chrono::seconds;

// Sufficient since peers answer the first heartbeat of a new process at once.
constexpr Duration kMinListenTime = seconds(3);
constexpr Duration kRequestInterval = seconds(2);

}  // namespace

bool StateFetch::HeardMajority(Time now, const Membership& membership) {
  std::size_t with_state = 0;
  for (const auto& [id, peer] : membership.peers()) {
    with_state +=
        membership.IsAlive(id, now) && peer.last.next_offset.value() > 0 ? 1
                                                                         : 0;
  }
  return with_state > 0 && 2 * with_state > membership.config().peers.size();
}

void StateFetch::Tick(Time now,
                      const LogFold& fold,
                      const Membership& membership,
                      Effects& effects) {
  if (fold.caught_up() || !log_failed_ || now - started_at_ < kMinListenTime ||
      now < next_request_at_ || !HeardMajority(now, membership)) {
    return;
  }
  const NodeId* best = nullptr;
  Offset highest;
  for (const auto& [id, peer] : membership.peers()) {
    if (membership.IsAlive(id, now) && peer.last.next_offset > highest) {
      best = &id;
      highest = peer.last.next_offset;
    }
  }
  next_request_at_ = now + kRequestInterval;
  effects.push_back(SendPeer{*best, StateRequest{}});
  effects.push_back(
      WriteTimelineEntry{{"state-requested", "node/" + best->value(), "",
                          "the log cannot be read; highest offset heard is " +
                              std::to_string(highest.value())}});
}

void StateFetch::OnRequest(const NodeId& from,
                           const LogFold& fold,
                           Effects& effects) {
  if (fold.caught_up()) {
    effects.push_back(SendPeer{
        from, StateReply{fold.next_offset(), EncodeFold(fold.state())}});
  }
}

void StateFetch::OnReply(const NodeId& from,
                         const StateReply& reply,
                         Time now,
                         const Membership& membership,
                         LogFold& fold,
                         Effects& effects) const {
  if (fold.caught_up() || now - started_at_ < kMinListenTime ||
      !HeardMajority(now, membership)) {
    return;
  }
  const auto adopted = fold.Adopt(reply.covers, reply.text);
  effects.push_back(WriteTimelineEntry{
      {adopted ? "state-adopted" : "state-refused", "node/" + from.value(), "",
       adopted
           ? "covers offsets below " + std::to_string(reply.covers.value()) +
                 ", no peer reported a higher one"
           : ToString(adopted.error())}});
}

}  // namespace baobab
