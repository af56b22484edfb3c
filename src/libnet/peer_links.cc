#include "libnet/peer_links.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <random>
#include <thread>
#include <utility>

#include "libnet/peer_outbox.h"
#include "libnet/peer_session.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

using namespace std::chrono_literals;

constexpr auto kConnectTimeout = 1s;
constexpr auto kPollTimeout = 50ms;
constexpr auto kFlushTimeout = 500ms;
constexpr auto kLogInterval = 1s;

// Messages queued for longer than this before a connect are dropped as stale.
constexpr auto kMaxQueueTime = 1s;

// Limit on inbound connections beyond two per peer, for connections whose peer
// is not yet identified.
constexpr std::size_t kSpareInbound = 32;

std::string PeerMetricName(const char* name, const NodeId& peer) {
  return std::string(name) + "_" + peer.value();
}

}  // namespace

class PeerLinks::Impl {
 public:
  Impl(PeerLinksOptions options,
       Metrics& metrics,
       Timeline& timeline,
       PostEvent post)
      : options_(std::move(options)),
        metrics_(metrics),
        timeline_(timeline),
        post_(std::move(post)),
        wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    SetPeers(options_.peers);
  }

  ~Impl() { Stop(); }

  Result<void> Start() {
    auto fd = ListenTcp(options_.endpoint);
    if (!fd) {
      return tl::make_unexpected(fd.error());
    }
    listener_ = std::move(*fd);
    port_ = BoundPort(listener_.get());
    return {};
  }

  int port() const { return port_; }

  void SetPeers(const std::vector<PeerEndpoint>& peers) {
    links_.clear();
    for (const PeerEndpoint& it : peers) {
      links_.emplace(
          it.id, std::make_unique<Link>(it, static_cast<std::size_t>(
                                                options_.max_queued.value())));
    }
  }

  void Connect() {
    thread_ = std::thread([this] { Run(); });
  }

  void Execute(const SendPeer& effect) {
    const auto it = links_.find(effect.to);
    if (it == links_.end()) {
      metrics_.Count("peer_unknown_targets");
      return;
    }
    const std::string message =
        EncodePeer({kPeerProtocol, options_.node, options_.incarnation,
                    timeline_.clock(), effect.message});
    if (message.size() >
        static_cast<std::size_t>(options_.max_message.value())) {
      metrics_.Count("peer_oversized_dropped");
      return;
    }
    CountDropped(it->second->outbox.Push(
        message, std::holds_alternative<Heartbeat>(effect.message)));
    Wake();
  }

  void Stop() {
    stopping_ = true;
    Wake();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  /** Outbound connection to a peer, with its queue and timers. */
  struct Link {
    Link(PeerEndpoint endpoint, std::size_t max_queued)
        : peer(std::move(endpoint)), outbox(max_queued) {}

    PeerEndpoint peer;
    PeerOutbox outbox;
    /** Socket of a connect in progress. */
    UniqueFd connecting;
    SocketTime connect_deadline;
    /** Null until connected. */
    std::unique_ptr<PeerSender> session;
    SocketTime next_ping;
    SocketTime next_attempt = SocketClock::now();
    Duration backoff{0};
  };

  /** Inbound connection, opened by a peer. */
  struct Inbound {
    std::unique_ptr<PeerReceiver> session;
    /** The peer; empty until its first message. */
    NodeId from;
  };

  void Wake() {
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, which wakes the thread too.
    [[maybe_unused]] const ssize_t n = ::write(wake_.get(), &one, sizeof(one));
  }

  void CountDropped(std::size_t n) {
    if (n > 0) {
      metrics_.Count("peer_messages_dropped", static_cast<std::int64_t>(n));
    }
  }

  void Run() {
    SocketTime stop_deadline = SocketTime::max();
    bool finished = false;
    while (SocketClock::now() < stop_deadline) {
      if (stopping_ && stop_deadline == SocketTime::max()) {
        stop_deadline = SocketClock::now() + kFlushTimeout;
      }
      const SocketTime now = SocketClock::now();
      for (auto& [id, link] : links_) {
        RunTimers(*link, now);
      }
      if (stopping_ && !finished && IsFlushed()) {
        // Only the sending direction: closing the socket with an unread PING
        // acknowledgement would reset it and could destroy messages in flight.
        finished = true;
        for (auto& [id, link] : links_) {
          if (link->session) {
            link->session->FinishWriting();
          }
        }
      }
      if (finished && !HasSessions()) {
        return;
      }
      Poll();
      CloseSilentInbound(SocketClock::now());
    }
  }

  bool HasSessions() const {
    return std::any_of(links_.begin(), links_.end(), [](const auto& it) {
      return it.second->session != nullptr;
    });
  }

  bool IsFlushed() const {
    return std::all_of(links_.begin(), links_.end(), [](const auto& it) {
      const Link& link = *it.second;
      return !link.session ||
             (link.outbox.empty() && !link.session->wants_write());
    });
  }

  /** Starts what is due on a link: connect, PING, timeouts and writes. */
  void RunTimers(Link& link, SocketTime now) {
    if (link.session) {
      if (now - link.session->last_ping_ack() > options_.ping_timeout) {
        return CloseLink(link, "no answer to PING");
      }
      if (!stopping_ && now >= link.next_ping) {
        link.session->Ping();
        link.next_ping = now + options_.ping_interval;
      }
      if (!link.outbox.empty()) {
        link.session->Resume();
      }
      if (link.session->wants_write() && !link.session->Write()) {
        CloseLink(link, link.session->reason());
      }
      return;
    }
    if (link.connecting.valid()) {
      if (now >= link.connect_deadline) {
        ScheduleReconnect(link);
      }
      return;
    }
    if (!stopping_ && now >= link.next_attempt) {
      auto fd = StartConnect(link.peer.endpoint);
      if (!fd) {
        return ScheduleReconnect(link);
      }
      link.connecting = std::move(*fd);
      link.connect_deadline = now + kConnectTimeout;
    }
  }

  void FinishConnect(Link& link) {
    int ec = 0;
    socklen_t size = sizeof(ec);
    ::getsockopt(link.connecting.get(), SOL_SOCKET, SO_ERROR, &ec, &size);
    if (ec != 0) {
      return ScheduleReconnect(link);
    }
    const SocketTime now = SocketClock::now();
    CountDropped(link.outbox.DropBefore(now - kMaxQueueTime));
    link.session = std::make_unique<PeerSender>(
        std::move(link.connecting), ToString(link.peer.endpoint),
        [&link](std::uint8_t* buf, std::size_t n) {
          return link.outbox.Take(buf, n);
        });
    link.session->OnTraffic(
        [this, &link] { CountBytes(*link.session, link.peer.id); });
    link.next_ping = now;
    metrics_.Count("peer_connections");
  }

  void ScheduleReconnect(Link& link) {
    link.connecting.Reset();
    link.backoff = std::clamp(link.backoff * 2, options_.min_backoff,
                              options_.max_backoff);
    std::uniform_int_distribution<Duration::rep> jitter(
        link.backoff.count() / 2, link.backoff.count());
    link.next_attempt = SocketClock::now() + Duration(jitter(random_));
  }

  // Takes `reason` by value, since it may belong to the session deleted here.
  void CloseLink(Link& link, std::string reason) {
    CountBytes(*link.session, link.peer.id);
    link.session.reset();
    CountDropped(link.outbox.DropBefore(SocketTime::max()));
    if (!stopping_) {
      metrics_.Count("peer_links_lost");
      Log(LogLevel::kWarning, "peer", "link to {} lost: {}",
          link.peer.id.value(), reason);
      post_(PeerLost{link.peer.id});
    }
    ScheduleReconnect(link);
  }

  void Poll() {
    std::vector<pollfd> fds = {{wake_.get(), POLLIN, 0},
                               {listener_.get(), POLLIN, 0}};
    std::vector<Link*> links;
    for (auto& [id, link] : links_) {
      if (link->session) {
        const short out = link->session->wants_write() ? POLLOUT : 0;
        fds.push_back(
            {link->session->fd(), static_cast<short>(POLLIN | out), 0});
        links.push_back(link.get());
      } else if (link->connecting.valid()) {
        fds.push_back({link->connecting.get(), POLLOUT, 0});
        links.push_back(link.get());
      }
    }
    const std::size_t first_inbound = fds.size();
    for (const Inbound& it : inbound_) {
      const short out = it.session->wants_write() ? POLLOUT : 0;
      fds.push_back({it.session->fd(), static_cast<short>(POLLIN | out), 0});
    }
    if (::poll(fds.data(), fds.size(),
               static_cast<int>(
                   std::chrono::milliseconds(kPollTimeout).count())) <= 0) {
      return;
    }
    if (fds[0].revents != 0) {
      std::uint64_t n = 0;
      [[maybe_unused]] const ssize_t size = ::read(wake_.get(), &n, sizeof(n));
    }
    for (std::size_t n = 0; n < links.size(); ++n) {
      if (fds[2 + n].revents != 0) {
        Handle(*links[n], fds[2 + n].revents);
      }
    }
    for (std::size_t n = fds.size(); n-- > first_inbound;) {
      if (fds[n].revents != 0) {
        HandleInbound(n - first_inbound);
      }
    }
    if (fds[1].revents != 0) {
      Accept();
    }
  }

  void Handle(Link& link, short events) {
    if (!link.session) {
      return FinishConnect(link);
    }
    if ((events & ~POLLOUT) != 0) {
      if (!link.session->Read()) {
        return CloseLink(link, link.session->reason());
      }
      // The peer responded, so the backoff restarts from its minimum.
      link.backoff = Duration(0);
    }
    if (!link.session->Write()) {
      return CloseLink(link, link.session->reason());
    }
    CountBytes(*link.session, link.peer.id);
  }

  void Accept() {
    while (true) {
      UniqueFd fd(::accept4(listener_.get(), nullptr, nullptr,
                            SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd.valid()) {
        return;
      }
      if (inbound_.size() >= 2 * links_.size() + kSpareInbound) {
        metrics_.Count("peer_connections_refused");
        continue;
      }
      const int on = 1;
      ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const int key = fd.get();
      inbound_.push_back(
          {std::make_unique<PeerReceiver>(
               std::move(fd),
               static_cast<std::size_t>(options_.max_message.value()),
               [this, key](std::string_view data) {
                 return Receive(key, data);
               }),
           NodeId()});
    }
  }

  /** Posts a message. Returns an error message if it is invalid. */
  std::string Receive(int fd, std::string_view data) {
    const auto it = std::find_if(
        inbound_.begin(), inbound_.end(),
        [&](const Inbound& inbound) { return inbound.session->fd() == fd; });
    auto envelope = DecodePeer(data);
    if (!envelope) {
      return ToString(envelope.error());
    }
    if (envelope->from == options_.node ||
        links_.find(envelope->from) == links_.end()) {
      return "a message from unknown node " + envelope->from.value();
    }
    if (it->from == NodeId()) {
      it->from = envelope->from;
    } else if (it->from != envelope->from) {
      return "a message of another node than the first";
    }
    timeline_.MergeClock(envelope->clock);
    // The sender of the first bytes of a connection is known only now.
    CountBytes(*it->session, it->from);
    metrics_.Count("peer_messages_received");
    post_(PeerMessageReceived{std::move(*envelope)});
    return {};
  }

  void HandleInbound(std::size_t n) {
    Inbound& inbound = inbound_[n];
    const bool open = inbound.session->Read() && inbound.session->Write();
    if (!(inbound.from == NodeId())) {
      CountBytes(*inbound.session, inbound.from);
    }
    if (!open) {
      CloseInbound(n);
    }
  }

  void CloseInbound(std::size_t n) {
    const Inbound inbound = std::move(inbound_[n]);
    inbound_.erase(inbound_.begin() + static_cast<std::ptrdiff_t>(n));
    if (inbound.session->is_protocol_error()) {
      metrics_.Count("peer_bad_connections");
      LogBadConnection(inbound.from, inbound.session->reason());
    }
    if (inbound.from == NodeId() || stopping_) {
      return;
    }
    const bool replaced =
        std::any_of(inbound_.begin(), inbound_.end(),
                    [&](const Inbound& it) { return it.from == inbound.from; });
    if (!replaced) {
      post_(PeerLost{inbound.from});
    }
  }

  /** Closes inbound connections without any recent bytes. Peers send a PING
   * every second, so such a connection is dead. */
  void CloseSilentInbound(SocketTime now) {
    for (std::size_t n = inbound_.size(); n-- > 0;) {
      if (now - inbound_[n].session->last_received() >
          options_.ping_timeout + options_.ping_interval) {
        metrics_.Count("peer_silent_connections");
        CloseInbound(n);
      }
    }
  }

  void LogBadConnection(const NodeId& from, const std::string& reason) {
    const SocketTime now = SocketClock::now();
    if (now - last_log_time_ < kLogInterval) {
      return;
    }
    last_log_time_ = now;
    Log(LogLevel::kWarning, "peer", "connection from {} closed: {}",
        from == NodeId() ? "an unknown node" : from.value(), reason);
  }

  void CountBytes(PeerSession& session, const NodeId& peer) {
    metrics_.Count(PeerMetricName("peer_bytes_in", peer),
                   static_cast<std::int64_t>(session.TakeBytesIn()));
    metrics_.Count(PeerMetricName("peer_bytes_out", peer),
                   static_cast<std::int64_t>(session.TakeBytesOut()));
  }

  const PeerLinksOptions options_;
  Metrics& metrics_;
  Timeline& timeline_;
  const PostEvent post_;
  UniqueFd wake_;
  UniqueFd listener_;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::map<NodeId, std::unique_ptr<Link>> links_;
  std::vector<Inbound> inbound_;
  std::minstd_rand random_{std::random_device{}()};
  SocketTime last_log_time_;
  std::thread thread_;
};

PeerLinks::PeerLinks(PeerLinksOptions options,
                     Metrics& metrics,
                     Timeline& timeline,
                     PostEvent post)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   metrics,
                                   timeline,
                                   std::move(post))) {}

PeerLinks::~PeerLinks() {
  Stop();
}

Result<void> PeerLinks::Start() {
  return impl_->Start();
}

int PeerLinks::port() const {
  return impl_->port();
}

void PeerLinks::SetPeers(std::vector<PeerEndpoint> peers) {
  impl_->SetPeers(peers);
}

void PeerLinks::Connect() {
  impl_->Connect();
}

void PeerLinks::Execute(const SendPeer& effect) {
  impl_->Execute(effect);
}

void PeerLinks::Stop() {
  impl_->Stop();
}

}  // namespace baobab
