#include <gtest/gtest.h>

#include "libwire/wire.h"
#include "net_support.h"

namespace baobab {
namespace {

using namespace std::chrono_literals;

/** Peer links of one node, with the events they posted. */
struct PeerNode {
  explicit PeerNode(const std::string& id,
                    const std::function<void(PeerLinksOptions&)>& change = {})
      : timeline("", NodeId(id), Incarnation(1)) {
    PeerLinksOptions options;
    options.endpoint = {"127.0.0.1", 0};
    options.node = NodeId(id);
    options.incarnation = Incarnation(1);
    if (change) {
      change(options);
    }
    links = std::make_unique<PeerLinks>(options, metrics, timeline,
                                        sink.MakePostEvent());
    const auto started = links->Start();
    EXPECT_TRUE(started);
  }

  PeerEndpoint endpoint(const std::string& id) const {
    return {NodeId(id), {"127.0.0.1", links->port()}};
  }

  /** Returns the `version` of each received heartbeat; tests use it to number
   * them. */
  std::vector<std::uint64_t> ReceivedVersions() const {
    std::vector<std::uint64_t> versions;
    for (const auto& it : sink.All<PeerMessageReceived>()) {
      if (const auto* heartbeat =
              std::get_if<Heartbeat>(&it.envelope.message)) {
        versions.push_back(heartbeat->version.value());
      }
    }
    return versions;
  }

  Metrics metrics;
  Timeline timeline;
  EventSink sink;
  std::unique_ptr<PeerLinks> links;
};

Heartbeat MakeHeartbeat(std::uint64_t version) {
  Heartbeat heartbeat;
  heartbeat.version = TableVersion(version);
  return heartbeat;
}

// Guards against lost, reordered or misattributed messages on a healthy link,
// and against bytes that are not counted.
TEST(PeerLinksTest, MessagesArriveInOrderBothWays) {
  PeerNode a("a");
  PeerNode b("b");
  a.links->SetPeers({b.endpoint("b")});
  b.links->SetPeers({a.endpoint("a")});
  a.links->Connect();
  b.links->Connect();
  for (std::uint64_t n = 0; n < 200; ++n) {
    a.links->Execute({NodeId("b"), MakeHeartbeat(n)});
    b.links->Execute({NodeId("a"), MakeHeartbeat(1000 + n)});
  }
  ASSERT_TRUE(WaitUntil([&] {
    return a.ReceivedVersions().size() == 200 &&
           b.ReceivedVersions().size() == 200;
  }));
  for (std::uint64_t n = 0; n < 200; ++n) {
    EXPECT_EQ(b.ReceivedVersions()[n], n);
    EXPECT_EQ(a.ReceivedVersions()[n], 1000 + n);
  }
  EXPECT_EQ(b.sink.All<PeerMessageReceived>()[0].envelope.from, NodeId("a"));
  EXPECT_GT(CounterValue(a.metrics, "peer_bytes_out_b"), 200);
  EXPECT_GT(CounterValue(b.metrics, "peer_bytes_in_a"), 200);
}

// Guards against a message that stalls or is truncated because it exceeds a
// flow-control window or a frame.
TEST(PeerLinksTest, LongMessageArrivesWhole) {
  PeerNode a("a");
  PeerNode b("b");
  a.links->SetPeers({b.endpoint("b")});
  b.links->SetPeers({a.endpoint("a")});
  a.links->Connect();
  b.links->Connect();
  const std::string text(3 << 20, 'x');
  a.links->Execute({NodeId("b"), StateReply{Offset(3), text}});
  ASSERT_TRUE(b.sink.WaitFor<PeerMessageReceived>(1));
  a.links->Execute({NodeId("b"), MakeHeartbeat(1)});
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedVersions().size() == 1; }));
  const auto got = b.sink.All<PeerMessageReceived>();
  ASSERT_EQ(got.size(), 2u);
  EXPECT_EQ(std::get<StateReply>(got[0].envelope.message).text, text);
}

