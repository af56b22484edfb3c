#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Accepted jobs that are handed over to another cell of their pool.
//
// The giving cell stores a delegation beside the records of the job, which
// freezes it, and then offers the records until the other cell has stored them.
// Only then does it delete its own. Whichever owner is lost in between, the
// next one finds in its records what is to be done, and an offer that is
// repeated changes nothing.

namespace baobab {

namespace {

/** Time for which no worker of the cell could take a task of the job before the
 * job is handed over; doubles with each time. */
constexpr Duration kMinLack = std::chrono::milliseconds(600);

/** The same if the cell has no workers for now, or some could take the task
 * without their long-running tasks: the planner may bring a host meanwhile. */
constexpr Duration kMinLackOfRoom = std::chrono::milliseconds(3000);

/** Number of times that a job is handed over at most. */
constexpr int kMaxHandOvers = 6;

/** Interval at which an offer is repeated. */
constexpr Duration kOfferInterval = std::chrono::milliseconds(500);

}  // namespace

bool PoolEngine::HasRuns(const Job& job) const {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const auto& tasks : occurrence.steps) {
      if (std::any_of(tasks.begin(), tasks.end(), [](const auto& it) {
            return HoldsResources(it.phase) || it.held_back;
          })) {
        return true;
      }
    }
  }
  return false;
}

void PoolEngine::HandOverMisplacedJobs() {
  std::map<JobId, Time> lacking;
  for (const auto& [service, steps] : ready_.by_service()) {
    if (steps.empty()) {
      continue;
    }
    for (const auto& it : StepsLackingHosts(service)) {
      const auto since = lacking_since_.find(it.job);
      lacking.emplace(it.job,
                      since == lacking_since_.end() ? now_ : since->second);
    }
  }
  lacking_since_ = std::move(lacking);
  for (const auto& [id, since] : lacking_since_) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || now_ - since < kMinLack) {
      continue;
    }
    Job& job = found->second;
    if (!job.stored || job.end != JobEnd::kOpen || leaving_.contains(id) ||
        job.hand_overs >= kMaxHandOvers || HasRuns(job)) {
      continue;
    }
    if (const auto cell = CellForHandOver(job, now_ - since)) {
      BeginHandOver(job, *cell);
    }
  }
}

std::optional<ShardId> PoolEngine::CellForHandOver(const Job& job,
                                                   Duration lacking) {
  const auto fitting = CellsThatFit(job);
  const bool may_get_host =
      fitting.contains(shard_) || !HasWorkers(job.service);
  const auto min_lack =
      (may_get_host ? kMinLackOfRoom : kMinLack) * (1 << job.hand_overs);
  if (fitting.empty() || lacking < min_lack) {
    return std::nullopt;
  }
  if (const auto* chosen = ChooseCell(job, CoresAtOnce(job))) {
    return chosen->cell;
  }
  return fitting.contains(shard_) ? std::nullopt
                                  : std::optional(SpreadOver(fitting, job.id));
}

void PoolEngine::BeginHandOver(Job& job, ShardId cell) {
  Log("hand-over-job", job.id,
      fmt::format("queue={} service={} cell={} number={}", job.queue.value(),
                  job.service.value(), cell.value(), job.hand_overs + 1));
  Freeze(job);
  delegated_[job.id] = {cell, wall_ms_, job.submitted_wall_ms, false,
                        job.hand_overs + 1};
  delegated_at_.emplace(wall_ms_, job.id);
  staged_.delegated.insert(job.id);
}

void PoolEngine::Freeze(const Job& job) {
  Leaving leaving;
  leaving.records = EncodeJob(job, lost_runs_);
  leaving_.emplace(job.id, std::move(leaving));
  // The other cell counts late crashes from now on.
  lost_runs_.ForgetJob(job.id);
  ready_.RemoveJob(job.service, job.id);
  scheduled_jobs_.erase(job.id);
  advice_.Forget(job.id);
}

void PoolEngine::OfferLeavingJobs() {
  for (auto& [id, leaving] : leaving_) {
    const auto& delegation = delegated_.at(id);
    if (!delegation.stored || now_ - leaving.offered_at < kOfferInterval) {
      continue;
    }
    leaving.offered_at = now_;
    effects_.push_back(OfferJob{delegation.cell,
                                {id, delegation.hand_overs, leaving.records}});
  }
}

void PoolEngine::Handle(const OfferFinished& event) {
  const auto leaving = leaving_.find(event.job);
  const auto delegation = delegated_.find(event.job);
  if (!event.stored || leaving == leaving_.end() ||
      delegation == delegated_.end() ||
      delegation->second.hand_overs != event.number) {
    return;
  }
  Log("handed-over", event.job,
      fmt::format("cell={} number={}", delegation->second.cell.value(),
                  event.number));
  for (const auto& it : leaving->second.cancels) {
    effects_.push_back(AnswerCancel{it, false, delegation->second.cell});
  }
  leaving_.erase(leaving);
  DropJob(jobs_.find(event.job));
}

void PoolEngine::Handle(const JobOffered& event) {
  const auto& id = event.offer.job;
  const auto answer = [&](bool stored) {
    effects_.push_back(AnswerOffer{event.reply, stored});
  };
  if (!loaded_) {
    answer(false);
    return;
  }
  if (const auto known = jobs_.find(id); known != jobs_.end()) {
    if (leaving_.contains(id) &&
        delegated_.at(id).hand_overs < event.offer.number) {
      // The other cell has taken the job, and hands it back before its answer
      // has arrived. What is known here is about to be dropped.
      answer(false);
    } else if (known->second.stored) {
      answer(true);
    } else {
      staged_.dirty.insert(id);
      staged_.answers.push_back(AnswerOffer{event.reply, true});
    }
    return;
  }
  if (const auto moved_on = delegated_.find(id);
      moved_on != delegated_.end() &&
      moved_on->second.hand_overs >= event.offer.number) {
    // A late repetition: the job was here.
    answer(true);
    return;
  }
  auto loaded = DecodeJobs(event.offer.records);
  const auto offered = loaded.jobs.find(id);
  if (offered == loaded.jobs.end() || !loaded.faults.empty()) {
    Log("refuse-offer", id, "");
    answer(false);
    return;
  }
  if (delegated_.erase(id) > 0) {
    staged_.delegated.insert(id);
  }
  Job& job = jobs_.emplace(id, std::move(offered->second)).first->second;
  job.hand_overs = event.offer.number;
  job.stored = false;
  job.stored_parts.clear();
  Log("take-job", id,
      fmt::format("queue={} service={} number={}", job.queue.value(),
                  job.service.value(), job.hand_overs));
  for (auto& it : loaded.lost_runs) {
    it.lost_at = now_;
    lost_runs_.Add(it);
  }
  staged_.accepted.insert(id);
  staged_.dirty.insert(id);
  staged_.answers.push_back(AnswerOffer{event.reply, true});
  AdoptJob(job);
  schedule_needed_ = true;
}

}  // namespace baobab
