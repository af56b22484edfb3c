#include "libfleet/planner_owner.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace baobab {

namespace {

const ShardStream kPlannerStream{kPlannerShard, ShardWriter::kPlanner};

constexpr Duration kRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(800);
/** Interval between plans. Demand changes within seconds and moving a host
 * takes 1.5 s, so an older plan is of little use. */
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
/** Maximum number of owners that get a plan per tick; bounds the planner's
 * cost. With 40 cells a usage report is at most 300 ms old. */
constexpr std::size_t kMaxExchangesPerTick = 16;

}  // namespace

PlannerOwner::PlannerOwner(const Ports& ports,
                           FenceToken token,
                           const PlannerTuning& tuning)
    : ports_(ports),
      token_(token),
      planner_(tuning),
      retry_timer_(ports.loop),
      tick_timer_(ports.loop),
      report_timer_(ports.loop) {}

void PlannerOwner::Start() {
  ports_.log.Write("own-planner", "", fmt::format("token={}", token_.value()));
  FenceFormerOwners();
}

void PlannerOwner::Stop() {
  if (!std::exchange(stopped_, true)) {
    ports_.log.Write("release-planner", "",
                     fmt::format("token={}", token_.value()));
  }
  retry_timer_.Cancel();
  tick_timer_.Cancel();
  report_timer_.Cancel();
}

void PlannerOwner::Retry(void (PlannerOwner::*step)()) {
  retry_timer_.Set(kRetryDelay, [weak = weak_from_this(), step] {
    const auto self = weak.lock();
    if (self && !self->stopped_) {
      (self.get()->*step)();
    }
  });
}

void PlannerOwner::FenceFormerOwners() {
  ports_.store.Fence(kPlannerStream, token_,
                     [self = shared_from_this()](AppendAnswer result) {
                       if (self->stopped_) {
                         return;
                       }
                       const auto outcome = result.outcome;
                       if (outcome == AppendOutcome::kStored) {
                         self->Load();
                       } else if (outcome == AppendOutcome::kFenced) {
                         self->ports_.on_fenced(outcome);
                       } else {
                         self->Retry(&PlannerOwner::FenceFormerOwners);
                       }
                     });
}

void PlannerOwner::Load() {
  ports_.store.Load(
      kPlannerShard,
      [self = shared_from_this()](Result<std::vector<StoredRecord>> records) {
        if (self->stopped_) {
          return;
        }
        if (!records) {
          self->Retry(&PlannerOwner::Load);
          return;
        }
        self->loaded_ = true;
        self->Post(PlannerLoaded{std::move(*records)});
        self->SetPublished(self->published_);
        self->SetDivision(self->division_);
        self->TickLoop();
      });
}

void PlannerOwner::SetPublished(const FleetFeed::PublishedConfig& published) {
  published_ = published;
  if (loaded_ && published_.policies) {
    Post(PlannerPolicies{published_.policies});
    Post(WavesRead{published_.waves});
  }
}

void PlannerOwner::SetDivision(std::shared_ptr<const PoolDivision> division) {
  division_ = std::move(division);
  if (loaded_ && division_) {
    Post(PlannerDivision{division_});
  }
}

void PlannerOwner::TickLoop() {
  if (ports_.may_plan()) {
    Post(PlannerTick{});
    ExchangePlans();
  }
  tick_timer_.Set(kTickInterval, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && !self->stopped_) {
      self->TickLoop();
    }
  });
}

void PlannerOwner::ExchangePlans() {
  if (!published_.policies || !division_) {
    return;
  }
  std::set<ShardId> shards;
  for (const auto& [id, service] : published_.policies->services) {
    const auto& cells = division_->CellsOf(id);
    shards.insert(cells.begin(), cells.end());
  }
  std::vector<ShardId> turn(shards.upper_bound(last_exchanged_), shards.end());
  turn.insert(turn.end(), shards.begin(), shards.upper_bound(last_exchanged_));
  turn.resize(std::min(turn.size(), kMaxExchangesPerTick));
  if (turn.empty()) {
    return;
  }
  last_exchanged_ = turn.back();
  auto plans = planner_.Plans(SteadyNow());
  for (const auto& it : turn) {
    plans[it].planner = token_;
    ports_.exchange(it, std::move(plans[it]),
                    [weak = weak_from_this(), it](PoolUsage usage) {
                      if (const auto self = weak.lock()) {
                        self->Post(PoolUsageRead{it, std::move(usage)});
                      }
                    });
  }
}

void PlannerOwner::Post(decltype(PlannerEvent::body) body) {
  if (stopped_) {
    return;
  }
  auto effects =
      planner_.Apply({SteadyNow(), WallMilliseconds(), std::move(body)});
  for (auto& it : effects) {
    Execute(it);
  }
}

void PlannerOwner::Append() {
  ports_.store.Append(kPlannerStream, token_, sequence_, intent_.records,
                      kAppendTimeout,
                      [self = shared_from_this()](AppendAnswer result) {
                        if (self->stopped_) {
                          return;
                        }
                        switch (result.outcome) {
                          case AppendOutcome::kStored:
                            ++self->sequence_;
                            self->Post(IntentStored{self->intent_.commit});
                            break;
                          case AppendOutcome::kFenced:
                          case AppendOutcome::kOutOfSequence:
                            self->ports_.on_fenced(result.outcome);
                            break;
                          default:
                            self->Retry(&PlannerOwner::Append);
                            break;
                        }
                      });
}

void PlannerOwner::Report(const ReportWave& report) {
  ports_.feed.ReportWave(report,
                         [weak = weak_from_this(), report](bool stored) {
                           const auto self = weak.lock();
                           if (!self || self->stopped_ || stored) {
                             return;
                           }
                           self->report_timer_.Set(kRetryDelay, [weak, report] {
                             if (const auto locked = weak.lock()) {
                               locked->Report(report);
                             }
                           });
                         });
}

void PlannerOwner::Execute(PlannerEffect& effect) {
  struct Visitor {
    PlannerOwner& self;

    HostCalls::Done Done(const HostId& host) {
      return [weak = self.weak_from_this(), host](HostOrderResult result) {
        if (const auto owner = weak.lock()) {
          owner->Post(HostOrderFinished{host, result});
        }
      };
    }
    void operator()(StoreIntent& it) {
      self.intent_ = std::move(it);
      self.Append();
    }
    void operator()(const ReadHosts&) {
      self.ports_.hosts.List(
          [weak = self.weak_from_this()](Result<std::vector<HostInfo>> hosts) {
            const auto owner = weak.lock();
            if (!owner) {
              return;
            }
            owner->Post(hosts ? HostsRead{std::move(*hosts), false}
                              : HostsRead{{}, true});
          });
    }
    void operator()(const MoveHost& it) {
      if (self.ports_.may_send_orders()) {
        self.ports_.hosts.Move(it, self.token_, Done(it.host));
      } else {
        Done(it.host)(HostOrderResult::kRefused);
      }
    }
    void operator()(const MaintainHost& it) {
      if (self.ports_.may_send_orders()) {
        self.ports_.hosts.Maintain(it, self.token_, Done(it.host));
      } else {
        Done(it.host)(HostOrderResult::kRefused);
      }
    }
    void operator()(const ReportWave& it) { self.Report(it); }
    void operator()(const LogPlanDecision& it) {
      self.ports_.log.Write(it.decision, "", it.fields);
    }
  };
  std::visit(Visitor{*this}, effect);
}

}  // namespace baobab
