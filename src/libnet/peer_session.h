#ifndef SRC_LIBNET_PEER_SESSION_H_
#define SRC_LIBNET_PEER_SESSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

#include "libnet/sockets.h"

namespace baobab {

/** One HTTP/2 connection between two nodes on a non-blocking socket. Not
 * thread-safe. */
class PeerSession {
 public:
  virtual ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  int fd() const { return fd_.get(); }
  bool wants_write() const;
  /** Reads what has arrived. False if the connection is over: see reason(). */
  bool Read();
  /** Writes what the socket takes. False if the connection is over. */
  bool Write();
  /** Ends the own direction; Read() still works. */
  void FinishWriting();

  const std::string& reason() const { return reason_; }
  /** The other side sent something which is not allowed. */
  bool is_protocol_error() const { return is_protocol_error_; }
  SocketTime last_received() const { return last_received_; }
  /** Bytes at the socket since the last call. */
  std::uint64_t TakeBytesIn();
  std::uint64_t TakeBytesOut();

 protected:
  explicit PeerSession(UniqueFd fd);
  /** Notes why the connection is over, unless a reason is known already. */
  void Fail(std::string reason);

  nghttp2_session* session_ = nullptr;

 private:
  UniqueFd fd_;
  std::string reason_;
  bool is_protocol_error_ = false;
  std::string out_buffer_;
  std::size_t out_sent_ = 0;
  SocketTime last_received_ = SocketClock::now();
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

/** The side that opens the connection and sends messages on one stream. */
class PeerSender : public PeerSession {
 public:
  /** Copies the next bytes to send to `buf` and returns their number; 0 if
   * there are none now. */
  using Source = std::function<std::size_t(std::uint8_t* buf, std::size_t n)>;

  PeerSender(UniqueFd fd, const std::string& authority, Source source);

  /** The source has bytes again. */
  void Resume();
  void Ping();
  /** When the last PING was answered, or the connection was opened. */
  SocketTime last_ping_ack() const { return last_ping_ack_; }

 private:
  static ssize_t ReadSource(nghttp2_session* session,
                            std::int32_t stream,
                            std::uint8_t* buf,
                            std::size_t n,
                            std::uint32_t* flags,
                            nghttp2_data_source* source,
                            void* user);
  static int OnFrame(nghttp2_session* session,
                     const nghttp2_frame* frame,
                     void* user);
  static int OnStreamClose(nghttp2_session* session,
                           std::int32_t stream,
                           std::uint32_t ec,
                           void* user);

  Source source_;
  std::int32_t stream_ = 0;
  SocketTime last_ping_ack_ = SocketClock::now();
};

/** The side that accepts the connection and reads messages. Each has a prefix
 * of four bytes with its length, the highest byte first. */
class PeerReceiver : public PeerSession {
 public:
  /** Returns an empty text if the message is valid, otherwise the fault, which
   * ends the connection. */
  using MessageHandler = std::function<std::string(std::string_view message)>;

  PeerReceiver(UniqueFd fd, std::size_t max_message, MessageHandler handler);

 private:
  static int OnData(nghttp2_session* session,
                    std::uint8_t flags,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t n,
                    void* user);
  bool HandleMessages();

  std::size_t max_message_;
  MessageHandler handler_;
  std::int32_t stream_ = 0;
  std::string in_buffer_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_SESSION_H_
