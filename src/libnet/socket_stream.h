#ifndef SRC_LIBNET_SOCKET_STREAM_H_
#define SRC_LIBNET_SOCKET_STREAM_H_

#include <array>
#include <string>

#include <httplib.h>

#include "libnet/sockets.h"

namespace baobab {

/** cpp-httplib stream on a socket, with one deadline for all reads and writes.
 * cpp-httplib's own timeouts restart with each byte, so a peer that trickles
 * data could extend them. Captures the raw head for ParseHead(). */
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int fd, SocketTime deadline) : fd_(fd), deadline_(deadline) {}

  void set_deadline(SocketTime deadline) { deadline_ = deadline; }
  /** Starts capturing the bytes read, as the head of a message. */
  void StartHeadCapture();
  /** Stops capturing and returns the captured bytes. */
  std::string TakeHead();

  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t bytes_received() const { return bytes_received_; }
  /** True if a read hit the end of the connection, an error, the head size
   * limit or the deadline. */
  bool read_failed() const { return read_failed_; }
  bool timed_out() const { return timed_out_; }
  /** True if received bytes are still buffered. */
  bool has_unread() const { return position_ < filled_; }
  /** Last four bytes returned by read(). */
  const std::array<char, 4>& tail() const { return tail_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

 private:
  /** Receives bytes into the buffer. Returns their number, 0 at the end of the
   * connection, or -1 on an error or at the deadline. */
  ssize_t FillBuffer();

  int fd_;
  SocketTime deadline_;
  std::array<char, 8192> buffer_;
  std::size_t position_ = 0;
  std::size_t filled_ = 0;
  bool capturing_head_ = false;
  std::string head_;
  std::array<char, 4> tail_{};
  std::size_t bytes_sent_ = 0;
  std::size_t bytes_received_ = 0;
  bool read_failed_ = false;
  bool timed_out_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBNET_SOCKET_STREAM_H_
