#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "libjobs/demand_tracker.h"
#include "libjobs/pool_balance.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = Time(std::chrono::seconds(100));

/** Makes a job of one step of 4 tasks of 5 cores for 1 s: 20 core-seconds. */
Job MakeJob(const std::string& id) {
  Job job;
  job.id = JobId(id);
  job.service = ServiceId("pool");
  StepSpec step;
  step.count = 4;
  step.need = {5'000, 100, 0};
  step.estimate = milliseconds(1000);
  job.spec.steps = {step};
  return job;
}

struct ArrivalCase {
  const char* name;
  /** New jobs in the last but one second, and in the last second. */
  int before;
  int newest;
  /** Bounds of the extrapolated cores. */
  double min_cores;
  double max_cores;
};

class ArrivalTest : public testing::TestWithParam<ArrivalCase> {};

// Guards against requesting hosts too late while demand rises, and against
// requesting them for a single job, which is no trend.
TEST_P(ArrivalTest, ExtrapolatesRisingDemand) {
  const auto& it = GetParam();
  DemandTracker tracker;
  int n = 0;
  const auto submit = [&](int jobs, Time from) {
    for (int i = 0; i < jobs; ++i) {
      tracker.RecordAccepted(MakeJob("j" + std::to_string(n++)),
                             from + milliseconds(1000 * i / std::max(1, jobs)));
    }
  };
  submit(it.before, kStart);
  submit(it.newest, kStart + milliseconds(1000));
  const double cores =
      tracker.Arriving(ServiceId("pool"), kStart + milliseconds(1999))
          .ExpectedCores();
  EXPECT_GE(cores, it.min_cores);
  EXPECT_LE(cores, it.max_cores);
}

INSTANTIATE_TEST_SUITE_P(
    Trends,
    ArrivalTest,
    testing::Values(ArrivalCase{"None", 0, 0, 0, 0},
                    ArrivalCase{"OneJob", 0, 1, 0, 0},
                    // About the arriving work, no more.
                    ArrivalCase{"Steady", 25, 25, 300, 500},
                    // At this rise, 40 jobs per second in 2.7 s.
                    ArrivalCase{"Rising", 10, 25, 600, 1400},
                    ArrivalCase{"Falling", 25, 9, 60, 180}),
    [](const auto& info) { return info.param.name; });

// Guards against counting the retries of a refused caller as new demand.
TEST(DemandTrackerTest, CountsAJobThatComesBackOnce) {
  DemandTracker tracker;
  for (int i = 0; i < 9; ++i) {
    tracker.RecordRefused(MakeJob("j" + std::to_string(i)), kStart);
  }
  const auto later = kStart + milliseconds(500);
  const double once =
      tracker.Arriving(ServiceId("pool"), later).ExpectedCores();
  for (int i = 0; i < 9; ++i) {
    tracker.RecordRefused(MakeJob("j" + std::to_string(i)), later);
  }
  EXPECT_EQ(tracker.Arriving(ServiceId("pool"), later).ExpectedCores(), once);
  EXPECT_EQ(tracker.RefusedCores(ServiceId("pool"), later), 9 * 20);
  EXPECT_EQ(tracker.FirstSubmittedAt(JobId("j3"), later), kStart);
  EXPECT_EQ(tracker.FirstSubmittedAt(JobId("other"), later), later);
}

// Guards against memory that grows with every caller that has given up.
TEST(DemandTrackerTest, ForgetsCallersWhoGaveUp) {
  DemandTracker tracker;
  tracker.RecordRefused(MakeJob("j0"), kStart);
  const auto later = kStart + std::chrono::seconds(30);
  tracker.Forget(later);
  EXPECT_EQ(tracker.FirstSubmittedAt(JobId("j0"), later), later);
}

/** Returns the forecast for a pool of `cells` whose demand rises from 40 to 160
 * jobs per second. */
double ForecastOfRise(int cells) {
  std::vector<DemandTracker> trackers(static_cast<std::size_t>(cells));
  for (const auto& [jobs, at] :
       {std::pair(40, kStart), std::pair(160, kStart + milliseconds(1000))}) {
    for (int i = 0; i < jobs; ++i) {
      trackers[static_cast<std::size_t>(i % cells)].RecordAccepted(MakeJob("j"),
                                                                   at);
    }
  }
  ServiceUsage sum;
  for (const auto& it : trackers) {
    ServiceUsage usage;
    usage.arriving =
        it.Arriving(ServiceId("pool"), kStart + milliseconds(1500));
    sum += usage;
  }
  return sum.arriving.ExpectedCores();
}

class DividedDemandTest : public testing::TestWithParam<int> {};

// Start of a demand peak in a pool of several cells. Guards against a forecast
// that gets lower the more cells a pool has, so that hosts are moved too late.
TEST_P(DividedDemandTest, ForecastDoesNotDependOnTheNumberOfCells) {
  EXPECT_NEAR(ForecastOfRise(GetParam()), ForecastOfRise(1), 1e-6);
}

INSTANTIATE_TEST_SUITE_P(Cells, DividedDemandTest, testing::Values(2, 16));

struct BalanceCase {
  const char* name;
  ServiceUsage usage;
  double moving_in;
  double deficit;
  /** Hosts of 64 cores that the pool can spare. */
  int spare;
};

class BalanceTest : public testing::TestWithParam<BalanceCase> {};

// Guards against needless moves, and against taking hosts from a pool that
// needs them.
TEST_P(BalanceTest, ComputesDeficitAndSpareHosts) {
  const auto& it = GetParam();
  PoolBalance balance;
  balance.Add(it.usage, it.moving_in);
  const auto& deficits = balance.deficits();
  EXPECT_EQ(deficits.empty() ? 0 : deficits.begin()->second, it.deficit);
  int spare = 0;
  while (balance.CanSpare(ServiceId("pool"), 64)) {
    balance.RemoveCores(ServiceId("pool"), 64);
    ++spare;
  }
  EXPECT_EQ(spare, it.spare);
}

ServiceUsage Pool(double cores,
                  double used,
                  double late,
                  double long_running,
                  double waiting,
                  double arriving) {
  ServiceUsage usage;
  usage.service = ServiceId("pool");
  usage.cores = cores;
  usage.used = used;
  usage.late = late;
  usage.long_running = long_running;
  usage.waiting = waiting;
  // Steady demand, of which one standard deviation, a tenth of 100 jobs, is not
  // counted.
  usage.arriving.newest = {100, arriving / 0.9};
  usage.arriving.previous = usage.arriving.newest;
  return usage;
}

INSTANTIATE_TEST_SUITE_P(
    Pools,
    BalanceTest,
    testing::Values(
        BalanceCase{"Idle", Pool(640, 0, 0, 0, 0, 0), 0, 0, 7},
        BalanceCase{"Waits", Pool(640, 640, 0, 0, 100, 0), 0, 100, 0},
        BalanceCase{"HostsOnTheirWay", Pool(640, 640, 0, 0, 100, 0), 64, 36, 0},
        BalanceCase{"WorkArrives", Pool(640, 100, 0, 0, 0, 900), 0, 260, 0},
        BalanceCase{"OnlyLateWork", Pool(640, 0, 640, 0, 0, 0), 0, 0, 7},
        BalanceCase{"Lasting", Pool(640, 0, 0, 400, 0, 0), 0, 0, 0}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace baobab
