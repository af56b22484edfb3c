#ifndef SRC_LIBNET_PEER_LINKS_H_
#define SRC_LIBNET_PEER_LINKS_H_

#include <functional>
#include <memory>
#include <vector>

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** A peer node and its address. */
struct PeerEndpoint {
  NodeId id;
  Endpoint endpoint;
};

/** Addresses, timeouts and limits of PeerLinks. */
struct PeerLinksOptions {
  Endpoint endpoint;
  NodeId node;
  Incarnation incarnation;
  std::vector<PeerEndpoint> peers;
  Duration ping_interval{std::chrono::seconds(1)};
  /** A link is closed after this time without an acknowledged PING. */
  Duration ping_timeout{std::chrono::seconds(3)};
  /** Bounds of the delay between connection attempts. */
  Duration min_backoff{std::chrono::milliseconds(50)};
  Duration max_backoff{std::chrono::seconds(1)};
  /** Maximum size of the messages queued for one peer. */
  Bytes max_queued{1 << 20};
  /** Maximum size of one message. */
  Bytes max_message{4 << 20};
};

/** Exchanges messages between nodes over HTTP/2. Each node opens one connection
 * to each peer and sends all messages on one of its streams; the other side
 * only reads. Delivery is not guaranteed: when a link breaks, the messages
 * queued for it are dropped. */
class PeerLinks {
 public:
  PeerLinks(PeerLinksOptions options,
            Metrics& metrics,
            Timeline& timeline,
            PostEvent post);
  /** Calls Stop(). */
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /** Errors: the address cannot be bound. */
  Result<void> Start();

  /** Port in use, after Start(). */
  int port() const;

  /** Replaces the peers. For tests, whose ports are chosen by the system; must
   * be called before Connect(). */
  void SetPeers(std::vector<PeerEndpoint> peers);

  /** Starts the thread that connects, sends and reads. */
  void Connect();

  /** Queues a message. Thread-safe. */
  void Execute(const SendPeer& effect);

  /** Sends queued messages for up to 500 ms, then closes all links. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_LINKS_H_
