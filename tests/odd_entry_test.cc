// Entries of other writers in the topics of the platform and in our own:
// nested deeply, with numbers out of range or with bytes that are no text. Each
// is rejected, and the other entries hold.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "libfleet/peer_calls.h"
#include "libjobs/jobs.h"
#include "platform/decode.h"

namespace baobab {
namespace {

/** A record of the largest size; a message of a peer may be larger. */
constexpr std::size_t kNestingDepth = 256u << 10;

/** Returns MessagePack arrays of one element, each within another. */
std::string NestedMessagePack() {
  return std::string(kNestingDepth, '\x91') + '\xc0';
}

std::string NestedJson(const char* open, const char* close) {
  std::string text;
  for (std::size_t n = 0; n < kNestingDepth; ++n) {
    text += open;
  }
  text += '1';
  for (std::size_t n = 0; n < kNestingDepth; ++n) {
    text += close;
  }
  return text;
}

struct NestingCase {
  const char* name;
  /** Passes deeply nested data to a reader and returns what it made of it. */
  bool (*is_rejected)();
};

class NestingTest : public testing::TestWithParam<NestingCase> {};

// Guards against a reader or a destructor that recurses for each level of
// nesting, so that one entry overflows the stack of each process that reads it.
TEST_P(NestingTest, IsRejected) {
  EXPECT_TRUE(GetParam().is_rejected());
}

INSTANTIATE_TEST_SUITE_P(
    Readers,
    NestingTest,
    testing::Values(
        NestingCase{
            "Job",
            [] {
              return DecodeJobs({{"a/1", NestedMessagePack()}}).faults.size() ==
                     1;
            }},
        NestingCase{
            "Progress",
            [] {
              return DecodeJobs({{"p/1", NestedMessagePack()}}).faults.size() ==
                     1;
            }},
        NestingCase{
            "Delegation",
            [] {
              return DecodeJobs({{"d/1", NestedMessagePack()}}).faults.size() ==
                     1;
            }},
        NestingCase{"Division",
                    [] {
                      return !DecodeDivision({{"pool", NestedMessagePack()}})
                                  .Contains(ServiceId("pool"));
                    }},
        NestingCase{"PlannerWave",
                    [] {
                      HostPlanner planner{PlannerTuning()};
                      const auto effects = planner.Apply(
                          {Time{}, 0,
                           PlannerLoaded{{{"w/1", NestedMessagePack()}}}});
                      return !effects.empty();
                    }},
        NestingCase{"PeerCall",
                    [] {
                      int status = 0;
                      ServePeer(
                          {"POST", "/ask", {}, NestedMessagePack()},
                          [](ShardId) -> ShardOwner* { return nullptr; },
                          [] { return true; },
                          [&](const HttpResponse& it) { status = it.status; });
                      return status == 400;
                    }},
        NestingCase{
            "WorkerArrays",
            [] { return !platform::DecodeWorker("i", NestedJson("[", "]")); }},
        NestingCase{"WorkerObjects",
                    [] {
                      return !platform::DecodeWorker(
                          "i", NestedJson("{\"a\":", "}"));
                    }},
        NestingCase{
            "Configuration",
            [] { return !platform::DecodePolicies(NestedJson("[", "]")); }},
        NestingCase{"CallersJob",
                    [] { return !platform::DecodeJob(NestedJson("[", "]")); }},
        NestingCase{"Report",
                    [] {
                      return !platform::DecodeReport(
                          "{\"running\":" + NestedJson("[", "]") + "}");
                    }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace baobab
