#include "libdecision/log_reading.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>

namespace baobab {

void LogReading::OnRead(const LogRead& read,
                        LogFold& fold,
                        const OnFolded& on_folded) {
  fold.HearLog(read.first, read.next);
  if (next_ < read.first) {
    // Retention dropped the records in between; LogFold waits for a snapshot.
    next_ = read.first;
  }
  for (const LogEntry& it : read.entries) {
    if (it.offset != next_) {
      continue;
    }
    next_ = Offset(it.offset.value() + 1);
    on_folded(it, fold.Apply(it));
  }
  Follow(fold);
}

void LogReading::Tick(Time now, const LogFold& fold, Effects& effects) {
  const bool stuck = !fold.caught_up() || fold.waits_for_snapshot();
  if (!stuck || config_.peers.empty()) {
    return;
  }
  if (!started_) {
    // The log itself gets the first chance.
    started_ = true;
    ask_at_ = now + kAskPeer;
  }
  if (now < ask_at_) {
    return;
  }
  ask_at_ = now + kAskPeer;
  const PeerConfig& peer = config_.peers[next_peer_ % config_.peers.size()];
  ++next_peer_;
  effects.push_back(SendPeer{peer.id, StateRequest{}});
}

void LogReading::OnReply(const NodeId& from,
                         const StateReply& reply,
                         LogFold& fold,
                         Effects& effects) {
  const Result<void> adopted = fold.Adopt(reply.covers, reply.text);
  Follow(fold);
  Explain explain;
  explain.entry.subject = "log/" + std::to_string(reply.covers.value());
  explain.entry.cause = "node/" + from.value();
  if (adopted) {
    explain.entry.kind = "state-adopted";
    explain.entry.detail =
        fmt::format("peer's state of {} bytes", reply.text.size());
  } else {
    explain.entry.kind = "state-refused";
    explain.entry.detail = ToString(adopted.error());
  }
  effects.push_back(explain);
}

void LogReading::Follow(const LogFold& fold) {
  if (!fold.waits_for_snapshot()) {
    next_ = fold.next_offset();
  } else {
    next_ = std::max(next_, fold.next_offset());
  }
}

}  // namespace baobab
