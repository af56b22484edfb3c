#include "libfleet/division_keeper.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace baobab {

namespace {

/** Delay between two reads while cells or homes are missing; doubles with each
 * read, since all nodes read at the same time. */
constexpr Duration kMinReadDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxReadDelay = std::chrono::milliseconds(1200);

/** The number of workers counts as complete if it has not changed for this
 * long; workers that start at the same time register over a second or two. */
constexpr Duration kWorkersSettleTime = std::chrono::milliseconds(900);

}  // namespace

DivisionKeeper::DivisionKeeper(const Ports& ports, int shards)
    : ports_(ports),
      shards_(shards),
      timer_(ports.loop),
      division_(std::make_shared<const PoolDivision>()) {}

std::set<ServiceId> DivisionKeeper::MissingPools() const {
  std::set<ServiceId> missing;
  for (const auto& it : pools_) {
    if (!division_->Contains(it)) {
      missing.insert(it);
    }
  }
  return missing;
}

void DivisionKeeper::SetPolicies(const PolicySet& policies) {
  pools_.clear();
  for (const auto& [id, service] : policies.services) {
    pools_.insert(id);
  }
  for (const auto& it : policies.queues) {
    pools_.insert(it.service);
  }
  queues_ = policies.queues;
  for (const auto& it : queues_) {
    seen_pools_[it.Key()].insert(it.service);
  }
  ReadIfIncomplete();
}

std::set<ServiceId> DivisionKeeper::PoolsOf(const QueuePolicy& queue) const {
  const auto key = queue.Key();
  const auto& stored = division_->PoolsOf(key);
  std::set<ServiceId> pools(stored.begin(), stored.end());
  if (const auto it = seen_pools_.find(key); it != seen_pools_.end()) {
    pools.insert(it->second.begin(), it->second.end());
  }
  pools.insert(queue.service);
  return pools;
}

void DivisionKeeper::SetPlannerOwned(bool owned) {
  planner_owned_ = owned;
  if (owned) {
    ReadIfIncomplete();
  }
}

bool DivisionKeeper::IsIncomplete() const {
  return !MissingPools().empty() ||
         std::any_of(queues_.begin(), queues_.end(),
                     [this](const auto& it) {
                       return division_->PoolsOf(it.Key()).empty();
                     }) ||
         (planner_owned_ && !RecordQueues(*division_, queues_).empty());
}

void DivisionKeeper::ReadIfIncomplete() {
  if (!reading_ && IsIncomplete()) {
    read_delay_ = kMinReadDelay;
    Read();
  }
}

void DivisionKeeper::SetWorkers(const std::vector<WorkerEntry>& workers) {
  const int n = static_cast<int>(workers.size());
  if (n != workers_) {
    workers_ = n;
    workers_since_ = SteadyNow();
  }
}

void DivisionKeeper::Read() {
  reading_ = true;
  const auto on_read = [this](Result<JobStore::StoredDivision> stored) {
    reading_ = false;
    if (!stored) {
      ports_.log.Write("division-unread", "",
                       fmt::format("fault=\"{}\"", ToString(stored.error())));
      ReadLater();
      return;
    }
    const auto missing = MissingPools().size();
    division_ =
        std::make_shared<const PoolDivision>(std::move(stored->division));
    const auto still_missing = MissingPools();
    if (still_missing.size() < missing) {
      ports_.log.Write("use-division", "",
                       fmt::format("pools={} missing={}", pools_.size(),
                                   still_missing.size()));
      ports_.on_change(division_);
    }
    if (IsIncomplete()) {
      Extend(*stored);
    }
  };
  ports_.store.ReadDivision(guard_.Bind(on_read));
}

void DivisionKeeper::ReadLater() {
  // SetPolicies() reads nothing while the timer runs.
  reading_ = true;
  timer_.Set(read_delay_, [this] { Read(); });
  read_delay_ = std::min(read_delay_ * 2, kMaxReadDelay);
}

void DivisionKeeper::Extend(const JobStore::StoredDivision& stored) {
  std::vector<StoredRecord> records;
  DivisionInput input;
  if (planner_owned_) {
    read_delay_ = kMinReadDelay;
    records = RecordQueues(*division_, queues_);
    input.pools = MissingPools();
  }
  if (workers_ == 0 || SteadyNow() - workers_since_ < kWorkersSettleTime) {
    input.pools.clear();
  }
  if (!input.pools.empty()) {
    input.hosts_per_pool = workers_ / static_cast<int>(pools_.size());
    input.owner_milli_cores = ports_.owner_milli_cores();
    input.shards = shards_;
    const auto cells = DividePools(*division_, input);
    records.insert(records.end(), cells.begin(), cells.end());
  }
  if (records.empty()) {
    ReadLater();
    return;
  }
  reading_ = true;
  const auto on_stored = [this, input,
                          n = records.size()](AppendOutcome outcome) {
    ports_.log.Write(
        "divide-pools", "",
        fmt::format("pools={} queues={} hosts_per_pool={} owner_milli_cores={} "
                    "stored={}",
                    input.pools.size(), n - input.pools.size(),
                    input.hosts_per_pool, input.owner_milli_cores,
                    outcome == AppendOutcome::kStored ? "yes" : "no"));
    // What is stored is used only after it is read, whoever wrote it.
    if (outcome == AppendOutcome::kStored) {
      Read();
    } else {
      ReadLater();
    }
  };
  ports_.store.ExtendDivision(records, stored.end, guard_.Bind(on_stored));
}

}  // namespace baobab
