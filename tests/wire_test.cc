#include "libwire/wire.h"

#include <iostream>

#include <gtest/gtest.h>

#include "wire_generators.h"

namespace baobab {
namespace {

PeerEnvelope MakeEnvelope(PeerMessage message) {
  return {kPeerProtocol, NodeId("lag1-n1"), Incarnation(1796376600123456),
          123456, std::move(message)};
}

template <typename T>
class RecordWireTest : public testing::Test {};
using RecordTypes = testing::Types<TableEdit,
                                   PlannerClaim,
                                   ViewChange,
                                   VersionInForce,
                                   SnapshotPart,
                                   UnknownRecord>;
TYPED_TEST_SUITE(RecordWireTest, RecordTypes);

// Guards against a record that differs after it was written and read back.
TYPED_TEST(RecordWireTest, RoundTrips) {
  const bool ok = rc::check([] {
    Record record{kRecordFormat, AnyValue<WriterId>(),
                  AnyValue<RecordSequence>(), AnyValue<std::int64_t>(),
                  AnyValue<TypeParam>()};
    const std::string text = EncodeRecord(record);
    RC_ASSERT(IsUtf8(text));
    RC_ASSERT(DecodeRecord(text) == record);
  });
  EXPECT_TRUE(ok);
}

// Guards against a crash or a partly read body when a record is truncated or
// damaged.
TYPED_TEST(RecordWireTest, DamageGivesUnknownRecordOrAnotherValidOne) {
  const bool ok = rc::check([] {
    const Record record{kRecordFormat, AnyValue<WriterId>(),
                        AnyValue<RecordSequence>(), 1, AnyValue<TypeParam>()};
    std::string text = EncodeRecord(record);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(std::holds_alternative<UnknownRecord>(
        DecodeRecord(text.substr(0, at)).body));
    text[at] = *rc::gen::arbitrary<char>();
    const Record other = DecodeRecord(text);
    RC_ASSERT(DecodeRecord(EncodeRecord(other)).writer == other.writer);
  });
  EXPECT_TRUE(ok);
}

template <typename T>
class PeerWireTest : public testing::Test {};
using PeerTypes = testing::Types<Heartbeat,
                                 BorrowRequest,
                                 LoanGrant,
                                 LoanReturn,
                                 KeyClaim,
                                 KeyClaimReply,
                                 KeyOutcome,
                                 MinionNotice,
                                 StateRequest,
                                 StateReply>;
TYPED_TEST_SUITE(PeerWireTest, PeerTypes);

// Guards against a message that differs at the receiving node.
TYPED_TEST(PeerWireTest, RoundTrips) {
  const bool ok = rc::check([] {
    PeerEnvelope envelope = MakeEnvelope(AnyValue<TypeParam>());
    envelope.from = AnyValue<NodeId>();
    envelope.clock = AnyValue<std::uint64_t>();
    const auto decoded = DecodePeer(EncodePeer(envelope));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == envelope);
  });
  EXPECT_TRUE(ok);
}

// Guards against a truncated message that is accepted, and against trailing
// bytes that are ignored.
TYPED_TEST(PeerWireTest, CutOrExtendedMessageIsRefused) {
  const bool ok = rc::check([] {
    const std::string data = EncodePeer(MakeEnvelope(AnyValue<TypeParam>()));
    const auto at = *rc::gen::inRange<std::size_t>(0, data.size());
    RC_ASSERT(!DecodePeer(data.substr(0, at)));
    RC_ASSERT(!DecodePeer(data + '\xc0'));
  });
  EXPECT_TRUE(ok);
}

// Guards against a crash on a message with one damaged byte.
TYPED_TEST(PeerWireTest, DamagedByteGivesErrorOrAnotherValidMessage) {
  const bool ok = rc::check([] {
    std::string data = EncodePeer(MakeEnvelope(AnyValue<TypeParam>()));
    data[*rc::gen::inRange<std::size_t>(0, data.size())] =
        *rc::gen::arbitrary<char>();
    if (const auto decoded = DecodePeer(data)) {
      RC_ASSERT(DecodePeer(EncodePeer(*decoded)) == *decoded);
    }
  });
  EXPECT_TRUE(ok);
}

// Guards against exceptions and crashes on untrusted input.
TEST(WireTest, EveryDecoderRejectsRandomBytes) {
  const bool ok = rc::check([] {
    const auto data = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(std::holds_alternative<UnknownRecord>(DecodeRecord(data).body));
    RC_ASSERT(!DecodePeer(data));
    RC_ASSERT(!DecodeEdit(data));
    RC_ASSERT(!DecodeHostList(data));
    RC_ASSERT(!DecodeLogRead(data));
  });
  EXPECT_TRUE(ok);
}

struct BadPeerCase {
  std::string name;
  std::string data;
};

class BadPeerTest : public testing::TestWithParam<BadPeerCase> {};

// Guards against malformed messages that are accepted, overflow the stack or
// cause unbounded allocation.
TEST_P(BadPeerTest, IsRefused) {
  EXPECT_FALSE(DecodePeer(GetParam().data));
}

INSTANTIATE_TEST_SUITE_P(
    Peer,
    BadPeerTest,
    testing::Values(
        BadPeerCase{"Empty", ""},
        BadPeerCase{"HugeArray", "\xdd\xff\xff\xff\xff\x01"},
        BadPeerCase{"HugeString", "\x95\xdb\xff\xff\xff\xff"},
        BadPeerCase{"HugeBinary", "\x95\xc6\xff\xff\xff\xff"},
        BadPeerCase{"DeepNesting", std::string(1'000'000, '\x91')},
        BadPeerCase{"ManyValues", "\xdd" + std::string("\0\x0f\x42\x40", 4) +
                                      std::string(1'000'000, '\xc0')},
        BadPeerCase{"OtherProtocol", "\x95\x02\xa1n\x01\x01\x08"},
        BadPeerCase{"UnknownType", "\x95\x01\xa1n\x01\x01\x63"},
        BadPeerCase{"NegativeIncarnation", "\x95\x01\xa1n\xff\x01\x08"},
        BadPeerCase{"TooManyFields", "\x96\x01\xa1n\x01\x01\x08\x01"},
        BadPeerCase{"InvalidUtf8Name", "\x95\x01\xa1\xff\x01\x01\x08"},
        BadPeerCase{"NegativeUnits",
                    std::string("\x97\x01\xa1n\x01\x01\x03\x05\x91\x92\x92"
                                "\x00\xa1m\xff",
                                15)}),
    [](const auto& it) { return it.param.name; });

// Guards against cases of BadPeerTest that are refused for another reason than
// the one they test.
TEST(WireTest, SmallestPeerMessageIsAccepted) {
  EXPECT_TRUE(DecodePeer("\x95\x01\xa1n\x01\x01\x08"));
  EXPECT_TRUE(DecodePeer(std::string(
      "\x97\x01\xa1n\x01\x01\x03\x05\x91\x92\x92\x00\xa1m\x01", 15)));
}

struct UnknownCase {
  std::string name;
  std::string text;
  std::string reason;
};

class UnknownRecordTest : public testing::TestWithParam<UnknownCase> {};

// Guards against losing the writer's sequence number on a record of a newer
// release: the next record would look like a gap or a duplicate.
TEST_P(UnknownRecordTest, KeepsWriterAndSequence) {
  const Record record = DecodeRecord(GetParam().text);
  EXPECT_EQ(record.writer, (WriterId{NodeId("n1"), Incarnation(5)}));
  EXPECT_EQ(record.sequence, RecordSequence(9));
  ASSERT_TRUE(std::holds_alternative<UnknownRecord>(record.body));
  EXPECT_EQ(std::get<UnknownRecord>(record.body).reason, GetParam().reason);
}

constexpr const char* kWriterAndSequence =
    R"("writer":{"node":"n1","incarnation":5},"sequence":9)";

INSTANTIATE_TEST_SUITE_P(
    Records,
    UnknownRecordTest,
    testing::Values(
        UnknownCase{"NewerFormat",
                    std::string(R"({"format":2,"type":"planner-claim",)") +
                        R"("term":1,)" + kWriterAndSequence + "}",
                    "format 2 is newer than 1"},
        UnknownCase{"UnknownType",
                    std::string(R"({"format":1,"type":"host-move",)") +
                        kWriterAndSequence + "}",
                    "unknown type \"host-move\""},
        UnknownCase{"MalformedBody",
                    std::string(R"({"format":1,"type":"planner-claim",)") +
                        R"("term":-1,)" + kWriterAndSequence + "}",
                    "malformed planner-claim"},
        UnknownCase{"NoFormat", std::string("{") + kWriterAndSequence + "}",
                    "no valid format"}),
    [](const auto& it) { return it.param.name; });

// Guards against unbounded recursion and memory use on text from the log.
TEST(WireTest, DeepOrHugeRecordIsUnknown) {
  for (const std::string& text :
       {std::string(1'000'000, '['),
        "{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}",
        "[0" + std::string(600'000, ',') + "]",
        std::string(R"({"format":1,"format":1})")}) {
    EXPECT_EQ(DecodeRecord(text).body,
              RecordBody(UnknownRecord{"not a JSON object"}));
  }
}

// Guards against a snapshot that is damaged when a part ends within a UTF-8
// character.
TEST(WireTest, SnapshotPartMayEndWithinACharacter) {
  Record record;
  record.body =
      SnapshotPart{Term(1), "s", Offset(7), 0, 2, "\"Ibadan \xe1\xbb"};
  EXPECT_EQ(DecodeRecord(EncodeRecord(record)), record);
}

TEST(WireTest, EditRoundTrips) {
  const bool ok = rc::check([] {
    const auto edit = AnyValue<TableEdit>();
    const auto decoded = DecodeEdit(EncodeEdit(edit));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == edit);
  });
  EXPECT_TRUE(ok);
}

// Guards against a host list that loses minions or lists workers as minions.
TEST(WireTest, HostListKeepsMinionsAndEntryHosts) {
  const auto list = DecodeHostList(R"({"hosts":[
    {"id":"m1","kind":"minion","service":"booking","address":"127.0.0.1:81",
     "rack":"r1","data_centre":"lag1","state":"leaving"},
    {"id":"w1","kind":"worker"}, {"id":"x","kind":"switch"},
    {"id":"n1","kind":"entry","state":"live"}]})");
  ASSERT_TRUE(list.has_value());
  EXPECT_EQ(list->minions,
            (std::vector<MinionEntry>{{MinionId("m1"), ServiceId("booking"),
                                       HostId("m1"), "127.0.0.1:81",
                                       DataCentreId("lag1"), true}}));
  EXPECT_EQ(list->entry_hosts,
            (std::vector<EntryHostEntry>{{NodeId("n1"), false}}));
  EXPECT_FALSE(DecodeHostList(
      R"({"hosts":[{"id":"n1","kind":"entry","state":"asleep"}]})"));
}

