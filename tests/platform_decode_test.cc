#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "platform/decode.h"
#include "platform/followed_topic.h"
#include "platform/log_records.h"

namespace baobab::platform {
namespace {

constexpr char kWorker[] =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"seq":4,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clock_ms":482113,"born":17,"machine":"m-1"})";

// Guards against fields of the platform that are read into the wrong member.
TEST(DecodeTest, ReadsAWorker) {
  const auto worker = DecodeWorker("i-1", kWorker);
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker->id, WorkerId("i-1"));
  EXPECT_EQ(worker->host, HostId("m-1"));
  EXPECT_EQ(worker->capacity.cpu_milli, 16000);
  EXPECT_EQ(worker->incarnation, 17);
  EXPECT_FALSE(worker->draining);
}

// Guards against a slow reader that decodes each configuration of a quick
// succession: it reports a key once, with its newest value.
TEST(FollowedTopicTest, ReportsAChangedKeyOnce) {
  FollowedTopic topic{"keyed.op"};
  topic.Reset({{"config", "v1"}, {"wave/1", "w"}}, 7);
  topic.changed.clear();
  topic.Append(
      {{"config", "v2"}, {"config", "v3"}, {"wave/1", ""}, {"config", "v4"}});
  EXPECT_EQ(topic.changed, (std::set<std::string>{"config", "wave/1"}));
  EXPECT_EQ(topic.values,
            (std::map<std::string, std::string>{{"config", "v4"}}));
  EXPECT_EQ(topic.next, 11u);
}

class BadWorkerTest : public testing::TestWithParam<const char*> {};

// Guards against invalid entries, such as those of other writers, that are used
// as workers.
TEST_P(BadWorkerTest, NamesNoWorker) {
  EXPECT_FALSE(DecodeWorker("i-1", GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    BadWorkerTest,
    testing::Values("",
                    "null",
                    "[]",
                    "{",
                    "\xff\xfe",
                    R"({"service":"s"})",
                    R"({"service":7,"address":"a","state":"ready"})",
                    R"({"service":"s","address":"a","state":"asleep",)"
                    R"("capacity":{},"labels":[]})",
                    R"({"service":"s","address":"a","state":"ready",)"
                    R"("capacity":{"cpu":"x"},"labels":[]})"));

TEST(DecodeTest, ReadsAJob) {
  const auto job = DecodeJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"estimate_ms":900,)"
      R"("affinity":"r1-3"},{"count":2,"depends_on":[0],"anti_affinity":1,)"
      R"("requires":"b","long_running":true,"may_miss":1}]})");
  ASSERT_TRUE(job.has_value());
  EXPECT_EQ(job->steps[0].data_rack, "r1-3");
  EXPECT_EQ(job->steps[0].estimate, std::chrono::milliseconds(900));
  EXPECT_EQ(job->steps[1].after, std::vector<int>{0});
  EXPECT_EQ(job->steps[1].max_per_worker, 1);
  EXPECT_EQ(job->steps[1].label, "b");
  EXPECT_TRUE(job->steps[1].long_running);
}

class BadJobTest : public testing::TestWithParam<const char*> {};

// Guards against malformed bodies that crash the process or are accepted in
// part.
TEST_P(BadJobTest, IsAnError) {
  EXPECT_FALSE(DecodeJob(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    BadJobTest,
    testing::Values("",
                    "{}",
                    "[1]",
                    R"({"steps":{}})",
                    R"({"steps":[7]})",
                    R"({"steps":[{"count":-1}]})",
                    R"({"steps":[{"count":1e99}]})",
                    R"({"steps":[{"count":1,"estimate_ms":-5}]})",
                    R"({"steps":[{"count":1,"estimate_ms":1e300}]})",
                    R"({"steps":[{"count":1,"depends_on":["x"]}]})",
                    R"({"spec":9,"steps":[]})"));

TEST(DecodeTest, ReadsAReport) {
  const auto report = DecodeReport(
      R"({"clock_ms":5,"born":3,"running":[["5c.0.1.17",2,"c",41,7]],)"
      R"("ended":[[58,"5c.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->running[0].task, (TaskId{JobId("5c"), 0, 1, 17}));
  EXPECT_EQ(report->running[0].percent, 41);
  EXPECT_EQ(report->running[0].load, 7);
  EXPECT_EQ(report->ended[0].number, 58);
  EXPECT_EQ(report->ended[0].kind, EndKind::kDone);
}

struct EndCountCase {
  int ends;
  bool has_more;
};

class EndCountTest : public testing::TestWithParam<EndCountCase> {};

// Guards against a report with the most ends that one holds which passes for a
// list of all ends.
TEST_P(EndCountTest, TellsWhetherMoreEndsMayFollow) {
  Json ended = Json::array();
  for (int n = 1; n <= GetParam().ends; ++n) {
    ended.push_back({n, "5c.0.0." + std::to_string(n), 1, "done", ""});
  }
  const auto report = DecodeReport(DumpJson({{"clock_ms", 5},
                                             {"born", 3},
                                             {"running", Json::array()},
                                             {"ended", ended}}));
  ASSERT_TRUE(report.has_value());
  EXPECT_EQ(report->has_more_ends, GetParam().has_more);
}

INSTANTIATE_TEST_SUITE_P(Counts,
                         EndCountTest,
                         testing::Values(EndCountCase{0, false},
                                         EndCountCase{499, false},
                                         EndCountCase{500, true}));

// Guards against input that crashes the process.
RC_GTEST_PROP(DecodeProperty,
              AnyBytesAreDecodedOrRejected,
              (const std::string& text)) {
  DecodeJob(text);
  DecodeReport(text);
  DecodePolicies(text);
  DecodeWave(text);
  DecodeHosts(text);
  DecodeWorker("i", text);
  DecodeRead(text);
  DecodePage(text);
  DecodeBase64(text);
  ParseTask(text);
}

// Guards against offsets that shift: each record takes one, also a malformed
// one.
TEST(LogRecordsTest, ReadsWhatWasWritten) {
  const std::vector<StoredRecord> records = {{"a/1", "value"}, {"p/1", ""}};
  std::string body(16, '\0');
  body[7] = 9;
  const auto batch = DecodeRead(body + EncodeRecords(records));
  ASSERT_TRUE(batch.has_value());
  EXPECT_EQ(batch->end, 9u);
  EXPECT_EQ(batch->records, records);
  const auto odd = DecodeRead(body + std::string("\0\0\0\1\x7f", 5));
  ASSERT_TRUE(odd.has_value());
  EXPECT_EQ(odd->records.size(), 1u);
}

}  // namespace
}  // namespace baobab::platform
