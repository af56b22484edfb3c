#include "baobabfront/apply_edit.h"

#include <gtest/gtest.h>

#include "baobabfront/status_text.h"

namespace baobab {
namespace {

const Address kFirst{"127.0.0.1", 1};
const Address kSecond{"127.0.0.1", 2};

ControlResponse MakeResponse(EditReply reply) {
  return {200, true, CommandReply(std::move(reply))};
}

ControlResponse ResponseWithState(EditState state) {
  EditReply reply;
  reply.state = state;
  reply.version = TableVersion(42);
  return MakeResponse(reply);
}

ControlResponse FailedResponse(int status, bool sent) {
  return {status, sent, tl::unexpected(Error{"POST", "n", "failed"})};
}

struct ApplyCase {
  std::string name;
  std::vector<ControlResponse> responses;
  ExitCode code;
  /** Substring of the expected text. */
  std::string text;
};

class ApplyTest : public testing::TestWithParam<ApplyCase> {};

// Guards against reporting an edit as not applied although a node may have
// accepted it, and against giving up while another node could give a definite
// result.
TEST_P(ApplyTest, ResendsTheSameEditUntilTheAnswerIsClear) {
  const TableEdit edit{EditId("e1"), "ada", TableVersion(41), {}};
  std::size_t posts = 0;
  const ApplyResult result = ApplyEdit(
      {kFirst, kSecond}, edit, [&](const Address& node, const TableEdit& it) {
        EXPECT_EQ(it, edit);
        EXPECT_EQ(node, posts % 2 == 0 ? kFirst : kSecond);
        return GetParam().responses.at(posts++);
      });
  EXPECT_EQ(result.code, GetParam().code) << result.text;
  EXPECT_NE(result.text.find(GetParam().text), std::string::npos)
      << result.text;
  EXPECT_EQ(posts, GetParam().responses.size());
}

constexpr const char* kUnclearText = "not known whether";
constexpr const char* kNothingChangedText = "not accepted, nothing was changed";

INSTANTIATE_TEST_SUITE_P(
    Apply,
    ApplyTest,
    testing::Values(
        ApplyCase{"InForce",
                  {ResponseWithState(EditState::kInForce)},
                  kExitDone,
                  "version 42 is in force"},
        ApplyCase{"Conflict",
                  {ResponseWithState(EditState::kConflict)},
                  kExitRefused,
                  ""},
        ApplyCase{"Faulty",
                  {ResponseWithState(EditState::kFaulty)},
                  kExitRefused,
                  ""},
        ApplyCase{"Partly",
                  {ResponseWithState(EditState::kPartlyInForce)},
                  kExitPartlyInForce,
                  "not yet in force"},
        ApplyCase{"SecondNodeSettles",
                  {ResponseWithState(EditState::kUnknown),
                   ResponseWithState(EditState::kInForce)},
                  kExitDone,
                  "in force"},
        ApplyCase{
            "NotReachedThenInForce",
            {FailedResponse(0, false), ResponseWithState(EditState::kInForce)},
            kExitDone,
            "in force"},
        ApplyCase{"LostAnswerThenNotAccepted",
                  {FailedResponse(0, true),
                   ResponseWithState(EditState::kNotAccepted)},
                  kExitUnclear,
                  kUnclearText},
        ApplyCase{"NotAcceptedTwice",
                  {ResponseWithState(EditState::kNotAccepted),
                   ResponseWithState(EditState::kNotAccepted)},
                  kExitUnclear,
                  kNothingChangedText},
        ApplyCase{"NeverReached",
                  {FailedResponse(0, false), FailedResponse(0, false)},
                  kExitUnclear,
                  kNothingChangedText},
        ApplyCase{"GatewayTimeout",
                  {FailedResponse(504, true), FailedResponse(0, false)},
                  kExitUnclear,
                  kUnclearText},
        ApplyCase{"BadRequest",
                  {FailedResponse(400, true)},
                  kExitRefused,
                  "refused"}),
    [](const auto& it) { return it.param.name; });

// Guards against giving up after a lost response if only one node is given.
TEST(ApplyTest, OneNodeIsAskedTwice) {
  int posts = 0;
  const auto result =
      ApplyEdit({kFirst}, {}, [&](const Address&, const TableEdit&) {
        return ++posts == 1 ? FailedResponse(0, true)
                            : ResponseWithState(EditState::kInForce);
      });
  EXPECT_EQ(posts, 2);
  EXPECT_EQ(result.code, kExitDone);
}

// Guards against a conflict message that does not name the cell, its value and
// the other author.
TEST(ApplyTest, ConflictNamesCellValueAndAuthor) {
  EditReply reply;
  reply.state = EditState::kConflict;
  reply.conflicts = {
      {{"queues", "booking", "limit"}, "8", "12", "bola", TableVersion(41)}};
  const auto result = ApplyEdit(
      {kFirst}, {},
      [&](const Address&, const TableEdit&) { return MakeResponse(reply); });
  EXPECT_NE(result.text.find("queues/booking/limit: you started from \"8\", it "
                             "is now \"12\", changed by bola in version 41"),
            std::string::npos)
      << result.text;
}

// Guards against a status text that hides that a node is not ready, has a stale
// log or has not heard from a peer.
TEST(StatusTextTest, ShowsReadinessAndSilence) {
  StatusReport report;
  report.node = NodeId("n1");
  report.version = TableVersion(41);
  report.invariant_violations = 3;
  report.queues = {{QueueId("booking"), 7, 8, 100, 2, 1, Duration(1500),
                    Duration(20000), Duration(30000)}};
  report.minions = {
      {MinionId("m1"), ServiceId("s"), "leaving", Units(3), Units(1)}};
  report.peers = {
      {NodeId("n2"), true, Duration(-1), TableVersion(40)},
      {NodeId("n3"), true, std::chrono::milliseconds(2500), TableVersion(41)}};
  const std::string text = FormatStatus(report);
  for (const char* part :
       {"NOT READY", "STALE", "table version 41", "planner none",
        "3 invariant violations", "never heard", "2.5", "leaving", "1.5"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

}  // namespace
}  // namespace baobab
