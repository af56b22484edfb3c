#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Reasons why tasks of accepted jobs wait, for the log.

namespace baobab {

namespace {

/** Wait from which a line is written, and the interval of further ones. */
constexpr Duration kMinLoggedWait = std::chrono::milliseconds(1000);
constexpr Duration kWaitLogInterval = std::chrono::milliseconds(2000);

/** Maximum number of lines per sweep. */
constexpr int kMaxWaitLines = 8;

}  // namespace

void PoolEngine::LogWaits() {
  std::erase_if(waits_logged_, [this](const auto& it) {
    return now_ - it.second >= kWaitLogInterval;
  });
  int lines = 0;
  for (const auto& [service, steps] : ready_.by_service()) {
    std::optional<Placement> placement;
    for (const auto& it : steps) {
      const Job& job = jobs_.at(it.job);
      const auto& tasks = job.occurrences.at(it.occurrence)
                              .steps[static_cast<std::size_t>(it.step)];
      Time since = Time::max();
      int waiting = 0;
      for (const auto& task : tasks) {
        if (task.phase == TaskPhase::kWaiting) {
          since = std::min(since, task.waiting_since);
          ++waiting;
        }
      }
      const StepId id{it.job, it.occurrence, it.step};
      if (waiting == 0 || now_ - since < kMinLoggedWait ||
          waits_logged_.contains(id)) {
        continue;
      }
      if (++lines > kMaxWaitLines) {
        return;
      }
      waits_logged_[id] = now_;
      if (!placement) {
        placement.emplace(workers_, service, now_);
      }
      Log("task-waits", it.job,
          fmt::format("step={}.{} waiting={} of={} waited_ms={} lateness={} "
                      "long_running={} {}",
                      it.occurrence, it.step, waiting, tasks.size(),
                      (now_ - since).count() / 1000, LatenessOf(it, now_),
                      !it.finite, WaitReason(*placement, it)));
    }
  }
}

std::string PoolEngine::WaitReason(const Placement& placement,
                                   const ReadyStep& ready) const {
  const Job& job = jobs_.at(ready.job);
  const auto& tasks = job.occurrences.at(ready.occurrence)
                          .steps[static_cast<std::size_t>(ready.step)];
  int backing_off = 0;
  int late_starts = 0;
  int on_hold = 0;
  for (const auto& it : tasks) {
    if (it.phase == TaskPhase::kWaiting) {
      backing_off += it.not_before > now_ ? 1 : 0;
      late_starts += it.held_back ? 1 : 0;
      on_hold +=
          it.unexplained_losses > 0 && it.Suspicion() >= tuning_.max_crashes
              ? 1
              : 0;
    }
  }
  const auto counts = placement.CountFits(job, ready.occurrence, ready.step);
  const auto late = late_work_cores_.find(job.service);
  return fmt::format(
      "backing_off={} late_starts={} on_hold={} usable={} cpu={} memory={} "
      "label={} "
      "below_limit={} fitting={} cpu_milli={} mem_mb={} late_cores={:.0f} "
      "commit_ms={}",
      backing_off, late_starts, on_hold, counts.usable, counts.cpu,
      counts.memory, counts.label, counts.below_limit, counts.all,
      job.Step(ready.step).need.cpu_milli, job.Step(ready.step).need.mem_mb,
      late == late_work_cores_.end() ? 0.0 : late->second.cores,
      in_flight_ ? (now_ - commit_sent_at_).count() / 1000 : 0);
}

}  // namespace baobab
