#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <string>

#include "libjobs/jobs.h"

namespace baobab {
namespace {

constexpr Resources kCapacity{64000, 65536, 0};
constexpr Resources kNeed{1000, 100, 0};

struct SuspectCase {
  const char* name;
  /** Whether a worker has crashed under the task to place. */
  bool suspect;
  /** Worker with a suspected run. */
  const char* with_suspect;
  /** Worker on which the task has failed. */
  const char* failed_on;
  /** Worker that is to be chosen. */
  const char* chosen;
};

void PrintTo(const SuspectCase& it, std::ostream* os) {
  *os << it.name;
}

class SuspectPlacementTest : public testing::TestWithParam<SuspectCase> {};

// Guards against an innocent task that is placed beside one that crashes its
// workers, again and again, although another worker is free.
TEST_P(SuspectPlacementTest, SuspectsAreKeptApart) {
  const ServiceId service("service");
  const Time now(std::chrono::seconds(1000));
  Workers workers;
  for (const auto* const id : {"w0", "w1"}) {
    WorkerEntry entry;
    entry.id = WorkerId(id);
    entry.service = service;
    entry.capacity = kCapacity;
    Worker worker(entry);
    worker.fence_confirmed = true;
    if (id == std::string(GetParam().with_suspect)) {
      worker.AddRun({JobId("other"), 0, 0, 0}, kNeed, 1);
    }
    workers.emplace(entry.id, worker);
  }
  Job job;
  job.service = service;
  job.spec.steps.resize(1);
  job.spec.steps[0].need = kNeed;
  Task task;
  task.crashes = GetParam().suspect ? 1 : 0;
  task.failed_on = WorkerId(GetParam().failed_on);
  const Placement placement(workers, service, now);
  const Worker* worker = placement.Choose(job, 0, 0, task, "");
  ASSERT_NE(worker, nullptr);
  EXPECT_EQ(worker->entry.id, WorkerId(GetParam().chosen));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    SuspectPlacementTest,
    testing::Values(SuspectCase{"OnlyFreeWorkerHasCrashed", true, "w0", "w1",
                                "w1"},
                    SuspectCase{"BothAtOneWorker", true, "w0", "w0", "w1"},
                    SuspectCase{"NoOtherSuspect", true, "", "w0", "w1"},
                    SuspectCase{"NoSuspect", false, "w0", "w1", "w0"}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace baobab