// Guards against a lost peer that is not reported, and against a link that is
// not reopened when the peer has restarted.
TEST(PeerLinksTest, LossIsReportedAndTheLinkIsReopened) {
  PeerNode a("a");
  auto b = std::make_unique<PeerNode>("b");
  const int port = b->links->port();
  a.links->SetPeers({b->endpoint("b")});
  b->links->SetPeers({a.endpoint("a")});
  a.links->Connect();
  b->links->Connect();
  a.links->Execute({NodeId("b"), MakeHeartbeat(1)});
  ASSERT_TRUE(WaitUntil([&] { return b->ReceivedVersions().size() == 1; }));
  b.reset();
  ASSERT_TRUE(a.sink.WaitFor<PeerLost>(1));
  EXPECT_EQ(a.sink.All<PeerLost>()[0].peer, NodeId("b"));

  b = std::make_unique<PeerNode>(
      "b", [&](PeerLinksOptions& it) { it.endpoint.port = port; });
  b->links->SetPeers({a.endpoint("a")});
  b->links->Connect();
  std::uint64_t n = 2;
  EXPECT_TRUE(WaitUntil([&] {
    a.links->Execute({NodeId("b"), MakeHeartbeat(n++)});
    return !b->ReceivedVersions().empty();
  }));
}

// Guards against keeping a half-open connection: after a middlebox has lost its
// state, nothing arrives, but no operation fails either.
TEST(PeerLinksTest, SilentLinkIsClosedAndReopened) {
  RawServer silent([](RawSocket& socket, int) {
    while (!socket.ReceiveUntil("never").empty()) {
    }
  });
  PeerNode a("a", [](PeerLinksOptions& it) {
    it.ping_interval = 50ms;
    it.ping_timeout = 150ms;
  });
  a.links->SetPeers({{NodeId("b"), {"127.0.0.1", silent.port()}}});
  a.links->Connect();
  ASSERT_TRUE(a.sink.WaitFor<PeerLost>(2));
  EXPECT_GE(silent.accepted(), 2);
  EXPECT_GE(CounterValue(a.metrics, "peer_links_lost"), 2);
}

// Guards against an unbounded queue for a peer that reads nothing, and against
// other messages dropped in favour of heartbeats, which later ones supersede.
TEST(PeerLinksTest, QueuedMessagesAreBounded) {
  PeerNode a("a", [](PeerLinksOptions& it) { it.max_queued = Bytes(5000); });
  PeerNode b("b");
  a.links->SetPeers({b.endpoint("b")});
  b.links->SetPeers({a.endpoint("a")});
  a.links->Execute({NodeId("b"), LoanReturn{LoanId(7), {}}});
  for (std::uint64_t n = 0; n < 1000; ++n) {
    a.links->Execute({NodeId("b"), MakeHeartbeat(n)});
  }
  const std::int64_t dropped = CounterValue(a.metrics, "peer_messages_dropped");
  EXPECT_GT(dropped, 0);
  a.links->Connect();
  b.links->Connect();
  ASSERT_TRUE(WaitUntil([&] {
    const auto versions = b.ReceivedVersions();
    return !versions.empty() && versions.back() == 999;
  }));
  EXPECT_EQ(b.ReceivedVersions().size(),
            1000 - static_cast<std::size_t>(dropped));
  const auto first = b.sink.All<PeerMessageReceived>().front();
  EXPECT_TRUE(std::holds_alternative<LoanReturn>(first.envelope.message));
}

// Guards against losing the final heartbeat when a node leaves.
TEST(PeerLinksTest, StopSendsQueuedMessages) {
  PeerNode a("a");
  PeerNode b("b");
  a.links->SetPeers({b.endpoint("b")});
  b.links->SetPeers({a.endpoint("a")});
  a.links->Connect();
  b.links->Connect();
  a.links->Execute({NodeId("b"), MakeHeartbeat(1)});
  ASSERT_TRUE(WaitUntil([&] { return b.ReceivedVersions().size() == 1; }));
  for (std::uint64_t n = 2; n <= 500; ++n) {
    a.links->Execute({NodeId("b"), MakeHeartbeat(n)});
  }
  a.links->Stop();
  EXPECT_TRUE(WaitUntil([&] { return b.ReceivedVersions().size() == 500; }));
}

std::string WithLengthPrefix(const std::string& message) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(message.size() >> shift & 0xff));
  }
  return bytes + message;
}

/** Returns the bytes of an HTTP/2 client, built without a library: preface,
 * SETTINGS, HEADERS, and one DATA frame with the payload. */
