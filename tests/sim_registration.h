#ifndef TESTS_SIM_REGISTRATION_H_
#define TESTS_SIM_REGISTRATION_H_

#include <algorithm>
#include <chrono>
#include <random>

#include "libjobs/jobs.h"

namespace baobab {

/** Time from a worker's last contact with the store until the store removes its
 * entry: it misses three heartbeats, which are 1.5 s apart. */
inline constexpr Duration kMinEntryLapse = std::chrono::milliseconds(3000);
inline constexpr Duration kMaxEntryLapse = std::chrono::milliseconds(4500);

/** Maximum time until a worker that reaches the store again registers: a
 * heartbeat interval, and a connection attempt that hangs. */
inline constexpr Duration kMaxEntryReturn = std::chrono::milliseconds(4500);

/** Simulates a worker's entry in the store. It lapses some time after the
 * worker has lost contact, and returns some time after contact is regained. */
class SimRegistration {
 public:
  /** Updates the entry to `now`; to be called whenever `connected`, whether the
   * worker reaches the store, may have changed. */
  void Update(const WorkerEntry& entry,
              bool connected,
              Time now,
              std::mt19937& random) {
    if (connected && returns_at_ == Time::max()) {
      returns_at_ = process_starts_
                        ? now
                        : now + Draw(Duration(0), kMaxEntryReturn, random);
    } else if (!connected && returns_at_ != Time::max()) {
      if (now >= returns_at_) {
        lapses_at_ = now + Draw(kMinEntryLapse, kMaxEntryLapse, random);
      }
      returns_at_ = Time::max();
    }
    process_starts_ = false;
    if (now >= returns_at_) {
      entry_ = entry;
    }
  }

  /** Notes that the worker's process has started, which registers at once if
   * it reaches the store. */
  void Restart(Time now) {
    process_starts_ = true;
    if (returns_at_ != Time::max()) {
      returns_at_ = std::min(returns_at_, now);
    }
  }

  /** Returns whether the stored entry is the worker's present one. */
  bool IsCurrent(Time now) const { return now >= returns_at_; }

  /** Returns the stored entry, or null if there is none. */
  const WorkerEntry* Stored(Time now) const {
    return IsCurrent(now) || now < lapses_at_ ? &entry_ : nullptr;
  }

 private:
  static Duration Draw(Duration min, Duration max, std::mt19937& random) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        min.count(), max.count())(random));
  }

  WorkerEntry entry_;
  bool process_starts_ = true;
  /** Until when the entry stays after the loss of contact. */
  Time lapses_at_ = Time::min();
  /** From when the worker's heartbeats arrive. */
  Time returns_at_ = Time::max();
};

}  // namespace baobab

#endif  // TESTS_SIM_REGISTRATION_H_
