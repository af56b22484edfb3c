#ifndef SRC_LIBNET_PEER_OUTBOX_H_
#define SRC_LIBNET_PEER_OUTBOX_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

#include "libnet/sockets.h"

namespace baobab {

/** Messages that wait for one peer, as bytes with length prefix. Thread-safe.
 * When a message exceeds the bound, the oldest heartbeats are dropped, since a
 * later one replaces them, and if that does not help, the new message itself.
 * A message is always taken if no other waits. */
class PeerOutbox {
 public:
  explicit PeerOutbox(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** Returns how many messages were dropped, including this one. */
  std::size_t Push(std::string_view message, bool is_heartbeat);
  /** Copies the next bytes to `buf` and returns their number. */
  std::size_t Take(std::uint8_t* buf, std::size_t n);
  /** Drops messages that wait since before `time`, and any that is partly
   * taken; returns their number. */
  std::size_t DropBefore(SocketTime time);
  bool empty() const;

 private:
  struct Message {
    std::string bytes;
    bool is_heartbeat = false;
    SocketTime queued_at;
  };

  bool DropHeartbeat();

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::deque<Message> messages_;
  std::size_t bytes_ = 0;
  /** Bytes of the first message that Take() has copied. */
  std::size_t front_taken_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_OUTBOX_H_
