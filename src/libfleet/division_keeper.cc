#include "libfleet/division_keeper.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace baobab {

namespace {

/** Delay between two reads while pools lack cells; doubles with each read,
 * since all nodes read at the same time. */
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
  if (!reading_ && !MissingPools().empty()) {
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
    if (!still_missing.empty()) {
      Divide(*stored);
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

void DivisionKeeper::Divide(const JobStore::StoredDivision& stored) {
  if (planner_owned_) {
    read_delay_ = kMinReadDelay;
  }
  if (!planner_owned_ || workers_ == 0 ||
      SteadyNow() - workers_since_ < kWorkersSettleTime) {
    ReadLater();
    return;
  }
  DivisionInput input;
  input.pools = MissingPools();
  input.hosts_per_pool = workers_ / static_cast<int>(pools_.size());
  input.owner_milli_cores = ports_.owner_milli_cores();
  input.shards = shards_;
  const auto records = DividePools(*division_, input);
  reading_ = true;
  const auto on_stored = [this, input](AppendOutcome outcome) {
    ports_.log.Write(
        "divide-pools", "",
        fmt::format("pools={} hosts_per_pool={} owner_milli_cores={} stored={}",
                    input.pools.size(), input.hosts_per_pool,
                    input.owner_milli_cores,
                    outcome == AppendOutcome::kStored ? "yes" : "no"));
    // What is stored is used only after it is read, whoever wrote it.
    Read();
  };
  ports_.store.ExtendDivision(records, stored.end, guard_.Bind(on_stored));
}

}  // namespace baobab
