#include <gtest/gtest.h>

#include "libwire/wire.h"
#include "wire_generators.h"

namespace baobab {
namespace {

template <typename T>
std::string EncodeAsReply(const T& reply) {
  return EncodeReply(CommandReply(reply));
}

template <typename T>
class ReplyWireTest : public testing::Test {};
using ReplyTypes = testing::Types<StatusReport, EditReply, HistoryReply, Error>;
TYPED_TEST_SUITE(ReplyWireTest, ReplyTypes);

// Guards against a reply that changes when it is encoded and decoded.
TYPED_TEST(ReplyWireTest, RoundTrips) {
  const bool ok = rc::check([] {
    const std::string text = EncodeAsReply(AnyValue<TypeParam>());
    const auto decoded = DecodeReply(text);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(std::holds_alternative<TypeParam>(*decoded));
    RC_ASSERT(EncodeReply(*decoded) == text);
  });
  EXPECT_TRUE(ok);
}

// Guards against a crash of the command on a damaged or truncated reply.
TYPED_TEST(ReplyWireTest, DamageGivesErrorOrAnotherValidReply) {
  const bool ok = rc::check([] {
    std::string text = EncodeAsReply(AnyValue<TypeParam>());
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!DecodeReply(text.substr(0, at)));
    text[at] = *rc::gen::arbitrary<char>();
    if (const auto decoded = DecodeReply(text)) {
      RC_ASSERT(DecodeReply(EncodeReply(*decoded)).has_value());
    }
  });
  EXPECT_TRUE(ok);
}

TEST(ReplyTest, TableRoundTrips) {
  TableReply reply;
  reply.version = TableVersion(41);
  reply.table.teams[TeamId("guild")] = {TeamId("guild"), Units(7)};
  const auto decoded = DecodeReply(EncodeAsReply(reply));
  ASSERT_TRUE(decoded.has_value());
  const auto& table = std::get<TableReply>(*decoded);
  EXPECT_EQ(table.version, reply.version);
  EXPECT_EQ(table.table, reply.table);
}

// Guards against a faulty table that is decoded as an empty one.
TEST(ReplyTest, FaultyTableIsRefused) {
  EXPECT_FALSE(DecodeReply(R"({"type":"table","version":1,"csv":"[x]\ny\n"})"));
  EXPECT_FALSE(DecodeReply(R"({"type":"table","version":1})"));
  EXPECT_FALSE(DecodeReply(R"({"type":"other"})"));
}

}  // namespace
}  // namespace baobab
