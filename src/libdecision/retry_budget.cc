#include "libdecision/retry_budget.h"

namespace baobab {

void RetryBudget::RecordSuccess(Time now) {
  ++Current(now).successes;
}

bool RetryBudget::TakeRetry(Time now) {
  Second& current = Current(now);
  std::int64_t successes = 0;
  std::int64_t retries = 0;
  for (const Second& it : seconds_) {
    if (it.start >= 0 && it.start > current.start - kWindowSeconds) {
      successes += it.successes;
      retries += it.retries;
    }
  }
  if (retries >= successes / kSuccessesPerRetry &&
      current.retries >= kMinRetriesPerSecond) {
    return false;
  }
  ++current.retries;
  return true;
}

RetryBudget::Second& RetryBudget::Current(Time now) {
  const std::int64_t start =
      std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
  Second& second = seconds_[static_cast<std::size_t>(start % kWindowSeconds)];
  if (second.start != start) {
    second = {start, 0, 0};
  }
  return second;
}

}  // namespace baobab
