#include "libjobs/worker.h"

#include <algorithm>
#include <chrono>

namespace baobab {

namespace {

/** Unanswered polls in a row after which a worker counts as out of reach for
 * longer; they take about as long as its removal from the platform's list. */
constexpr int kMaxBriefMissedPolls = 3;

/** Maximum error of the expected reading of a worker's clock, in addition to
 * its drift. */
constexpr std::int64_t kClockToleranceMs = 500;

/** Maximum time from a reading of the clock until its report arrives. */
constexpr std::int64_t kMaxReportAgeMs = 2000;

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

std::int64_t Worker::ClockAt(Time now) const {
  return clock_ms_.value_or(entry.clock_ms) + Milliseconds(now - clock_at_);
}

std::int64_t Worker::MinClockAt(Time now, double drift) const {
  const auto passed = static_cast<double>(Milliseconds(now - clock_at_));
  return clock_ms_.value_or(entry.clock_ms) +
         static_cast<std::int64_t>(passed * (1.0 - drift));
}

void Worker::SetClock(std::int64_t clock_ms, Time now, double drift) {
  // Answers may arrive out of order.
  if (clock_ms_ && clock_ms < MinClockAt(now, drift) - 1000) {
    return;
  }
  if (!clock_ms_) {
    first_clock_ms_ = clock_ms;
  }
  clock_ms_ = clock_ms;
  clock_at_ = now;
}

bool Worker::IsClockBehind(std::int64_t clock_ms,
                           Time now,
                           double drift) const {
  return clock_ms_ && clock_ms < MinClockAt(now, drift) - kClockToleranceMs;
}

bool Worker::IsClockOfIncarnation(std::int64_t clock_ms,
                                  Time now,
                                  double drift) const {
  if (!clock_ms_) {
    return false;
  }
  const auto deviation = static_cast<std::int64_t>(
      static_cast<double>(Milliseconds(now - clock_at_)) * drift);
  return *clock_ms_ - first_clock_ms_ >=
             kMaxReportAgeMs + kClockToleranceMs + deviation &&
         !IsClockBehind(clock_ms, now, drift);
}

std::string_view Worker::Rack() const {
  // The platform lists the label of the worker's kind, then that of its rack.
  return entry.labels.size() < 2 ? std::string_view() : entry.labels.back();
}

bool Worker::HasLabel(std::string_view label) const {
  return entry.HasLabel(label);
}

bool Worker::IsUsable(Time now) const {
  // The entry of another incarnation may have other labels and more capacity.
  return listed && !contested && fence_confirmed &&
         entry.incarnation == incarnation && !entry.draining && !reserved &&
         missed_polls == 0 && now >= avoid_until;
}

bool Worker::IsUsableSoon() const {
  return listed && !contested && !entry.draining && !reserved &&
         missed_polls <= kMaxBriefMissedPolls;
}

Resources Worker::Free() const {
  Resources free = entry.capacity;
  free -= used;
  return free;
}

bool Worker::IsOnTrial() const {
  return std::any_of(suspects.begin(), suspects.end(), [](const auto& it) {
    return it.second >= kCrashesForTrial;
  });
}

void Worker::AddRun(const TaskId& task,
                    const Resources& resources,
                    int crashes) {
  runs.emplace(task, resources);
  used += resources;
  SetSuspicion(task, crashes);
}

void Worker::SetSuspicion(const TaskId& task, int crashes) {
  if (crashes == 0) {
    suspects.erase(task);
  } else if (runs.contains(task)) {
    suspects[task] = crashes;
  }
}

bool Worker::RemoveRun(const TaskId& task) {
  const auto it = runs.find(task);
  if (it == runs.end()) {
    return false;
  }
  used -= it->second;
  runs.erase(it);
  unsettled_runs.erase(task);
  suspects.erase(task);
  return true;
}

bool Worker::RecordRunEnd(bool failed, Time now, const PoolTuning& tuning) {
  if (!failed) {
    failures_in_row = 0;
    return false;
  }
  ++failures_in_row;
  if (failures_in_row < tuning.quarantine_failures) {
    return false;
  }
  avoid_until = std::max(avoid_until, now + tuning.quarantine_duration);
  return true;
}

void Worker::StartNewIncarnation(std::int64_t new_incarnation) {
  incarnation = new_incarnation;
  fence_confirmed = false;
  lease_sent_ms = 0;
  lease_delivered_ms = 0;
  applied_ends = 0;
  stored_ends = 0;
  acknowledged_ends = 0;
  ends_pending = false;
  failures_in_row = 0;
  clock_ms_.reset();
}

}  // namespace baobab
