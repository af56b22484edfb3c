#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "libjobs/demand_book.h"
#include "libjobs/pool_balance.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart = Time(std::chrono::seconds(100));

/** A job of one step of 4 tasks of 5 cores for 1 s: 20 core-seconds. */
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
  /** New jobs in the second before last, and in the last one. */
  int before;
  int newest;
  double least;
  double most;
};

class ArrivalTest : public testing::TestWithParam<ArrivalCase> {};

// Guards against hosts that are ordered too late while demand rises, and for
// single jobs, which are no trend.
TEST_P(ArrivalTest, ExtrapolatesWhatRises) {
  const auto& it = GetParam();
  DemandBook book;
  int n = 0;
  const auto ask = [&](int jobs, Time from) {
    for (int i = 0; i < jobs; ++i) {
      book.NoteAccepted(MakeJob("j" + std::to_string(n++)),
                        from + milliseconds(1000 * i / std::max(1, jobs)));
    }
  };
  ask(it.before, kStart);
  ask(it.newest, kStart + milliseconds(1000));
  const double cores =
      book.ArrivingCores(ServiceId("pool"), kStart + milliseconds(1999));
  EXPECT_GE(cores, it.least);
  EXPECT_LE(cores, it.most);
}

INSTANTIATE_TEST_SUITE_P(
    Trends,
    ArrivalTest,
    testing::Values(ArrivalCase{"None", 0, 0, 0, 0},
                    ArrivalCase{"OneJob", 0, 1, 0, 0},
                    // Steady: about what arrives, not more.
                    ArrivalCase{"Steady", 25, 25, 300, 500},
                    // 40 a second within 2.7 s at this rise.
                    ArrivalCase{"Rising", 10, 25, 600, 1400},
                    ArrivalCase{"Falling", 25, 9, 60, 180}),
    [](const auto& info) { return info.param.name; });

// Guards against demand that callers raise by coming back.
TEST(DemandBookTest, CountsAJobThatComesBackOnce) {
  DemandBook book;
  for (int i = 0; i < 9; ++i) {
    book.NoteRefused(MakeJob("j" + std::to_string(i)), kStart);
  }
  const auto later = kStart + milliseconds(500);
  const double once = book.ArrivingCores(ServiceId("pool"), later);
  for (int i = 0; i < 9; ++i) {
    book.NoteRefused(MakeJob("j" + std::to_string(i)), later);
  }
  EXPECT_EQ(book.ArrivingCores(ServiceId("pool"), later), once);
  EXPECT_EQ(book.RefusedCores(ServiceId("pool"), later), 9 * 20);
  EXPECT_EQ(book.FirstAskedAt(JobId("j3"), later), kStart);
  EXPECT_EQ(book.FirstAskedAt(JobId("other"), later), later);
}

// Guards against memory that grows with each caller who gave up.
TEST(DemandBookTest, ForgetsCallersWhoGaveUp) {
  DemandBook book;
  book.NoteRefused(MakeJob("j0"), kStart);
  const auto later = kStart + std::chrono::seconds(30);
  book.Forget(later);
  EXPECT_EQ(book.FirstAskedAt(JobId("j0"), later), later);
}

struct BalanceCase {
  const char* name;
  ServiceOutlook outlook;
  double moving_in;
  double deficit;
  /** Hosts of 64 cores that the pool can spare. */
  int spare;
};

class BalanceTest : public testing::TestWithParam<BalanceCase> {};

// Guards against moves that are not needed, and against donors that need their
// hosts themselves.
TEST_P(BalanceTest, WeighsNeedAgainstRoom) {
  const auto& it = GetParam();
  PoolBalance balance;
  balance.Add(it.outlook, it.moving_in);
  const auto& deficits = balance.deficits();
  EXPECT_EQ(deficits.empty() ? 0 : deficits.begin()->second, it.deficit);
  int spare = 0;
  while (balance.CanSpare(ServiceId("pool"), 64)) {
    balance.Take(ServiceId("pool"), 64);
    ++spare;
  }
  EXPECT_EQ(spare, it.spare);
}

ServiceOutlook Pool(double cores,
                    double used,
                    double late,
                    double long_running,
                    double waiting,
                    double arriving) {
  return {ServiceId("pool"), cores, used, late,    long_running,
          waiting,           0,     0,    arriving};
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
