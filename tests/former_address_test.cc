// Answers that come from the address of a worker's former process, where
// another worker listens by then.

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
class FormerAddressTest : public testing::TestWithParam<bool> {
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
      } else if (const auto* stop = std::get_if<StopRun>(&it)) {
        stops.push_back(*stop);
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

  /** Starts the worker again at another address, with one run. */
  void RestartElsewhere() {
    List("10.0.0.1:2", 2000);
    Answer(2000, 1000, {});
    Submit("second");
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_EQ(starts[1].address, "10.0.0.1:2");
    Apply(StartFinished{kWorker, starts[1].task, starts[1].run,
                        OrderResult::kDone, 1100});
    Answer(2000, 1200, {{starts[1].task, starts[1].run, "", 1, 0}});
  }

  /** Lists a second worker; returns whether the run of the second job is
   * ordered again. */
  bool IsStartedAgain() {
    const auto before = starts.size();
    for (int i = 0; i < 100; ++i) {
      now += milliseconds(10);
      Apply(PoolTick{});
    }
    for (auto i = before; i < starts.size(); ++i) {
      if (starts[i].task.job == JobId("second")) {
        return true;
      }
    }
    return false;
  }

  PoolEngine engine{kShard, PoolTuning{}};
  Time now = Time(std::chrono::seconds(1000));
  std::uint64_t version = 0;
  PollWorker last_poll;
  std::vector<CommitId> commits;
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
};

// Guards against a refusal of a start or of a stop, for which another worker at
// the former address is the reason, that ends runs of the new process.
TEST_P(FormerAddressTest, RefusalLosesNoRunOfTheNewProcess) {
  const bool by_stop = GetParam();
  Submit("first");
  ASSERT_EQ(starts.size(), 1u);
  if (by_stop) {
    Apply(StartFinished{kWorker, starts[0].task, starts[0].run,
                        OrderResult::kDone, 10'010});
    Apply(CancelRequested{ReplyId(1), JobId("first")});
    ASSERT_EQ(stops.size(), 1u);
  }
  RestartElsewhere();
  if (by_stop) {
    Apply(StopFinished{kWorker, starts[0].task, starts[0].run,
                       OrderResult::kWrongIncarnation, 1000});
  } else {
    Apply(StartFinished{kWorker, starts[0].task, starts[0].run,
                        OrderResult::kWrongIncarnation, std::nullopt});
  }
  Answer(2000, 1300, {{starts[1].task, starts[1].run, "", 1, 0}});
  EXPECT_FALSE(IsStartedAgain());
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         FormerAddressTest,
                         testing::Bool(),
                         [](const auto& it) {
                           return it.param ? "Stop" : "Start";
                         });

}  // namespace
}  // namespace baobab
