#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libjobs/jobs.h"

namespace baobab {
namespace {

Job MakeJob() {
  Job job;
  job.id = JobId("5c0e7a21d94b36f8");
  job.queue = QueueId("queue");
  job.service = ServiceId("service");
  job.max_attempts = 3;
  job.stretch = 1.6;
  job.target = std::chrono::milliseconds(600);
  job.submitted_wall_ms = 1'700'000'000'000;
  job.spec.payload = std::string("bytes \0 and \xff", 12);
  job.spec.steps.resize(2);
  job.spec.steps[0].count = 2;
  job.spec.steps[0].label = "a";
  job.spec.steps[0].data_rack = "r1";
  job.spec.steps[0].gang = true;
  job.spec.steps[1].after = {0};
  job.spec.steps[1].long_running = true;
  job.spec.steps[1].max_unavailable = 1;
  job.CreateOccurrence(Time{});
  return job;
}

// Guards against a job that a new owner loads differently from what was
// accepted, and against running tasks that it takes for ended.
TEST(StoredJobTest, NewOwnerLoadsWhatWasStored) {
  Job job = MakeJob();
  auto& task = job.occurrences.at(0).steps[0][1];
  task.phase = TaskPhase::kRunning;
  task.run = RunNumber(4);
  task.failures = 1;
  task.worker = WorkerId("w1");
  task.address = "10.0.0.1:7000";
  task.checkpoint = "c";
  const auto loaded =
      DecodeJobs({{AcceptanceKey(job.id), EncodeAcceptance(job)},
                  {ProgressKey(job.id), EncodeProgress(job)}});
  ASSERT_TRUE(loaded.faults.empty());
  const Job& got = loaded.jobs.at(job.id);
  EXPECT_EQ(got.spec, job.spec);
  EXPECT_EQ(got.submitted_wall_ms, job.submitted_wall_ms);
  const auto& inherited = got.occurrences.at(0).steps[0][1];
  EXPECT_EQ(inherited.phase, TaskPhase::kInherited);
  EXPECT_EQ(inherited.run, RunNumber(4));
  EXPECT_EQ(inherited.failures, 1);
  EXPECT_EQ(inherited.worker, WorkerId("w1"));
  EXPECT_EQ(inherited.address, "10.0.0.1:7000");
  EXPECT_EQ(inherited.checkpoint, "c");
  EXPECT_EQ(got.occurrences.at(0).steps[0][0].phase, TaskPhase::kWaiting);
}

// Guards against crashes under a task that a new owner cannot tell from starts
// at workers that were already down.
TEST(StoredJobTest, NewOwnerLoadsWhatIsKnownOfLostRuns) {
  Job job = MakeJob();
  const TaskId lost{job.id, 0, 0, 0};
  auto& tasks = job.occurrences.at(0).steps[0];
  tasks[0].run = RunNumber(2);
  tasks[0].worker = WorkerId("w1");
  tasks[0].host = HostId("h1");
  tasks[0].incarnation = 100;
  tasks[0].confirmed = true;
  tasks[0].doubtful_crashes = 1;
  tasks[0].unexplained_losses = 1;
  tasks[1].phase = TaskPhase::kStarting;
  tasks[1].run = RunNumber(3);
  tasks[1].started_after_poll = true;
  LostRuns lost_runs;
  lost_runs.Add(lost, tasks[0], Time());
  lost_runs.Add({JobId("other"), 0, 0, 0}, tasks[0], Time());
  const auto loaded =
      DecodeJobs({{AcceptanceKey(job.id), EncodeAcceptance(job)},
                  {ProgressKey(job.id), EncodeProgress(job, lost_runs)}});
  ASSERT_TRUE(loaded.faults.empty());
  const auto& got = loaded.jobs.at(job.id).occurrences.at(0).steps[0];
  EXPECT_EQ(got[0].doubtful_crashes, 1);
  EXPECT_EQ(got[0].unexplained_losses, 1);
  EXPECT_FALSE(got[0].started_after_poll);
  EXPECT_TRUE(got[1].started_after_poll);
  ASSERT_EQ(loaded.lost_runs.size(), 1u);
  const auto& run = loaded.lost_runs[0];
  EXPECT_EQ(run.task, lost);
  EXPECT_EQ(run.worker, WorkerId("w1"));
  EXPECT_EQ(run.host, HostId("h1"));
  EXPECT_EQ(run.incarnation, 100);
  EXPECT_TRUE(run.started_on_live_worker);
}

// Guards against a wait for leases that begins anew with the next owner, and
// against a record of a wave in the same shard that is taken for one.
TEST(StoredJobTest, NewOwnerLoadsTheWaitForLeases) {
  const WorkerId worker("i-0643e128");
  const auto wait = std::chrono::milliseconds(2500);
  const auto loaded = DecodeJobs(
      {{LeaseWaitKey(worker), EncodeLeaseWait(wait)}, {"w/7", "\x91\xa1x"}});
  EXPECT_TRUE(loaded.faults.empty());
  ASSERT_EQ(loaded.lease_waits.size(), 1u);
  EXPECT_EQ(loaded.lease_waits.at(worker), wait);
}

// Guards against a start that the next owner takes for answered although it may
// be on its way, and against one of which an earlier release has stored
// nothing.
TEST(StoredJobTest, NewOwnerLoadsWhichStartsMayBeOnTheirWay) {
  Job job = MakeJob();
  auto& tasks = job.occurrences.at(0).steps[0];
  tasks[0].phase = TaskPhase::kStarting;
  tasks[0].run = RunNumber(1);
  tasks[0].placement = PlacementNumber(300);
  const WorkerId worker("w1");
  const std::vector<UnansweredStart> starts = {
      {{job.id, 0, 0, 0}, RunNumber(1), std::chrono::seconds(3), true},
      {{job.id, 0, 0, 1}, RunNumber(2), std::chrono::seconds(0), false}};
  const auto loaded = DecodeJobs(
      {{AcceptanceKey(job.id), EncodeAcceptance(job)},
       {ProgressKey(job.id), EncodeProgress(job)},
       {SettledPlacementsKey(), EncodeSettledPlacements(PlacementNumber(299))},
       {UnansweredStartsKey(worker), EncodeUnansweredStarts(starts)}});
  ASSERT_TRUE(loaded.faults.empty());
  EXPECT_EQ(loaded.settled_placements, PlacementNumber(299));
  const auto& got = loaded.jobs.at(job.id).occurrences.at(0).steps[0];
  EXPECT_EQ(got[0].placement, PlacementNumber(300));
  EXPECT_EQ(got[1].placement, PlacementNumber());
  EXPECT_EQ(loaded.unanswered_starts.at(worker), starts);
  EXPECT_EQ(DecodeJobs({}).settled_placements, PlacementNumber());
}

// Guards against one damaged record that keeps a whole shard from loading.
TEST(StoredJobTest, SkipsRecordsThatCannotBeRead) {
  const Job job = MakeJob();
  const auto loaded =
      DecodeJobs({{AcceptanceKey(job.id), EncodeAcceptance(job)},
                  {"a/other", "no msgpack"},
                  {ProgressKey(job.id), "\x93\x01\x02"},
                  {"", "x"}});
  EXPECT_EQ(loaded.jobs.size(), 1u);
  EXPECT_EQ(loaded.faults.size(), 2u);
}

// Guards against malformed records that terminate the process.
RC_GTEST_PROP(StoredJobProperty,
              AnyBytesAreReadOrSkipped,
              (const std::string& acceptance, const std::string& progress)) {
  const Job job = MakeJob();
  DecodeJobs({{AcceptanceKey(job.id), acceptance}, {"p/x", progress}});
  DecodeJobs({{AcceptanceKey(job.id), EncodeAcceptance(job)},
              {ProgressKey(job.id), progress}});
}

struct SpecCase {
  const char* name;
  void (*damage)(JobSpec&);
};

class CheckSpecTest : public testing::TestWithParam<SpecCase> {};

// Guards against accepting jobs that can never run or would exhaust memory.
TEST_P(CheckSpecTest, RefusesBadJobs) {
  JobSpec spec = MakeJob().spec;
  ASSERT_TRUE(CheckSpec(spec).has_value());
  GetParam().damage(spec);
  EXPECT_FALSE(CheckSpec(spec).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    CheckSpecTest,
    testing::Values(
        SpecCase{"NoSteps", [](JobSpec& it) { it.steps.clear(); }},
        SpecCase{"NoTasks", [](JobSpec& it) { it.steps[0].count = 0; }},
        SpecCase{"TooManyTasks",
                 [](JobSpec& it) { it.steps[0].count = 1'000'000; }},
        SpecCase{"Negative",
                 [](JobSpec& it) { it.steps[0].need.cpu_milli = -1; }},
        SpecCase{"DependsOnItself",
                 [](JobSpec& it) { it.steps[1].after = {1}; }},
        SpecCase{"DependsOnNone",
                 [](JobSpec& it) { it.steps[1].after = {-1}; }}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
