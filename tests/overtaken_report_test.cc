// Runs that are started on a worker after it has started again, when a report
// that was made before the start arrives after it.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

const WorkerId kWorker{"w0"};
const ServiceId kService{"service"};

/** One engine whose effects the test answers by itself. */
class OvertakenReportTest : public testing::TestWithParam<OrderResult> {
 protected:
  void SetUp() override {
    Apply(ShardLoaded{});
    Apply(DivisionChanged{WholePool(kService)});
    List("10.0.0.1:1", 1000);
    Answer(1000, 10'000, {});
  }

  void Apply(PoolEventBody event) {
    now += milliseconds(2);
    auto effects = engine.Apply({now, 1'700'000'000'000, std::move(event)});
    for (auto& it : effects) {
      if (const auto* commit = std::get_if<StoreCommit>(&it)) {
        commits.push_back(commit->commit);
      } else if (const auto* poll = std::get_if<PollWorker>(&it)) {
        last_poll = *poll;
      } else if (const auto* start = std::get_if<StartRun>(&it)) {
        starts.push_back(*start);
      } else if (const auto* line = std::get_if<LogDecision>(&it);
                 line && line->decision == "run-crashed") {
        crashed.push_back(line->job);
      }
    }
    while (!commits.empty()) {
      const auto commit = commits.back();
      commits.pop_back();
      Apply(CommitStored{commit});
    }
  }

  void List(const std::string& address, std::int64_t incarnation) {
    WorkerEntry entry;
    entry.id = kWorker;
    entry.service = kService;
    entry.host = HostId("host");
    entry.address = address;
    entry.capacity = {64'000, 262144, 0};
    entry.labels = {"a", "r1"};
    entry.incarnation = incarnation;
    auto list = std::make_shared<WorkerList>();
    list->version = ++version;
    list->entries = {entry};
    Apply(WorkersListed{std::move(list), now});
  }

  /** Answers the last poll. */
  void Answer(std::int64_t incarnation,
              std::int64_t clock_ms,
              std::vector<ActiveRun> running) {
    WorkerReport report;
    report.incarnation = incarnation;
    report.clock_ms = clock_ms;
    report.running = std::move(running);
    Apply(PollFinished{kWorker, last_poll.poll, OrderResult::kDone, report});
  }

  void Submit(const std::string& id) {
    QueuePolicy queue;
    queue.name = QueueId("queue");
    queue.service = kService;
    queue.stretch = 1.6;
    queue.target = milliseconds(600);
    JobSpec spec;
    spec.payload = "work";
    spec.steps = {JobWorld::Step(1, 4, 60'000)};
    Apply(SubmitRequested{ReplyId(version + 100), JobId(id), queue, spec});
    Apply(PoolTick{});
    now += milliseconds(20);
    Apply(PoolTick{});
  }

  PoolEngine engine{kShard, PoolTuning{}};
  Time now = Time(std::chrono::seconds(1000));
  std::uint64_t version = 0;
  PollWorker last_poll;
  std::vector<CommitId> commits;
  std::vector<StartRun> starts;
  std::vector<JobId> crashed;
};

// Guards against suspicion of a task whose run is alive in the new process.
TEST_P(OvertakenReportTest, RunOfTheNewProcessHasNotCrashed) {
  Submit("first");
  Apply(StartFinished{kWorker, starts[0].task, starts[0].run,
                      OrderResult::kDone, 10'010});
  Answer(1000, 10'050, {{starts[0].task, starts[0].run, "", 1, 0}});
  Submit("second");
  ASSERT_EQ(starts.size(), 2u);
  Answer(2000, 1000, {});
  Apply(StartFinished{kWorker, starts[1].task, starts[1].run, GetParam(),
                      std::nullopt});
  Answer(2000, 1020, {{starts[1].task, starts[1].run, "", 1, 0}});
  EXPECT_EQ(crashed, std::vector{JobId("first")});
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         OvertakenReportTest,
                         testing::Values(OrderResult::kDone,
                                         OrderResult::kUnknown),
                         [](const auto& it) {
                           return it.param == OrderResult::kDone ? "Answered"
                                                                 : "Unanswered";
                         });

}  // namespace
}  // namespace baobab
