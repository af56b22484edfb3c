#include "libjobs/lost_runs.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace baobab {

namespace {

/** Time after which a worker that has not come back counts as removed. */
constexpr Duration kMaxAbsence = std::chrono::seconds(15);

}  // namespace

template <typename F>
std::vector<LostRuns::Run> LostRuns::TakeIf(const F& matches) {
  std::vector<Run> taken;
  std::erase_if(runs_, [&](const auto& it) {
    const bool matched = matches(it);
    if (matched) {
      taken.push_back(it);
    }
    return matched;
  });
  return taken;
}

bool LostRuns::Add(const TaskId& id, const Task& task, Time now) {
  if (task.incarnation == 0) {
    return false;
  }
  runs_.push_back({id, task.worker, task.host, task.incarnation,
                   task.WasStartedOnLiveWorker(), now});
  return true;
}

std::vector<LostRuns::Run> LostRuns::Of(const TaskId& task) const {
  std::vector<Run> runs;
  std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(runs),
               [&](const auto& it) { return it.task == task; });
  return runs;
}

std::vector<LostRuns::Run> LostRuns::TakeAlive(const WorkerId& worker,
                                               std::int64_t incarnation) {
  return TakeIf([&](const auto& it) {
    return it.worker == worker && it.incarnation == incarnation;
  });
}

std::vector<LostRuns::Run> LostRuns::TakeCrashed(
    const std::vector<WorkerEntry>& workers) {
  if (runs_.empty()) {
    return {};
  }
  std::map<HostId, std::int64_t> newest_on_host;
  std::map<WorkerId, std::int64_t> newest;
  for (const auto& it : workers) {
    newest[it.id] = it.incarnation;
    if (!it.host.value().empty()) {
      auto& incarnation = newest_on_host[it.host];
      incarnation = std::max(incarnation, it.incarnation);
    }
  }
  const auto is_newer = [](const auto& known, const auto& key,
                           std::int64_t incarnation) {
    const auto it = known.find(key);
    return it != known.end() && it->second > incarnation;
  };
  return TakeIf([&](const auto& it) {
    return is_newer(newest, it.worker, it.incarnation) ||
           is_newer(newest_on_host, it.host, it.incarnation);
  });
}

void LostRuns::Forget(const TaskId& task) {
  std::erase_if(runs_, [&](const auto& it) { return it.task == task; });
}

void LostRuns::ForgetJob(const JobId& job) {
  std::erase_if(runs_, [&](const auto& it) { return it.task.job == job; });
}

std::vector<LostRuns::Run> LostRuns::TakeExpired(Time now) {
  return TakeIf([&](const auto& it) { return now - it.lost_at > kMaxAbsence; });
}

}  // namespace baobab
