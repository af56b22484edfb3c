#include "libnet/peer_session.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace baobab {
namespace {

// Flow-control window of the connection and of the stream. Larger than the
// longest message, so that no message stalls on flow control.
constexpr std::int32_t kWindowBytes = 8 << 20;

constexpr std::size_t kLengthPrefixBytes = 4;

// Limit per call of Read(), so that one connection does not starve others.
constexpr std::size_t kMaxBytesPerRead = 1 << 20;

nghttp2_nv MakeHeader(const char* name, const std::string& value) {
  // nghttp2 copies both strings; its non-const pointers are historical.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::uint32_t ReadLengthPrefix(const std::string& buf, std::size_t at) {
  std::uint32_t length = 0;
  for (std::size_t n = 0; n < kLengthPrefixBytes; ++n) {
    length = length << 8 | static_cast<std::uint8_t>(buf[at + n]);
  }
  return length;
}

}  // namespace

PeerSession::PeerSession(UniqueFd fd) : fd_(std::move(fd)) {}

PeerSession::~PeerSession() {
  nghttp2_session_del(session_);
}

void PeerSession::Fail(std::string reason) {
  if (reason_.empty()) {
    reason_ = std::move(reason);
  }
}

void PeerSession::ReportTraffic() {
  if (on_traffic_) {
    on_traffic_();
  }
}

bool PeerSession::wants_write() const {
  return out_sent_ < out_buffer_.size() ||
         nghttp2_session_want_write(session_) != 0;
}

bool PeerSession::Read() {
  std::array<std::uint8_t, 16384> buf;
  std::size_t total = 0;
  while (total < kMaxBytesPerRead) {
    const ssize_t n = ::recv(fd(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    if (n <= 0) {
      Fail(n == 0 ? "closed by the other side" : std::strerror(errno));
      return false;
    }
    total += static_cast<std::size_t>(n);
    bytes_in_ += static_cast<std::uint64_t>(n);
    ReportTraffic();
    last_received_ = SocketClock::now();
    const ssize_t used = nghttp2_session_mem_recv(session_, buf.data(),
                                                  static_cast<std::size_t>(n));
    if (used < 0) {
      Fail(nghttp2_strerror(static_cast<int>(used)));
    }
    if (!reason_.empty()) {
      is_protocol_error_ = true;
      return false;
    }
  }
  return true;
}

bool PeerSession::Write() {
  while (true) {
    if (out_sent_ == out_buffer_.size()) {
      out_buffer_.clear();
      out_sent_ = 0;
      const std::uint8_t* data = nullptr;
      const ssize_t n = nghttp2_session_mem_send(session_, &data);
      if (n < 0) {
        Fail(nghttp2_strerror(static_cast<int>(n)));
        return false;
      }
      if (n == 0 && nghttp2_session_want_read(session_) == 0) {
        // nghttp2 has sent GOAWAY because of a protocol error of the peer.
        Fail("HTTP/2 error");
        is_protocol_error_ = true;
        return false;
      }
      if (n == 0) {
        return true;
      }
      out_buffer_.assign(reinterpret_cast<const char*>(data),
                         static_cast<std::size_t>(n));
      bytes_out_ += static_cast<std::uint64_t>(n);
      ReportTraffic();
    }
    const ssize_t n =
        ::send(fd(), out_buffer_.data() + out_sent_,
               out_buffer_.size() - out_sent_, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return true;
    }
    if (n < 0) {
      Fail(std::strerror(errno));
      return false;
    }
    out_sent_ += static_cast<std::size_t>(n);
  }
}

void PeerSession::FinishWriting() {
  ::shutdown(fd(), SHUT_WR);
}

std::uint64_t PeerSession::TakeBytesIn() {
  return std::exchange(bytes_in_, 0);
}

std::uint64_t PeerSession::TakeBytesOut() {
  return std::exchange(bytes_out_, 0);
}

PeerSender::PeerSender(UniqueFd fd, const std::string& authority, Source source)
    : PeerSession(std::move(fd)), source_(std::move(source)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  nghttp2_session_client_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);

  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
  const std::string method = "POST";
  const std::string scheme = "http";
  const std::string path = "/peer";
  const std::array<nghttp2_nv, 4> headers = {
      MakeHeader(":method", method), MakeHeader(":scheme", scheme),
      MakeHeader(":authority", authority), MakeHeader(":path", path)};
  nghttp2_data_provider provider{};
  provider.read_callback = ReadSource;
  stream_ = nghttp2_submit_request(session_, nullptr, headers.data(),
                                   headers.size(), &provider, nullptr);
  if (stream_ < 0) {
    Fail(nghttp2_strerror(stream_));
  }
}

void PeerSender::Resume() {
  // The result is ignored: it is an error only if the stream is not deferred.
  nghttp2_session_resume_data(session_, stream_);
}

void PeerSender::Ping() {
  nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
}

ssize_t PeerSender::ReadSource(nghttp2_session*,
                               std::int32_t,
                               std::uint8_t* buf,
                               std::size_t n,
                               std::uint32_t*,
                               nghttp2_data_source*,
                               void* user) {
  const std::size_t filled = static_cast<PeerSender*>(user)->source_(buf, n);
  if (filled == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(filled);
}

int PeerSender::OnFrame(nghttp2_session*,
                        const nghttp2_frame* frame,
                        void* user) {
  auto* self = static_cast<PeerSender*>(user);
  if (frame->hd.type == NGHTTP2_PING &&
      (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
    self->last_ping_ack_ = SocketClock::now();
  } else if (frame->hd.type == NGHTTP2_GOAWAY) {
    self->Fail("the other side ends the connection");
  }
  return 0;
}

int PeerSender::OnStreamClose(nghttp2_session*,
                              std::int32_t,
                              std::uint32_t,
                              void* user) {
  static_cast<PeerSender*>(user)->Fail("the other side ends the stream");
  return 0;
}

PeerReceiver::PeerReceiver(UniqueFd fd,
                           std::size_t max_message,
                           MessageHandler handler)
    : PeerSession(std::move(fd)),
      max_message_(max_message),
      handler_(std::move(handler)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_server_new(&session_, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);

  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes},
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
  }};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
}

int PeerReceiver::OnData(nghttp2_session*,
                         std::uint8_t,
                         std::int32_t stream,
                         const std::uint8_t* data,
                         std::size_t n,
                         void* user) {
  auto* self = static_cast<PeerReceiver*>(user);
  if (self->stream_ == 0) {
    self->stream_ = stream;
  }
  if (self->stream_ != stream) {
    self->Fail("a second stream");
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  self->in_buffer_.append(reinterpret_cast<const char*>(data), n);
  return self->HandleMessages() ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

bool PeerReceiver::HandleMessages() {
  std::size_t at = 0;
  while (in_buffer_.size() - at >= kLengthPrefixBytes) {
    const std::size_t length = ReadLengthPrefix(in_buffer_, at);
    if (length > max_message_) {
      Fail("a message of " + std::to_string(length) + " bytes");
      return false;
    }
    if (in_buffer_.size() - at - kLengthPrefixBytes < length) {
      break;
    }
    const std::string_view buffered = in_buffer_;
    const std::string fault =
        handler_(buffered.substr(at + kLengthPrefixBytes, length));
    if (!fault.empty()) {
      Fail(fault);
      return false;
    }
    at += kLengthPrefixBytes + length;
  }
  in_buffer_.erase(0, at);
  return true;
}

}  // namespace baobab
