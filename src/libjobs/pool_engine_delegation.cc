#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "libjobs/pool_engine.h"

namespace baobab {

namespace {

/** Age of a plan up to which the loads of other cells in it are used; demand
 * shifts within a second. */
constexpr Duration kMaxCellLoadAge = std::chrono::milliseconds(1000);

/** Spreads jobs over cells independently of the hash that gives their home. */
constexpr std::uint64_t kCellChoiceSeed = 1;

double CoresOf(const StepSpec& step) {
  return static_cast<double>(ResourcesOf(step).cpu_milli) / 1000.0 * step.count;
}

/** Returns the number of workers that the tasks of the job need at the same
 * time since they exclude each other; 0 if it is not long-running. */
int WorkersAtOnce(const Job& job) {
  int workers = 0;
  for (const auto& it : job.spec.steps) {
    if (it.long_running && it.max_per_worker > 0) {
      workers = std::max(
          workers, (it.count + it.max_per_worker - 1) / it.max_per_worker);
    }
  }
  return workers;
}

}  // namespace

double PoolEngine::CoresAtOnce(const Job& job) {
  double widest = 0;
  double sum = 0;
  for (const auto& it : job.spec.steps) {
    widest = std::max(widest, CoresOf(it));
    sum += CoresOf(it);
  }
  return job.IsLongRunning() ? sum : widest;
}

ShardId PoolEngine::SpreadOver(const std::set<ShardId>& cells,
                               const JobId& job) {
  const auto hash =
      XXH64(job.value().data(), job.value().size(), kCellChoiceSeed);
  return *std::next(cells.begin(),
                    static_cast<std::ptrdiff_t>(hash % cells.size()));
}

std::optional<ShardId> PoolEngine::DelegatedTo(const JobId& job) const {
  const auto it = delegated_.find(job);
  return it == delegated_.end() || !it->second.stored || jobs_.contains(job)
             ? std::nullopt
             : std::optional(it->second.cell);
}

bool PoolEngine::LacksRoomFor(const Job& job) const {
  auto room = RoomOf(job.service);
  const bool fits = std::all_of(
      job.spec.steps.begin(), job.spec.steps.end(), [&](const auto& it) {
        const StepId id{job.id, 0, 0};
        return it.long_running ? room.CountTasks(it, id, it.count) >= it.count
                               : room.Holds(it, id);
      });
  if (!fits) {
    return true;
  }
  if (!job.IsLongRunning()) {
    return false;
  }
  double free = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.entry.service == job.service && worker.IsUsable(now_)) {
      free += static_cast<double>(worker.Free().cpu_milli) / 1000.0;
    }
  }
  return free < CoresAtOnce(job);
}

std::map<ShardId, std::vector<const WorkerEntry*>> PoolEngine::WorkersByCell(
    const ServiceId& service) const {
  std::map<ShardId, std::vector<const WorkerEntry*>> workers;
  if (!division_) {
    return workers;
  }
  for (const auto& it : listed_->entries) {
    if (it.service == service && !it.draining) {
      if (const auto cell = division_->CellOfHost(service, it.host)) {
        workers[*cell].push_back(&it);
      }
    }
  }
  return workers;
}

std::set<ShardId> PoolEngine::CellsThatFit(const Job& job) const {
  std::set<ShardId> cells;
  for (const auto& [cell, workers] : WorkersByCell(job.service)) {
    bool fits = true;
    for (std::size_t i = 0; fits && i < job.spec.steps.size(); ++i) {
      const auto& step = job.spec.steps[i];
      const int tasks = step.gang || step.long_running ? step.count : 1;
      fits = job.IsStepDone(static_cast<int>(i)) ||
             CountTasksOnEmpty(workers, step, tasks) >= tasks;
    }
    if (fits) {
      cells.insert(cell);
    }
  }
  return cells;
}

