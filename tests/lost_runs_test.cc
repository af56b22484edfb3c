#include <gtest/gtest.h>

#include <chrono>
#include <ostream>
#include <vector>

#include "libjobs/jobs.h"

namespace baobab {
namespace {

const WorkerId kWorker("w1");
const HostId kHost("h1");
constexpr std::int64_t kIncarnation = 100;

WorkerEntry Entry(const WorkerId& id,
                  const HostId& host,
                  std::int64_t incarnation) {
  WorkerEntry entry;
  entry.id = id;
  entry.host = host;
  entry.incarnation = incarnation;
  return entry;
}

struct LostRunCase {
  const char* name;
  /** Entry of the list of workers after the run was lost. */
  WorkerEntry entry;
  bool crashed;
};

void PrintTo(const LostRunCase& it, std::ostream* os) {
  *os << it.name;
}

class LostRunsTest : public testing::TestWithParam<LostRunCase> {
 protected:
  LostRunsTest() {
    task.worker = kWorker;
    task.host = kHost;
    task.incarnation = kIncarnation;
    lost_runs.Add(id, task, now);
  }

  const TaskId id{JobId("j1"), 0, 0, 0};
  const Time now = Time(std::chrono::seconds(1000));
  Task task;
  LostRuns lost_runs;
};

// Guards against a worker that was only cut off, or a list that is older than
// the run, being taken for a crash, and against a crash that is overlooked.
TEST_P(LostRunsTest, TellsCrashesFromPartitions) {
  EXPECT_EQ(lost_runs.TakeCrashed({GetParam().entry}).size(),
            GetParam().crashed ? 1u : 0u);
  EXPECT_EQ(lost_runs.empty(), GetParam().crashed);
}

INSTANTIATE_TEST_SUITE_P(
    Entries,
    LostRunsTest,
    testing::Values(
        LostRunCase{"SameIncarnation", Entry(kWorker, kHost, kIncarnation),
                    false},
        LostRunCase{"SameIdStartedAgain",
                    Entry(kWorker, kHost, kIncarnation + 1), true},
        LostRunCase{"NewIdOnTheHost",
                    Entry(WorkerId("w2"), kHost, kIncarnation + 1), true},
        LostRunCase{"FormerIdOnTheHost",
                    Entry(WorkerId("w0"), kHost, kIncarnation - 1), false},
        LostRunCase{"OtherHost",
                    Entry(WorkerId("w2"), HostId("h2"), kIncarnation + 1),
                    false}),
    [](const auto& it) { return it.param.name; });

// Guards against runs of a worker that answers again which stay suspicious.
TEST_F(LostRunsTest, WorkerThatAnswersWasCutOff) {
  EXPECT_TRUE(lost_runs.TakeAlive(kWorker, kIncarnation + 1).empty());
  EXPECT_EQ(lost_runs.TakeAlive(kWorker, kIncarnation).size(), 1u);
  EXPECT_TRUE(lost_runs.empty());
}

// Guards against tasks that wait for ever for a host that was removed.
TEST_F(LostRunsTest, HostThatStaysAwayIsForgotten) {
  EXPECT_TRUE(lost_runs.TakeExpired(now + std::chrono::seconds(5)).empty());
  EXPECT_EQ(lost_runs.TakeExpired(now + std::chrono::seconds(60)).size(), 1u);
}

}  // namespace
}  // namespace baobab
