#ifndef SRC_LIBDECISION_RETRY_BUDGET_H_
#define SRC_LIBDECISION_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "libbase/base.h"

namespace baobab {

/** Bounds the retries of a queue: a tenth of the requests that succeeded in
 * the last 10 s, but 3 in each second in any case. Without a bound, retries
 * triple the load on minions that already fail under it. */
class RetryBudget {
 public:
  static constexpr std::int64_t kWindowSeconds = 10;
  static constexpr std::int64_t kSuccessesPerRetry = 10;
  static constexpr std::int64_t kMinRetriesPerSecond = 3;

  void RecordSuccess(Time now);

  /** Takes one retry; false if the budget is used up. */
  bool TakeRetry(Time now);

 private:
  struct Second {
    std::int64_t start = -1;
    std::int64_t successes = 0;
    std::int64_t retries = 0;
  };

  Second& Current(Time now);

  std::array<Second, kWindowSeconds> seconds_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_RETRY_BUDGET_H_