CellLoad* PoolEngine::ChooseCell(const Job& job, double cores) {
  if (now_ - planned_at_ > kMaxCellLoadAge) {
    return nullptr;
  }
  std::vector<CellLoad*> cells;
  for (auto& it : plan_.cells) {
    if (it.service == job.service && it.cell != shard_ &&
        it.free_cores >= cores && it.workers >= WorkersAtOnce(job)) {
      cells.push_back(&it);
    }
  }
  if (!cells.empty()) {
    const auto fitting = CellsThatFit(job);
    std::erase_if(cells,
                  [&](const auto* it) { return !fitting.contains(it->cell); });
  }
  if (cells.empty()) {
    return nullptr;
  }
  double sum = 0;
  for (const auto* it : cells) {
    sum += it->free_cores;
  }
  const auto hash =
      XXH64(job.id.value().data(), job.id.value().size(), kCellChoiceSeed);
  double left =
      sum * (static_cast<double>(hash) /
             static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
  for (auto* it : cells) {
    left -= it->free_cores;
    if (left <= 0) {
      return it;
    }
  }
  return cells.back();
}

bool PoolEngine::DecidesOn(const ServiceId& service) const {
  if (!division_) {
    return true;
  }
  const auto& cells = division_->CellsOf(service);
  return std::find(cells.begin(), cells.end(), shard_) != cells.end();
}

bool PoolEngine::HasWorkers(const ServiceId& service) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& it) {
    return it.second.entry.service == service && it.second.listed;
  });
}

bool PoolEngine::Delegate(const Job& job, const ReplyId& reply) {
  const double cores = CoresAtOnce(job);
  CellLoad* chosen = ChooseCell(job, cores);
  std::optional<ShardId> cell;
  if (chosen) {
    cell = chosen->cell;
  } else if (const auto fitting = CellsThatFit(job);
             !fitting.empty() && !fitting.contains(shard_) &&
             (HasWorkers(job.service) || !DecidesOn(job.service))) {
    // A cell without workers gets some from the planner when it has work.
    cell = SpreadOver(fitting, job.id);
  } else if (!DecidesOn(job.service)) {
    cell = division_->CellOfJob(job.service, job.id);
  } else if (job.IsLongRunning() && division_) {
    // The planner can bring more hosts to a wider cell.
    cell = division_->WiderCell(job.service, shard_);
  }
  if (!cell) {
    return false;
  }
  Log("delegate-job", job.id,
      fmt::format("queue={} service={} cell={} free_cores={:.0f} cores={:.0f} "
                  "workers={}",
                  job.queue.value(), job.service.value(), cell->value(),
                  chosen ? chosen->free_cores : 0.0, cores,
                  WorkersAtOnce(job)));
  if (chosen) {
    chosen->free_cores -= cores;
  }
  delegated_[job.id] = {*cell, wall_ms_, job.submitted_wall_ms, false};
  delegated_at_.emplace(wall_ms_, job.id);
  demand_.ForgetJob(job.id);
  AnswerDelegated(reply, job.id);
  return true;
}

void PoolEngine::AnswerDelegated(const ReplyId& reply, const JobId& job) {
  const auto& delegation = delegated_.at(job);
  AnswerSubmit answer;
  answer.reply = reply;
  answer.verdict = SubmitVerdict::kDelegated;
  answer.cell = delegation.cell;
  answer.asked_ago = std::chrono::milliseconds(
      std::max<std::int64_t>(0, wall_ms_ - delegation.submitted_wall_ms));
  if (delegation.stored) {
    effects_.push_back(std::move(answer));
  } else {
    staged_.delegated.insert(job);
    staged_.answers.push_back(std::move(answer));
  }
}

void PoolEngine::DropExpiredDelegations() {
  const auto is_expired = [this](std::int64_t decided_wall_ms) {
    return decided_wall_ms + tuning_.RetentionMs() < wall_ms_;
  };
  while (!delegated_at_.empty() && is_expired(delegated_at_.begin()->first)) {
    const JobId id = delegated_at_.begin()->second;
    delegated_at_.erase(delegated_at_.begin());
    const auto it = delegated_.find(id);
    if (it == delegated_.end() || !is_expired(it->second.decided_wall_ms)) {
      // The job came back, or was handed over again.
      continue;
    }
    if (leaving_.contains(id)) {
      it->second.decided_wall_ms = wall_ms_;
      delegated_at_.emplace(wall_ms_, id);
      continue;
    }
    delegated_.erase(it);
    staged_.delegated.insert(id);
  }
}

}  // namespace baobab
