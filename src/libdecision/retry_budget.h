#ifndef SRC_LIBDECISION_RETRY_BUDGET_H_
#define SRC_LIBDECISION_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Retry budget of a queue: a tenth of the requests that succeeded in the last
 * 10 s, but at least 3 per second. Without a bound, retries triple the load on
 * minions that already fail under it. */
class RetryBudget {
 public:
  /** Length of the sliding window. */
  static constexpr std::int64_t kWindowSeconds = 10;
  static constexpr std::int64_t kSuccessesPerRetry = 10;
  static constexpr std::int64_t kMinRetriesPerSecond = 3;

  /** Counts a request that succeeded. */
  void RecordSuccess(Time now);

  /** Takes one retry from the budget; returns false if it is used up. */
  bool TakeRetry(Time now);

 private:
  /** Counts of one second of the window. */
  struct Second {
    std::int64_t start = -1;
    std::int64_t successes = 0;
    std::int64_t retries = 0;
  };

  /** Returns the counts of the current second; resets them if they are of an
   * earlier one. */
  Second& Current(Time now);

  std::array<Second, kWindowSeconds> seconds_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_RETRY_BUDGET_H_
