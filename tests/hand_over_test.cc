#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ShardId kHome{1};
const ShardId kOther{2};
const JobId kJob("j1");
const TaskId kTask{kJob, 0, 0, 0};

/** Two cells of a pool, each with its owner, store and workers. A job in the
 * home cell needs a label. */
class TwoCells {
 public:
  TwoCells() {
    auto cells = std::make_shared<PoolDivision>();
    cells->Add(home.service, {kHome, kOther});
    other.shard = kOther;
    for (auto* it : {&home, &other}) {
      it->division = cells;
      it->drops_crashed = true;
      it->refuses_when_down = true;
    }
    home.on_offer = [this](ShardId, const JobOffer& offer, auto done) {
      Deliver(other, offer, std::move(done));
    };
    other.on_offer = [this](ShardId, const JobOffer& offer, auto done) {
      Deliver(home, offer, std::move(done));
    };
  }

  void AddWorker(JobWorld& world, const std::string& id, bool labelled) {
    const auto host = world.EntryInCell(world.shard, id).host;
    world.AddWorker(id, 64, host.value());
    if (labelled) {
      world.workers.at(WorkerId(id)).entry.labels = {"rare", "r1"};
    }
  }

  void Start() {
    ListElsewhere();
    home.TakeOver();
    other.TakeOver();
    Advance(milliseconds(500));
  }

  void Submit(const JobSpec& spec) {
    other.submitted[kJob] = spec;
    home.Submit(kJob.value(), spec);
  }

  void Advance(Duration duration) {
    constexpr Duration kStep = milliseconds(10);
    for (Duration passed{0}; passed < duration; passed += kStep) {
      ListElsewhere();
      for (auto& it : std::exchange(messages_, {})) {
        it();
      }
      home.Advance(kStep);
      other.Advance(kStep);
      home.NoteDoneElsewhere(other);
      other.NoteDoneElsewhere(home);
      std::set<TaskId> tasks;
      for (const auto* world : {&home, &other}) {
        for (const auto& [id, worker] : world->workers) {
          for (const auto& [task, run] : worker.runs) {
            if (!tasks.insert(task).second) {
              violations.push_back("runs in both cells: " + ToString(task));
            }
          }
        }
      }
    }
  }

  /** Cancels the job at the home cell, and where that sends the request. */
  void Cancel() {
    home.Cancel(kJob.value());
    Advance(milliseconds(1500));
    if (home.delegated_to.contains(kJob)) {
      other.Cancel(kJob.value());
    }
  }

  bool HasBegun() const {
    return std::any_of(
        home.decisions.begin(), home.decisions.end(),
        [](const auto& it) { return it.decision == "hand-over-job"; });
  }

  int Runs() const { return home.RunsOf(kTask) + other.RunsOf(kTask); }

  std::vector<std::string> Violations() const {
    auto all = violations;
    all.insert(all.end(), home.violations.begin(), home.violations.end());
    all.insert(all.end(), other.violations.begin(), other.violations.end());
    return all;
  }

  /** Number of stores with a record of the job's acceptance. */
  int Records() const {
    return static_cast<int>(home.store.count(AcceptanceKey(kJob)) +
                            other.store.count(AcceptanceKey(kJob)));
  }

  JobWorld home{1};
  JobWorld other{2};
  int lost_offers = 0;
  int lost_answers = 0;
  /** Answers to the home cell are lost. */
  bool loses_answers_to_home = false;
  std::vector<std::string> violations;

 private:
  void Deliver(JobWorld& to,
               const JobOffer& offer,
               std::function<void(bool)> done) {
    if (lost_offers-- > 0) {
      return;
    }
    messages_.push_back([this, &to, offer, done = std::move(done)] {
      to.Offer(offer, [this, &to, done](bool stored) {
        if (lost_answers-- <= 0 && !(loses_answers_to_home && &to == &other)) {
          messages_.push_back([done, stored] { done(stored); });
        }
      });
    });
  }

  /** Lists the workers of each cell to the owner of the other one. */
  void ListElsewhere() {
    home.elsewhere = other.StoredEntries();
    other.elsewhere = home.StoredEntries();
  }

  std::vector<std::function<void()>> messages_;
};

JobSpec LabelledJob(bool long_running) {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 4, 1000)};
  spec.steps[0].label = "rare";
  spec.steps[0].long_running = long_running;
  return spec;
}

struct LossCase {
  const char* name;
  bool home_owner;
  bool other_owner;
  int lost_offers;
  int lost_answers;
};

void PrintTo(const LossCase& it, std::ostream* os) {
  *os << it.name;
}

class HandOverTest : public testing::TestWithParam<LossCase> {
 protected:
  /** Submits a long-running job to the home cell, makes the only worker there
   * that it can run on crash, and advances until `delay` after the hand-over
   * has begun. */
  static void BeginHandOver(TwoCells& cells, Duration delay) {
    cells.AddWorker(cells.home, "w1", true);
    cells.AddWorker(cells.home, "w2", false);
    cells.AddWorker(cells.other, "w3", true);
    cells.Start();
    cells.Submit(LabelledJob(true));
    cells.Advance(milliseconds(500));
    ASSERT_EQ(cells.home.RunsOf(kTask), 1);
    cells.home.Crash(WorkerId("w1"));
    cells.lost_offers = GetParam().lost_offers;
    cells.lost_answers = GetParam().lost_answers;
    for (int ms = 0; ms < 8000 && !cells.HasBegun(); ms += 10) {
      cells.Advance(milliseconds(10));
    }
    ASSERT_TRUE(cells.HasBegun());
    cells.Advance(delay);
  }
};