std::string MakeHttp2Bytes(const std::string& payload) {
  std::string bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const auto frame = [&](char type, char flags, char stream,
                         const std::string& body) {
    bytes += {static_cast<char>(body.size() >> 16),
              static_cast<char>(body.size() >> 8 & 0xff),
              static_cast<char>(body.size() & 0xff),
              type,
              flags,
              0,
              0,
              0,
              stream};
    bytes += body;
  };
  frame(4, 0, 0, "");
  // Static table: ":method POST", ":scheme http", ":path /", and ":authority".
  frame(1, 4, 1, std::string("\x83\x86\x84\x41\x01x", 6));
  frame(0, 0, 1, payload);
  return bytes;
}

PeerEnvelope EnvelopeOf(const std::string& from) {
  return {kPeerProtocol, NodeId(from), Incarnation(1), 0, MakeHeartbeat(1)};
}

std::string OtherProtocol() {
  PeerEnvelope envelope = EnvelopeOf("b");
  envelope.protocol = kPeerProtocol + 1;
  return EncodePeer(envelope);
}

struct HostileCase {
  const char* name;
  std::string bytes;
};

class HostilePeerTest : public testing::TestWithParam<HostileCase> {};

// Guards against invalid input on the peer port that stops the process,
// exhausts its memory, is accepted as a message, or disturbs other links.
TEST_P(HostilePeerTest, ConnectionIsClosedAndOthersContinue) {
  PeerNode a("a");
  PeerNode b("b");
  a.links->SetPeers({b.endpoint("b")});
  b.links->SetPeers({a.endpoint("a")});
  a.links->Connect();
  b.links->Connect();
  RawSocket hostile(a.links->port());
  hostile.Send(GetParam().bytes);
  hostile.ReceiveAll();
  EXPECT_TRUE(WaitUntil(
      [&] { return CounterValue(a.metrics, "peer_bad_connections") == 1; }));
  EXPECT_TRUE(a.ReceivedVersions().empty());
  b.links->Execute({NodeId("a"), MakeHeartbeat(5)});
  EXPECT_TRUE(WaitUntil([&] { return a.ReceivedVersions().size() == 1; }));
}

INSTANTIATE_TEST_SUITE_P(
    Inputs,
    HostilePeerTest,
    testing::Values(
        HostileCase{"http1", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
        HostileCase{"garbage", std::string(5000, '\xa5')},
        HostileCase{
            "bad_frame",
            MakeHttp2Bytes("") + std::string("\xff\xff\xff\0\0\0\0\0\1", 9)},
        HostileCase{"not_msgpack", MakeHttp2Bytes(WithLengthPrefix("hello"))},
        HostileCase{"empty_message", MakeHttp2Bytes(WithLengthPrefix(""))},
        HostileCase{"oversized",
                    MakeHttp2Bytes(std::string("\x7f\xff\xff\xff", 4))},
        HostileCase{"other_protocol",
                    MakeHttp2Bytes(WithLengthPrefix(OtherProtocol()))},
        HostileCase{
            "unknown_node",
            MakeHttp2Bytes(WithLengthPrefix(EncodePeer(EnvelopeOf("z"))))},
        HostileCase{
            "own_node",
            MakeHttp2Bytes(WithLengthPrefix(EncodePeer(EnvelopeOf("a"))))}),
    [](const auto& it) { return it.param.name; });

// Checks that MakeHttp2Bytes() forms a valid client; otherwise the cases above
// would be rejected for the wrong reason.
TEST(PeerLinksTest, RawHttp2ClientIsAccepted) {
  PeerNode a("a");
  a.links->SetPeers({{NodeId("b"), {"127.0.0.1", 1}}});
  a.links->Connect();
  RawSocket client(a.links->port());
  client.Send(MakeHttp2Bytes(WithLengthPrefix(EncodePeer(EnvelopeOf("b")))));
  ASSERT_TRUE(a.sink.WaitFor<PeerMessageReceived>(1));
  EXPECT_EQ(CounterValue(a.metrics, "peer_bad_connections"), 0);
  client.Close();
  EXPECT_TRUE(a.sink.WaitFor<PeerLost>(1));
}

}  // namespace
}  // namespace baobab
