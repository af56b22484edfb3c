#ifndef SRC_LIBNET_SOCKET_STREAM_H_
#define SRC_LIBNET_SOCKET_STREAM_H_

#include <array>
#include <string>

#include <httplib.h>

#include "libnet/sockets.h"

namespace baobab {

/** A socket for cpp-httplib with a deadline for all reads and writes together,
 * which a peer that trickles cannot extend: the timeouts of cpp-httplib start
 * anew with each byte. Keeps the raw head, see ParseHead(). */
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int fd, SocketTime deadline) : fd_(fd), deadline_(deadline) {}

  void set_deadline(SocketTime deadline) { deadline_ = deadline; }
  /** Starts to keep the bytes that are read, as the head of a message. */
  void StartHeadCapture();
  /** Ends it and returns them. */
  std::string TakeHead();

  std::size_t bytes_sent() const { return bytes_sent_; }
  std::size_t bytes_received() const { return bytes_received_; }
  /** A read met the end of the connection, an error or the deadline. */
  bool read_failed() const { return read_failed_; }
  bool timed_out() const { return timed_out_; }
  /** Bytes were received which no read has taken. */
  bool has_unread() const { return position_ < filled_; }
  /** The last four bytes that reads have taken. */
  const std::array<char, 4>& tail() const { return tail_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* ptr, std::size_t size) override;
  ssize_t write(const char* ptr, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return fd_; }

 private:
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
