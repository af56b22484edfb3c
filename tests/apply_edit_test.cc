#include "baobabfront/apply_edit.h"

#include <gtest/gtest.h>

#include "baobabfront/status_text.h"

namespace baobab {
namespace {

const Address kFirst{"127.0.0.1", 1};
const Address kSecond{"127.0.0.1", 2};

ControlAnswer Answer(EditReply reply) {
  return {200, true, CommandReply(std::move(reply))};
}

ControlAnswer State(EditState state) {
  EditReply reply;
  reply.state = state;
  reply.version = TableVersion(42);
  return Answer(reply);
}

ControlAnswer Failure(int status, bool sent) {
  return {status, sent, tl::unexpected(Error{"POST", "n", "failed"})};
}

struct ApplyCase {
  std::string name;
  std::vector<ControlAnswer> answers;
  ExitCode code;
  /** Part of the text. */
  std::string text;
};

class ApplyTest : public testing::TestWithParam<ApplyCase> {};

// Guards against an edit reported as not made although a node may have made
// it, and against giving up while another node could settle it.
TEST_P(ApplyTest, ResendsTheSameEditUntilTheAnswerIsClear) {
  const TableEdit edit{EditId("e1"), "ada", TableVersion(41), {}};
  std::size_t posts = 0;
  const ApplyResult result = ApplyEdit(
      {kFirst, kSecond}, edit, [&](const Address& node, const TableEdit& it) {
        EXPECT_EQ(it, edit);
        EXPECT_EQ(node, posts % 2 == 0 ? kFirst : kSecond);
        return GetParam().answers.at(posts++);
      });
  EXPECT_EQ(result.code, GetParam().code) << result.text;
  EXPECT_NE(result.text.find(GetParam().text), std::string::npos)
      << result.text;
  EXPECT_EQ(posts, GetParam().answers.size());
}

constexpr const char* kUnclear = "not known whether";
constexpr const char* kNothing = "not accepted, nothing was changed";

INSTANTIATE_TEST_SUITE_P(
    Apply,
    ApplyTest,
    testing::Values(
        ApplyCase{"InForce",
                  {State(EditState::kInForce)},
                  kExitDone,
                  "version 42 is in force"},
        ApplyCase{"Conflict", {State(EditState::kConflict)}, kExitRefused, ""},
        ApplyCase{"Faulty", {State(EditState::kFaulty)}, kExitRefused, ""},
        ApplyCase{"Partly",
                  {State(EditState::kPartlyInForce)},
                  kExitPartly,
                  "not yet in force"},
        ApplyCase{"SecondNodeSettles",
                  {State(EditState::kUnknown), State(EditState::kInForce)},
                  kExitDone,
                  "in force"},
        ApplyCase{"NotReachedThenInForce",
                  {Failure(0, false), State(EditState::kInForce)},
                  kExitDone,
                  "in force"},
        ApplyCase{"LostAnswerThenNotAccepted",
                  {Failure(0, true), State(EditState::kNotAccepted)},
                  kExitUnclear,
                  kUnclear},
        ApplyCase{
            "NotAcceptedTwice",
            {State(EditState::kNotAccepted), State(EditState::kNotAccepted)},
            kExitUnclear,
            kNothing},
        ApplyCase{"NeverReached",
                  {Failure(0, false), Failure(0, false)},
                  kExitUnclear,
                  kNothing},
        ApplyCase{"GatewayTimeout",
                  {Failure(504, true), Failure(0, false)},
                  kExitUnclear,
                  kUnclear},
        ApplyCase{"BadRequest", {Failure(400, true)}, kExitRefused, "refused"}),
    [](const auto& it) { return it.param.name; });

// Guards against a lost answer that is not asked for again with one node.
TEST(ApplyTest, OneNodeIsAskedTwice) {
  int posts = 0;
  const auto result =
      ApplyEdit({kFirst}, {}, [&](const Address&, const TableEdit&) {
        return ++posts == 1 ? Failure(0, true) : State(EditState::kInForce);
      });
  EXPECT_EQ(posts, 2);
  EXPECT_EQ(result.code, kExitDone);
}

// Guards against a conflict that does not tell whom to talk to.
TEST(ApplyTest, ConflictNamesCellValueAndAuthor) {
  EditReply reply;
  reply.state = EditState::kConflict;
  reply.conflicts = {
      {{"queues", "booking", "limit"}, "8", "12", "bola", TableVersion(41)}};
  const auto result = ApplyEdit(
      {kFirst}, {},
      [&](const Address&, const TableEdit&) { return Answer(reply); });
  EXPECT_NE(result.text.find("queues/booking/limit: you started from \"8\", it "
                             "is now \"12\", changed by bola in version 41"),
            std::string::npos)
      << result.text;
}

// Guards against a status that hides that a node must not get requests.
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
  const std::string text = StatusText(report);
  for (const char* part :
       {"NOT READY", "STALE", "table version 41", "planner none",
        "3 invariant violations", "never heard", "2.5", "leaving", "1.5"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

}  // namespace
}  // namespace baobab
