#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// A host runs one worker at a time, so a newer worker on the host of a worker
// shows that the latter has ended. An entry of the list only claims that: it
// may be another writer's. The claim holds once the newer worker has answered
// at its address, under its id and with the listed start, while the former one
// does not answer; an answer of the former one refutes it. If neither answers,
// the runs end with their lease. A newer worker in a cell of another owner, as
// after a move of the host, cannot be asked: there the claim holds if the
// former one has not answered a poll sent since.

namespace baobab {

void PoolEngine::NoteRivals() {
  std::map<HostId, std::vector<Worker*>> by_host;
  for (auto& [id, worker] : workers_) {
    if (!worker.entry.host.value().empty()) {
      by_host[worker.entry.host].push_back(&worker);
    }
  }
  std::map<Worker*, std::map<WorkerId, std::int64_t>> rivals;
  for (const auto& it : listed_->entries) {
    const auto host = by_host.find(it.host);
    // An entry of an unknown service is another writer's, not a worker.
    if (host == by_host.end() || !division_ ||
        !division_->Contains(it.service)) {
      continue;
    }
    for (Worker* worker : host->second) {
      if (it.id != worker->entry.id &&
          it.incarnation >=
              std::max(worker->entry.incarnation, worker->incarnation)) {
        rivals[worker].emplace(it.id, it.incarnation);
      }
    }
  }
  for (auto& [id, worker] : workers_) {
    SetRivals(worker, std::move(rivals[&worker]));
  }
}

void PoolEngine::SetRivals(Worker& worker,
                           std::map<WorkerId, std::int64_t> rivals) {
  for (const auto& [id, born] : rivals) {
    const auto known = worker.rivals.find(id);
    if (known != worker.rivals.end() && known->second == born) {
      continue;
    }
    worker.contested = true;
    worker.contested_at = now_;
    worker.next_poll_at = now_;
    Log("host-claimed", JobId(),
        fmt::format("worker={} host={} born={} rival={} rival_born={} "
                    "in_cell={} runs={} silent={}",
                    worker.entry.id.value(), worker.entry.host.value(),
                    worker.incarnation, id.value(), born, workers_.contains(id),
                    worker.runs.size(), worker.silent));
  }
  if (rivals.empty()) {
    worker.contested = false;
    worker.superseded = false;
  }
  worker.rivals = std::move(rivals);
}

void PoolEngine::NotePollResult(Worker& worker, OrderResult result) {
  switch (result) {
    case OrderResult::kNotAllowed:
    case OrderResult::kNoConnection:
    case OrderResult::kWrongIncarnation:
      return;
    case OrderResult::kNotSent:
    case OrderResult::kUnknown:
      worker.silent = true;
      return;
    default:
      worker.silent = false;
      break;
  }
  if (worker.contested && worker.poll_sent_at >= worker.contested_at) {
    worker.contested = false;
    worker.superseded = false;
    Log("host-claim-refuted", JobId(),
        fmt::format("worker={} host={} rivals={} after_ms={}",
                    worker.entry.id.value(), worker.entry.host.value(),
                    worker.rivals.size(),
                    (now_ - worker.contested_at).count() / 1000));
  }
}

bool PoolEngine::HasAnsweredRival(const Worker& worker) const {
  // An answer after the claim has refuted it for good.
  const bool was_asked = worker.contested && !worker.polling &&
                         worker.poll_sent_at >= worker.contested_at;
  return std::any_of(worker.rivals.begin(), worker.rivals.end(),
                     [&](const auto& it) {
                       const auto rival = workers_.find(it.first);
                       if (rival == workers_.end()) {
                         // Only the owner of its cell may call it, so the
                         // silence of the worker since the claim has to do.
                         return was_asked;
                       }
                       return rival->second.fence_confirmed &&
                              rival->second.missed_polls == 0 &&
                              rival->second.incarnation == it.second;
                     });
}

void PoolEngine::ReplaceSuperseded() {
  for (auto& [id, worker] : workers_) {
    if (worker.rivals.empty() || worker.superseded ||
        !(worker.silent || worker.entry.address.empty()) ||
        !HasAnsweredRival(worker)) {
      continue;
    }
    worker.superseded = true;
    worker.contested = true;
    Log("worker-superseded", JobId(),
        fmt::format("worker={} host={} runs={} late_starts={} after_ms={}",
                    id.value(), worker.entry.host.value(), worker.runs.size(),
                    worker.late_starts.size(),
                    (now_ - worker.contested_at).count() / 1000));
    if (!worker.runs.empty()) {
      LoseRuns(worker, "host-has-new-worker", WorkerFate::kCrashed);
    }
    while (!worker.late_starts.empty()) {
      ForgetLateStart(worker, worker.late_starts.begin()->first,
                      "host-has-new-worker");
    }
  }
}

}  // namespace baobab
