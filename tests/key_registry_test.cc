#include "libdecision/key_registry.h"

#include <gtest/gtest.h>

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

const Time kStart{std::chrono::hours(1)};

NodeConfig Config(const std::string& id, std::uint64_t incarnation = 5) {
  NodeConfig config;
  config.id = NodeId(id);
  config.incarnation = Incarnation(incarnation);
  for (const char* peer : {"a", "b", "c"}) {
    if (peer != id) {
      config.peers.push_back({NodeId(peer), DataCentreId("d1")});
    }
  }
  return config;
}

template <typename Message>
Message TakeSent(Effects& effects) {
  for (const Effect& it : effects) {
    const auto* send = std::get_if<SendPeer>(&it);
    if (send != nullptr && std::holds_alternative<Message>(send->message)) {
      const Message message = std::get<Message>(send->message);
      effects.clear();
      return message;
    }
  }
  throw std::runtime_error("no such message was sent");
}

struct ParseCase {
  std::string text;
  bool ok;
};

class KeyParseTest : public testing::TestWithParam<ParseCase> {};

// Guards against accepting other text in Idempotency-Key as a key.
TEST_P(KeyParseTest, AcceptsOnlyWhatFormatWrites) {
  const Result<KeyName> key = ParseKey(GetParam().text);
  ASSERT_EQ(key.has_value(), GetParam().ok);
  if (key) {
    EXPECT_EQ(FormatKey(*key), GetParam().text);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Keys,
    KeyParseTest,
    testing::Values(ParseCase{"a.5.1", true},
                    ParseCase{"a.dc1.5.18446744073709551615", true},
                    ParseCase{"a.5.18446744073709551616", false},
                    ParseCase{"a.5.01", false},
                    ParseCase{"a.5.-1", false},
                    ParseCase{"a.5.", false},
                    ParseCase{".5.1", false},
                    ParseCase{"5.1", false},
                    ParseCase{".1", false},
                    ParseCase{"", false}));

struct EndCase {
  Outcome outcome;
  std::size_t body;
  ClaimState next;
  int status;
};

class KeyEndTest : public testing::TestWithParam<EndCase> {};

// Guards against a repeated request that runs again, or that gets no answer
// although one is stored, on the issuing node and on another.
TEST_P(KeyEndTest, DecidesTheNextClaim) {
  const StoredAnswer answer{GetParam().body > 0 ? 200 : 0, "",
                            std::string(GetParam().body, 'x')};
  KeyRegistry a(Config("a"));
  KeyRegistry b(Config("b"));
  Effects effects;
  for (const bool remote : {false, true}) {
    const std::string key = *a.Issue(kStart);
    const RequestId first(1);
    if (remote) {
      ASSERT_EQ(b.Claim(first, key, kStart, effects).state,
                ClaimState::kPending);
      const auto claim = TakeSent<KeyClaim>(effects);
      a.OnClaim(NodeId("b"), Incarnation(5), claim, kStart, effects);
      const auto reply = TakeSent<KeyClaimReply>(effects);
      EXPECT_EQ(b.OnReply(NodeId("a"), Incarnation(5), reply, effects)->state,
                ClaimState::kGranted);
      EXPECT_FALSE(b.OnReply(NodeId("a"), Incarnation(5), reply, effects));
      EXPECT_EQ(a.Claim(RequestId(9), key, kStart, effects).state,
                ClaimState::kInProgress);
      b.Report(first, GetParam().outcome, answer, kStart, effects);
      const auto outcome = TakeSent<KeyOutcome>(effects);
      a.OnOutcome(NodeId("b"), Incarnation(5), outcome, kStart, effects);
    } else {
      ASSERT_EQ(a.Claim(first, key, kStart, effects).state,
                ClaimState::kGranted);
      EXPECT_EQ(a.Claim(RequestId(9), key, kStart, effects).state,
                ClaimState::kInProgress);
      a.Report(first, GetParam().outcome, answer, kStart, effects);
    }
    const ClaimResult next = a.Claim(RequestId(2), key, kStart, effects);
    EXPECT_EQ(next.state, GetParam().next);
    EXPECT_EQ(next.answer.status, GetParam().status);
    if (next.state == ClaimState::kFinished) {
      EXPECT_EQ(next.outcome, GetParam().outcome);
    }
    a.Report(RequestId(2), Outcome::kUnknown, {}, kStart, effects);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ends,
    KeyEndTest,
    testing::Values(
        EndCase{Outcome::kDone, 64 << 10, ClaimState::kFinished, 200},
        EndCase{Outcome::kDone, (64 << 10) + 1, ClaimState::kFinished, 0},
        EndCase{Outcome::kDone, 0, ClaimState::kFinished, 0},
        EndCase{Outcome::kUnknown, 0, ClaimState::kFinished, 0},
        EndCase{Outcome::kNotRun, 0, ClaimState::kGranted, 0}));

// Guards against delayed or duplicated messages of an ended request that
// release the key of a later holder, or claim it for a request that is gone.
TEST(KeyRegistryTest, DuplicatesOfAFormerHolderChangeNothing) {
  KeyRegistry a(Config("a"));
  Effects effects;
  a.Issue(kStart).value();
  const Incarnation issuer(5);
  const auto claim = [&](std::uint64_t incarnation, std::uint64_t request) {
    a.OnClaim(NodeId("b"), Incarnation(incarnation),
              {RequestId(request), 1, issuer}, kStart, effects);
    return TakeSent<KeyClaimReply>(effects).state;
  };
  const auto not_run = [&](std::uint64_t incarnation, std::uint64_t request) {
    a.OnOutcome(
        NodeId("b"), Incarnation(incarnation),
        {1, issuer, static_cast<int>(Outcome::kNotRun), {}, RequestId(request)},
        kStart, effects);
  };
  EXPECT_EQ(claim(5, 1), KeyState::kGranted);
  EXPECT_EQ(claim(5, 1), KeyState::kGranted);
  not_run(5, 1);
  EXPECT_EQ(claim(5, 1), KeyState::kInProgress);
  // The same request id of a later incarnation is another holder.
  EXPECT_EQ(claim(6, 1), KeyState::kGranted);
  not_run(5, 1);
  not_run(6, 2);
  EXPECT_EQ(claim(6, 2), KeyState::kInProgress);
  for (std::uint64_t request = 1; request < 8; ++request) {
    not_run(6, request);
    EXPECT_EQ(claim(6, request + 1), KeyState::kGranted);
  }
  // The list of former holders is full, so the key is not released again.
  not_run(6, 8);
  EXPECT_EQ(claim(6, 9), KeyState::kFinished);
}

// Guards against running a request after its caller was told "unknown".
TEST(KeyRegistryTest, GrantAfterTimeoutIsNotUsed) {
  KeyRegistry a(Config("a"));
  KeyRegistry b(Config("b"));
  Effects effects;
  const std::string key = *a.Issue(kStart);
  b.Claim(RequestId(1), key, kStart, effects);
  const auto claim = TakeSent<KeyClaim>(effects);
  EXPECT_TRUE(b.TakeTimedOut(kStart + milliseconds(1999)).empty());
  EXPECT_EQ(b.TakeTimedOut(kStart + milliseconds(2000)).size(), 1U);
  a.OnClaim(NodeId("b"), Incarnation(5), claim, kStart, effects);
  const auto reply = TakeSent<KeyClaimReply>(effects);
  ASSERT_EQ(reply.state, KeyState::kGranted);
  EXPECT_FALSE(b.OnReply(NodeId("a"), Incarnation(5), reply, effects));
  EXPECT_FALSE(b.Holds(RequestId(1)));
  EXPECT_EQ(a.Claim(RequestId(2), key, kStart, effects).state,
            ClaimState::kInProgress);
}

// Guards against grants by a process that did not issue the key, and by nodes
// that cannot be its issuer.
TEST(KeyRegistryTest, OnlyTheIssuingProcessGrants) {
  KeyRegistry a(Config("a"));
  KeyRegistry restarted(Config("a", 6));
  KeyRegistry b(Config("b"));
  Effects effects;
  const std::string key = *a.Issue(kStart);
  restarted.Issue(kStart).value();
  for (const std::string& text :
       std::vector<std::string>{key, "a.6.2", "z.5.1"}) {
    EXPECT_EQ(restarted.Claim(RequestId(1), text, kStart, effects).state,
              ClaimState::kUnresolved);
  }
  b.Claim(RequestId(1), key, kStart, effects);
  restarted.OnClaim(NodeId("b"), Incarnation(5), TakeSent<KeyClaim>(effects),
                    kStart, effects);
  KeyClaimReply reply = TakeSent<KeyClaimReply>(effects);
  EXPECT_EQ(reply.state, KeyState::kUnknownKey);
  reply.state = KeyState::kGranted;
  EXPECT_FALSE(b.OnReply(NodeId("a"), Incarnation(6), reply, effects));
  EXPECT_FALSE(b.OnReply(NodeId("c"), Incarnation(5), reply, effects));
  reply.state = KeyState::kUnknownKey;
  EXPECT_EQ(b.OnReply(NodeId("a"), Incarnation(6), reply, effects)->state,
            ClaimState::kUnresolved);
}

// Guards against keys that expire too early, and against unbounded memory for
// keys and answers.
TEST(KeyRegistryTest, KeysExpireAndMemoryIsBounded) {
  KeyRegistry a(Config("a"));
  Effects effects;
  const std::string unused = *a.Issue(kStart);
  const std::string silent = *a.Issue(kStart);
  const Time later = kStart + minutes(10) - milliseconds(1);
  EXPECT_EQ(a.Claim(RequestId(1), silent, later, effects).state,
            ClaimState::kGranted);
  EXPECT_EQ(a.Claim(RequestId(2), unused, kStart + minutes(10), effects).state,
            ClaimState::kUnresolved);
  EXPECT_EQ(a.Claim(RequestId(2), silent, later + minutes(9), effects).state,
            ClaimState::kInProgress);
  a.Advance(later + minutes(10));
  EXPECT_EQ(a.keys(), 0U);
  const Time end = later + minutes(10);
  const StoredAnswer answer{200, "", std::string(64 << 10, 'x')};
  std::vector<std::string> keys;
  for (std::uint64_t n = 0; n < 129; ++n) {
    keys.push_back(*a.Issue(end));
    a.Claim(RequestId(100 + n), keys.back(), end, effects);
    a.Report(RequestId(100 + n), Outcome::kDone, answer, end, effects);
  }
  EXPECT_EQ(a.answer_bytes(), KeyRegistry::kMaxTotalAnswerSize);
  const ClaimResult dropped = a.Claim(RequestId(1), keys[0], end, effects);
  EXPECT_EQ(dropped.state, ClaimState::kFinished);
  EXPECT_EQ(dropped.outcome, Outcome::kDone);
  EXPECT_EQ(dropped.answer.status, 0);
  EXPECT_EQ(a.Claim(RequestId(1), keys[1], end, effects).answer, answer);
  while (a.keys() < KeyRegistry::kMaxKeys) {
    a.Issue(end).value();
  }
  EXPECT_FALSE(a.Issue(end));
  EXPECT_TRUE(a.Issue(end + minutes(10)));
  EXPECT_EQ(a.answer_bytes(), Bytes(0));
}

}  // namespace
}  // namespace baobab