// The only worker of a cell on which a job can run is lost, and owners and
// messages are lost at any moment of the job's way to another cell. Guards
// against a job that waits for ever in its cell, that two cells decide on, or
// that none does.
TEST_P(HandOverTest, JobRunsOnceInTheOtherCell) {
  for (int delay_ms = 0; delay_ms <= 200; delay_ms += 10) {
    TwoCells cells;
    BeginHandOver(cells, milliseconds(delay_ms));
    if (GetParam().home_owner) {
      cells.home.TakeOver();
    }
    if (GetParam().other_owner) {
      cells.other.TakeOver();
    }
    cells.Advance(seconds(5));
    EXPECT_EQ(cells.other.RunsOf(kTask), 1) << delay_ms;
    EXPECT_EQ(cells.Runs(), 1) << delay_ms;
    EXPECT_EQ(cells.Records(), 1) << delay_ms;
    EXPECT_EQ(cells.other.State("j1"), JobState::kRunning) << delay_ms;
    EXPECT_EQ(cells.home.State("j1"), std::nullopt) << delay_ms;
    EXPECT_EQ(cells.home.engine->DelegatedTo(kJob), kOther) << delay_ms;
    EXPECT_EQ(cells.Violations(), std::vector<std::string>()) << delay_ms;
  }
}

// Guards against a cancelled job that runs on in the cell to which it is handed
// over, or a cancel without an answer.
TEST_P(HandOverTest, CancelReachesTheJob) {
  for (int delay_ms = 0; delay_ms <= 200; delay_ms += 20) {
    TwoCells cells;
    BeginHandOver(cells, milliseconds(delay_ms));
    cells.Cancel();
    cells.Advance(seconds(3));
    EXPECT_EQ(cells.Runs(), 0) << delay_ms;
    EXPECT_TRUE(cells.home.cancelled_at.contains(kJob)) << delay_ms;
    EXPECT_NE(cells.home.State("j1"), JobState::kRunning) << delay_ms;
    EXPECT_NE(cells.other.State("j1"), JobState::kRunning) << delay_ms;
    EXPECT_EQ(cells.Violations(), std::vector<std::string>()) << delay_ms;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Losses,
    HandOverTest,
    testing::Values(LossCase{"None", false, false, 0, 0},
                    LossCase{"HomeOwner", true, false, 0, 0},
                    LossCase{"OtherOwner", false, true, 0, 0},
                    LossCase{"BothOwners", true, true, 0, 0},
                    LossCase{"Offers", false, false, 2, 0},
                    LossCase{"Answers", false, false, 0, 2},
                    LossCase{"AnswersAndOwners", true, true, 0, 1}),
    [](const auto& it) { return std::string(it.param.name); });

// The other cell hands the job back before the home cell has got an answer to
// its own offer. Guards against a job that both cells drop, as each one has the
// other's word that it knows the job.
TEST(HandBackTest, JobStaysInOneOfTheCells) {
  TwoCells cells;
  cells.AddWorker(cells.home, "w1", true);
  cells.AddWorker(cells.home, "w2", false);
  cells.AddWorker(cells.other, "w3", true);
  cells.AddWorker(cells.other, "w4", false);
  cells.Start();
  cells.Submit(LabelledJob(true));
  cells.Advance(milliseconds(500));
  cells.loses_answers_to_home = true;
  cells.home.Crash(WorkerId("w1"));
  cells.Advance(seconds(9));
  ASSERT_EQ(cells.other.RunsOf(kTask), 1);
  cells.home.Restart(WorkerId("w1"));
  cells.other.Crash(WorkerId("w3"));
  cells.Advance(seconds(12));
  cells.loses_answers_to_home = false;
  cells.Advance(seconds(5));
  EXPECT_EQ(cells.home.RunsOf(kTask), 1);
  EXPECT_EQ(cells.Runs(), 1);
  EXPECT_EQ(cells.Records(), 1);
  EXPECT_EQ(cells.Violations(), std::vector<std::string>());
}

// Guards against tasks that run again in the cell that gets a job of which a
// part is done.
TEST(HandOverOfAStartedJobTest, KeepsWhatIsDone) {
  TwoCells cells;
  cells.AddWorker(cells.home, "w1", true);
  cells.AddWorker(cells.home, "w2", false);
  cells.AddWorker(cells.other, "w3", true);
  cells.Start();
  auto spec = LabelledJob(false);
  spec.steps.insert(spec.steps.begin(), JobWorld::Step(8, 8, 3000));
  spec.steps[1].after = {0};
  cells.Submit(spec);
  cells.Advance(milliseconds(500));
  cells.home.Crash(WorkerId("w1"));
  cells.Advance(seconds(20));
  EXPECT_EQ(cells.other.State("j1"), JobState::kCompleted);
  EXPECT_EQ(cells.other.starts, 1);
  EXPECT_EQ(cells.Records(), 1);
  EXPECT_EQ(cells.Violations(), std::vector<std::string>());
}

// Guards against a job that leaves a cell although no other one fits, or that
// cells hand to each other without end.
TEST(HandOverLimitTest, JobStaysIfNoCellFits) {
  TwoCells cells;
  cells.AddWorker(cells.home, "w1", true);
  cells.AddWorker(cells.home, "w2", false);
  cells.AddWorker(cells.other, "w3", false);
  cells.Start();
  cells.Submit(LabelledJob(true));
  cells.Advance(milliseconds(500));
  cells.home.Crash(WorkerId("w1"));
  cells.Advance(seconds(10));
  EXPECT_FALSE(cells.HasBegun());
  cells.home.Restart(WorkerId("w1"));
  cells.Advance(seconds(3));
  EXPECT_EQ(cells.home.RunsOf(kTask), 1);
  EXPECT_EQ(cells.Violations(), std::vector<std::string>());
}

}  // namespace
}  // namespace baobab
