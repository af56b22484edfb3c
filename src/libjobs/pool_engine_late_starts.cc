#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Starts without an answer whose runs were given up. The incarnation of the
// worker that has answered a stop of the run refuses such a start, but a later
// one knows nothing of the stop.

namespace baobab {

void PoolEngine::KeepLateStart(Worker& worker,
                               const TaskId& id,
                               RunNumber run,
                               Time arrives_by) {
  if (arrives_by <= now_) {
    return;
  }
  Log("late-start-possible", id.job,
      fmt::format("task={} run={} worker={} born={} for_ms={}", ToString(id),
                  run.value(), worker.entry.id.value(), worker.incarnation,
                  (arrives_by - now_).count() / 1000));
  worker.late_starts[id] = {run, arrives_by, true, now_};
}

void PoolEngine::ForgetLateStarts(Worker& worker) {
  std::erase_if(worker.late_starts, [this](const auto& it) {
    return it.second.arrives_by <= now_;
  });
}

void PoolEngine::ExcludeLateStarts(Worker& worker) {
  for (auto& [id, start] : worker.late_starts) {
    if (start.excluded ||
        now_ - start.stop_sent_at < tuning_.stop_retry_delay) {
      continue;
    }
    start.stop_sent_at = now_;
    effects_.push_back(StopRun{worker.entry.id, worker.entry.address, id,
                               start.run, worker.incarnation});
  }
}

}  // namespace baobab
