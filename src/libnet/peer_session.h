#ifndef SRC_LIBNET_PEER_SESSION_H_
#define SRC_LIBNET_PEER_SESSION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

#include "libnet/sockets.h"

namespace baobab {

/** HTTP/2 connection between two nodes on a non-blocking socket. Not
 * thread-safe. */
class PeerSession {
 public:
  virtual ~PeerSession();
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  int fd() const { return fd_.get(); }
  /** Returns true if there are bytes to send. */
  bool wants_write() const;
  /** Reads the available bytes. Returns false if the connection has ended; see
   * reason(). */
  bool Read();
  /** Writes until the socket would block. Returns false if the connection has
   * ended; see reason(). */
  bool Write();
  /** Shuts down the sending direction; Read() still works. */
  void FinishWriting();

  /** Why the connection has ended; empty while it is open. */
  const std::string& reason() const { return reason_; }
  /** True if the connection ended because the other side sent invalid data. */
  bool is_protocol_error() const { return is_protocol_error_; }
  SocketTime last_received() const { return last_received_; }
  /** Sets a function that is called before received bytes are interpreted and
   * before bytes are handed to the socket, so that counters include them
   * before anyone sees their effect. */
  void OnTraffic(std::function<void()> listener) {
    on_traffic_ = std::move(listener);
  }
  /** Returns the number of bytes received since the last call. */
  std::uint64_t TakeBytesIn();
  /** Returns the number of bytes handed to the socket since the last call. */
  std::uint64_t TakeBytesOut();

 protected:
  explicit PeerSession(UniqueFd fd);
  /** Sets the reason for the end of the connection, unless one is set. */
  void Fail(std::string reason);

  nghttp2_session* session_ = nullptr;

 private:
  void ReportTraffic();

  UniqueFd fd_;
  std::string reason_;
  bool is_protocol_error_ = false;
  std::function<void()> on_traffic_;
  /** Bytes for the socket; the first `out_sent_` of them are sent. */
  std::string out_buffer_;
  std::size_t out_sent_ = 0;
  SocketTime last_received_ = SocketClock::now();
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

/** Client side: opens the connection and sends messages on one stream. */
class PeerSender : public PeerSession {
 public:
  /** Copies up to `n` bytes to send to `buf` and returns their number; 0 if
   * none are available now. */
  using Source = std::function<std::size_t(std::uint8_t* buf, std::size_t n)>;

  PeerSender(UniqueFd fd, const std::string& authority, Source source);

  /** Resumes sending; to be called when the source has bytes again. */
  void Resume();
  /** Sends a PING; see last_ping_ack(). */
  void Ping();
  /** Time of the last acknowledged PING, initially of the connect. */
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

/** Server side: accepts the connection and reads messages. Each has a 4-byte
 * big-endian length prefix. */
class PeerReceiver : public PeerSession {
 public:
  /** Returns an empty string if the message is valid, otherwise an error
   * message; an error ends the connection. */
  using MessageHandler = std::function<std::string(std::string_view message)>;

  PeerReceiver(UniqueFd fd, std::size_t max_message, MessageHandler handler);

 private:
  static int OnData(nghttp2_session* session,
                    std::uint8_t flags,
                    std::int32_t stream,
                    const std::uint8_t* data,
                    std::size_t n,
                    void* user);
  /** Handles the complete messages in `in_buffer_`; false on an error. */
  bool HandleMessages();

  std::size_t max_message_;
  MessageHandler handler_;
  std::int32_t stream_ = 0;
  std::string in_buffer_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_SESSION_H_
