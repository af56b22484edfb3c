#include "libnet/peer_outbox.h"

#include <algorithm>

namespace baobab {

std::size_t PeerOutbox::Push(std::string_view message, bool is_heartbeat) {
  const auto length = static_cast<std::uint32_t>(message.size());
  std::string bytes;
  bytes.reserve(4 + message.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(length >> shift & 0xff));
  }
  bytes.append(message);

  const std::lock_guard lock(mutex_);
  std::size_t dropped = 0;
  while (!messages_.empty() && bytes_ + bytes.size() > max_bytes_) {
    ++dropped;
    if (!DropHeartbeat()) {
      return dropped;
    }
  }
  bytes_ += bytes.size();
  messages_.push_back({std::move(bytes), is_heartbeat, SocketClock::now()});
  return dropped;
}

bool PeerOutbox::DropHeartbeat() {
  // The first message must not be dropped once a part of it was taken.
  const auto it = std::find_if(messages_.begin() + (front_taken_ > 0 ? 1 : 0),
                               messages_.end(),
                               [](const Message& m) { return m.is_heartbeat; });
  if (it == messages_.end()) {
    return false;
  }
  bytes_ -= it->bytes.size();
  messages_.erase(it);
  return true;
}

std::size_t PeerOutbox::Take(std::uint8_t* buf, std::size_t n) {
  const std::lock_guard lock(mutex_);
  std::size_t filled = 0;
  while (filled < n && !messages_.empty()) {
    const std::string& bytes = messages_.front().bytes;
    const std::size_t part = std::min(n - filled, bytes.size() - front_taken_);
    std::copy_n(bytes.data() + front_taken_, part, buf + filled);
    filled += part;
    front_taken_ += part;
    if (front_taken_ == bytes.size()) {
      bytes_ -= bytes.size();
      messages_.pop_front();
      front_taken_ = 0;
    }
  }
  return filled;
}

std::size_t PeerOutbox::DropBefore(SocketTime time) {
  const std::lock_guard lock(mutex_);
  std::size_t dropped = 0;
  while (!messages_.empty() &&
         (front_taken_ > 0 || messages_.front().queued_at < time)) {
    bytes_ -= messages_.front().bytes.size();
    messages_.pop_front();
    front_taken_ = 0;
    ++dropped;
  }
  return dropped;
}

bool PeerOutbox::empty() const {
  const std::lock_guard lock(mutex_);
  return messages_.empty();
}

}  // namespace baobab
