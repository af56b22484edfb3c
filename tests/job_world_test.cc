// Orders that reach a later process of a worker in the simulated world. The
// property tests only cover such orders if the simulation delivers them.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <ostream>

#include "job_world.h"

namespace baobab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Order { kStart, kStop, kPoll };

struct OrderCase {
  const char* name;
  Order order;
};

void PrintTo(const OrderCase& it, std::ostream* os) {
  *os << it.name;
}

const TaskId kTask{JobId("j1"), 0, 0, 0};

JobSpec OneTask() {
  JobSpec spec;
  spec.payload = "work";
  spec.steps = {JobWorld::Step(1, 3, 60'000)};
  return spec;
}

class OrderForFormerProcessTest : public testing::TestWithParam<OrderCase> {
 protected:
  OrderForFormerProcessTest() {
    id = world.AddWorker("w0");
    world.TakeOver();
    world.Advance(seconds(5));
  }

  SimWorker& worker() { return world.workers.at(id); }

  /** Lets the owner send the order, on which `disturb` takes effect. */
  template <typename Disturb>
  void Send(Disturb disturb) {
    if (GetParam().order == Order::kStart) {
      disturb();
      world.Submit("j1", OneTask());
      world.Advance(milliseconds(30));
      return;
    }
    world.Submit("j1", OneTask());
    while (world.RunsOf(kTask) == 0) {
      world.Advance(milliseconds(10));
    }
    world.Advance(seconds(3));
    if (GetParam().order == Order::kStop) {
      disturb();
      world.Cancel("j1");
      world.Advance(milliseconds(30));
      return;
    }
    const auto lease_until_ms = worker().lease_until_ms;
    while (worker().lease_until_ms == lease_until_ms) {
      world.Advance(milliseconds(10));
    }
    // The next poll follows when the present one has waited.
    world.Advance(world.tuning.poll_wait - milliseconds(10));
    disturb();
    world.Advance(milliseconds(30));
  }

  /** Makes sure that no owner gives further orders. */
  void RemoveOwner() {
    world.engine = std::make_shared<PoolEngine>(world.shard, world.tuning);
  }

  /** Returns whether the present process has carried the order out. */
  bool IsCarriedOut() {
    const bool has_run =
        worker().runs.contains(kTask) || worker().closed.contains(kTask);
    return GetParam().order == Order::kPoll ? worker().lease_until_ms > 0
                                            : has_run;
  }

  JobWorld world;
  WorkerId id;
};

TEST_P(OrderForFormerProcessTest, ArrivesAfterHold) {
  Send([&] { worker().orders_held_until = world.now + seconds(3); });
  world.Crash(id);
  world.Restart(id);
  RemoveOwner();
  ASSERT_FALSE(IsCarriedOut());
  world.Advance(seconds(4));
  EXPECT_TRUE(IsCarriedOut());
}

// A late order arrives although its owner is gone.
TEST_P(OrderForFormerProcessTest, ArrivesLate) {
  Send([&] {
    world.faults.late_order = 1;
    world.faults.late_stop = 1;
    world.faults.late_poll = 1;
  });
  world.Crash(id);
  world.Restart(id);
  RemoveOwner();
  ASSERT_FALSE(IsCarriedOut());
  world.Advance(seconds(7));
  EXPECT_TRUE(IsCarriedOut());
}

// The connection is opened while the host is down.
TEST_P(OrderForFormerProcessTest, ArrivesWhenHostIsBack) {
  Send([&] {
    world.Crash(id);
    world.faults.late_connection = 1;
  });
  world.Advance(milliseconds(200));
  world.Restart(id);
  RemoveOwner();
  ASSERT_FALSE(IsCarriedOut());
  world.Advance(milliseconds(100));
  EXPECT_TRUE(IsCarriedOut());
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         OrderForFormerProcessTest,
                         testing::Values(OrderCase{"Start", Order::kStart},
                                         OrderCase{"Stop", Order::kStop},
                                         OrderCase{"Poll", Order::kPoll}),
                         [](const auto& it) { return it.param.name; });

// Guards against an answer to a poll by a process that never received it.
TEST(WaitingPollTest, EndsWithItsProcess) {
  JobWorld world;
  const auto id = world.AddWorker("w0");
  world.TakeOver();
  world.Advance(seconds(5));
  world.Submit("j1", OneTask());
  world.Advance(seconds(3));
  ASSERT_EQ(world.workers.at(id).connected, world.token);
  world.Crash(id);
  world.Restart(id);
  world.engine = std::make_shared<PoolEngine>(world.shard, world.tuning);
  world.Advance(seconds(2));
  EXPECT_EQ(world.workers.at(id).connected, 0);
}

}  // namespace
}  // namespace baobab
