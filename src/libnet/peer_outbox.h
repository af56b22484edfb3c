#ifndef SRC_LIBNET_PEER_OUTBOX_H_
#define SRC_LIBNET_PEER_OUTBOX_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>

#include "libnet/sockets.h"

namespace baobab {

/** Bounded queue of length-prefixed messages for one peer. Thread-safe. If a
 * new message does not fit, the oldest heartbeats are dropped, since later ones
 * supersede them, and if that is not enough, the new message itself. An empty
 * queue accepts a message of any size. */
class PeerOutbox {
 public:
  explicit PeerOutbox(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** Adds a message and returns the number of messages dropped, possibly
   * including this one. */
  std::size_t Push(std::string_view message, bool is_heartbeat);
  /** Moves up to `n` bytes from the queue to `buf` and returns their number. */
  std::size_t Take(std::uint8_t* buf, std::size_t n);
  /** Drops messages queued before `time`, and one that was partly taken.
   * Returns their number. */
  std::size_t DropBefore(SocketTime time);
  bool empty() const;

 private:
  struct Message {
    std::string bytes;
    bool is_heartbeat = false;
    SocketTime queued_at;
  };

  /** Drops the oldest heartbeat; returns false if there is none. */
  bool DropHeartbeat();

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::deque<Message> messages_;
  std::size_t bytes_ = 0;
  /** Bytes of the first message already returned by Take(). */
  std::size_t front_taken_ = 0;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_OUTBOX_H_
