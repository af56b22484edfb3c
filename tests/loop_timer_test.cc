#include "libfleet/loop_timer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <thread>

namespace baobab {
namespace {

using std::chrono::milliseconds;

struct WithdrawalCase {
  const char* name;
  std::function<void(std::optional<LoopTimer>& timer)> withdraw;
};

class DueTimerTest : public testing::TestWithParam<WithdrawalCase> {};

// Guards against the action of a timer that is cancelled, set again or
// destroyed while its handler is already queued: a destroyed node ticked.
TEST_P(DueTimerTest, WithdrawnActionDoesNotRun) {
  boost::asio::io_context loop;
  LoopTimer first(loop);
  std::optional<LoopTimer> second(loop);
  bool first_ran = false;
  bool second_ran = false;
  first.Set(milliseconds(1), [&] {
    first_ran = true;
    GetParam().withdraw(second);
  });
  second->Set(milliseconds(2), [&] { second_ran = true; });
  // The loop queues the handlers of both at once.
  std::this_thread::sleep_for(milliseconds(10));
  loop.run_for(milliseconds(50));
  EXPECT_TRUE(first_ran);
  EXPECT_FALSE(second_ran);
}

INSTANTIATE_TEST_SUITE_P(
    Withdrawals,
    DueTimerTest,
    testing::Values(
        WithdrawalCase{"Cancel", [](auto& timer) { timer->Cancel(); }},
        WithdrawalCase{
            "SetAgain",
            [](auto& timer) { timer->Set(std::chrono::hours(1), [] {}); }},
        WithdrawalCase{"Destroy", [](auto& timer) { timer.reset(); }}),
    [](const auto& it) { return it.param.name; });

// Guards against a guard that ends callbacks which are bound after it was
// revoked, and against predicates that hold after their owner's end.
TEST(CallbackGuardTest, EndsOnlyFormerCallbacks) {
  std::optional<CallbackGuard> guard(std::in_place);
  const auto former = guard->Bind([] { return true; });
  EXPECT_TRUE(former());
  guard->Revoke();
  EXPECT_FALSE(former());
  const std::function<bool()> later = guard->Bind([] { return true; });
  EXPECT_TRUE(later());
  guard.reset();
  EXPECT_FALSE(later());
}

}  // namespace
}  // namespace baobab
