#ifndef SRC_LIBNET_PEER_LINKS_H_
#define SRC_LIBNET_PEER_LINKS_H_

#include <functional>
#include <memory>
#include <vector>

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

struct PeerEndpoint {
  NodeId id;
  Endpoint endpoint;
};

struct PeerLinksOptions {
  Endpoint endpoint;
  NodeId node;
  Incarnation incarnation;
  std::vector<PeerEndpoint> peers;
  Duration ping_interval{std::chrono::seconds(1)};
  /** A link is closed after this time without an answer to PING. */
  Duration ping_timeout{std::chrono::seconds(3)};
  Duration min_backoff{std::chrono::milliseconds(50)};
  Duration max_backoff{std::chrono::seconds(1)};
  /** Messages that wait for one peer. */
  Bytes max_queued{1 << 20};
  /** Longest message. */
  Bytes max_message{4 << 20};
};

/** Messages between nodes over HTTP/2: each node opens one connection to each
 * peer and sends all messages on one stream of it; the other side only reads.
 * Delivery is not guaranteed: what waits when a link breaks is dropped. */
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

  /** Sets where to reach a peer, for tests with ports chosen by the system;
   * before Connect() only. */
  void SetPeers(std::vector<PeerEndpoint> peers);

  /** Starts the thread which connects, sends and reads. */
  void Connect();

  /** Queues a message. Thread-safe. */
  void Execute(const SendPeer& effect);

  /** Sends what waits, for at most 500 ms, then closes all links. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PEER_LINKS_H_
