#include "libnet/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace baobab {
namespace {

// Limits the memory that one connection can use before its head is parsed.
constexpr std::size_t kMaxHeadBytes = 64 << 10;

}  // namespace

void SocketStream::StartHeadCapture() {
  head_.clear();
  capturing_head_ = true;
}

std::string SocketStream::TakeHead() {
  capturing_head_ = false;
  return std::move(head_);
}

bool SocketStream::is_readable() const {
  return has_unread() || WaitSocket(fd_, POLLIN, deadline_);
}

bool SocketStream::is_writable() const {
  return WaitSocket(fd_, POLLOUT, deadline_);
}

ssize_t SocketStream::FillBuffer() {
  while (true) {
    const ssize_t n = ::recv(fd_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    if (n > 0) {
      position_ = 0;
      filled_ = static_cast<std::size_t>(n);
      bytes_received_ += filled_;
      return n;
    }
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
      return n;
    }
    if (!WaitSocket(fd_, POLLIN, deadline_)) {
      timed_out_ = true;
      return -1;
    }
  }
}

ssize_t SocketStream::read(char* ptr, std::size_t size) {
  // Checked even if bytes are buffered, so that a peer that sends in small
  // steps cannot pass the deadline.
  if (SocketClock::now() >= deadline_) {
    timed_out_ = true;
    read_failed_ = true;
    return -1;
  }
  if (!has_unread()) {
    if (const ssize_t n = FillBuffer(); n <= 0) {
      read_failed_ = true;
      return n;
    }
  }
  const std::size_t n = std::min(size, filled_ - position_);
  std::memcpy(ptr, buffer_.data() + position_, n);
  position_ += n;
  if (capturing_head_) {
    if (head_.size() + n > kMaxHeadBytes) {
      read_failed_ = true;
      return -1;
    }
    head_.append(ptr, n);
  }
  const std::size_t copied = std::min(n, tail_.size());
  std::move(tail_.begin() + static_cast<std::ptrdiff_t>(copied), tail_.end(),
            tail_.begin());
  std::copy_n(ptr + n - copied, copied,
              tail_.end() - static_cast<std::ptrdiff_t>(copied));
  return static_cast<ssize_t>(n);
}

ssize_t SocketStream::write(const char* ptr, std::size_t size) {
  while (true) {
    const ssize_t n = ::send(fd_, ptr, size, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n >= 0) {
      bytes_sent_ += static_cast<std::size_t>(n);
      return n;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      return -1;
    }
    if (!WaitSocket(fd_, POLLOUT, deadline_)) {
      timed_out_ = true;
      return -1;
    }
  }
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = BoundPort(fd_);
}

}  // namespace baobab