// Guards against log entries that are applied twice or out of order.
TEST(WireTest, LogReadChecksOffsets) {
  const auto body = [](const std::string& offsets) {
    return R"({"first":3,"next":9,"records":[)" + offsets + "]}";
  };
  const std::string four = R"({"offset":4,"body":"junk"})";
  const std::string six = R"({"offset":6,"body":"{}"})";
  const auto read = DecodeLogRead(body(four + "," + six));
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->first, Offset(3));
  EXPECT_EQ(read->next, Offset(9));
  ASSERT_EQ(read->entries.size(), 2U);
  EXPECT_EQ(read->entries[1].offset, Offset(6));
  EXPECT_FALSE(DecodeLogRead(body(six + "," + four)));
  EXPECT_FALSE(DecodeLogRead(body(four + "," + four)));
  EXPECT_FALSE(DecodeLogRead(body(R"({"offset":9,"body":""})")));
  EXPECT_FALSE(DecodeLogRead(body(R"({"offset":2,"body":""})")));
}

// Guards against heartbeats that exceed the budget of 4 KB/s per node with 81
// nodes: to 8 peers each second with loads, to 72 every 10 s without.
TEST(WireTest, HeartbeatsFitTheTrafficBudget) {
  Heartbeat heartbeat;
  heartbeat.data_centre = DataCentreId("lag1");
  heartbeat.view = ViewNumber(41);
  heartbeat.released_view = ViewNumber(41);
  heartbeat.next_offset = Offset(123456);
  heartbeat.version = TableVersion(312);
  for (int n = 2; n <= 9; ++n) {
    heartbeat.hears.emplace_back("lag1-n" + std::to_string(n));
  }
  const std::size_t bytes_without_loads =
      EncodePeer(MakeEnvelope(heartbeat)).size();
  for (const char* service :
       {"booking", "sizing", "deposits", "quotes", "tours"}) {
    heartbeat.loads.push_back({ServiceId(service), Units(70), Units(3)});
  }
  const std::size_t bytes_with_loads =
      EncodePeer(MakeEnvelope(heartbeat)).size();
  const std::size_t bytes_per_second =
      8 * bytes_with_loads + 72 * bytes_without_loads / 10;
  std::cout << "heartbeat, 9 nodes: " << bytes_with_loads
            << " B with 5 services, " << bytes_without_loads
            << " B without; 81 nodes: " << bytes_per_second
            << " B/s per node\n";
  RecordProperty("heartbeat_bytes", static_cast<int>(bytes_with_loads));
  EXPECT_LT(bytes_per_second, 4096U);
}

}  // namespace
}  // namespace baobab
