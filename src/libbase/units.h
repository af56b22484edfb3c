#ifndef SRC_LIBBASE_UNITS_H_
#define SRC_LIBBASE_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace baobab {

/** Clock type of the runtime. It has no now(): the node actor reads its own
 * clock and passes the time in each event, and tests set the time freely. */
struct RuntimeClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;
};

/** A time span in microseconds. */
using Duration = RuntimeClock::duration;
using Time = RuntimeClock::time_point;

/** A typed count; counts of different kinds cannot be added or compared. */
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t count) : count_(count) {}

  constexpr std::int64_t value() const { return count_; }

  constexpr Quantity& operator+=(Quantity other) {
    count_ += other.count_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    count_ -= other.count_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) { return a += b; }
  friend constexpr Quantity operator-(Quantity a, Quantity b) { return a -= b; }
  auto operator<=>(const Quantity&) const = default;

 private:
  std::int64_t count_ = 0;
};

/** Concurrency units: minion slots, or requests in flight under a limit. */
using Units = Quantity<struct UnitsTag>;
/** A number of hosts. */
using HostCount = Quantity<struct HostCountTag>;
/** A size in bytes. */
using Bytes = Quantity<struct BytesTag>;

/** Relative share of a pool or queue in weighted sharing; at least 1. */
using Weight = Quantity<struct WeightTag>;

}  // namespace baobab

#endif  // SRC_LIBBASE_UNITS_H_
