#include "libfleet/fleet_node.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace baobab {

namespace {

/** Timeout of one attempt to reach an owner, and the delay before the next. */
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(900);
constexpr Duration kRetryBackoff = std::chrono::milliseconds(120);
/** Maximum time to reach the owner of a shard before a submitting caller is
 * told to retry; a takeover takes about this long. */
constexpr Duration kOwnerSearchTimeout = std::chrono::milliseconds(2200);
/** Time after which a job that definitely reached no owner is refused: its
 * caller can do better than wait for a takeover of unknown length. */
constexpr Duration kUnsentSubmitTimeout = std::chrono::milliseconds(250);

/** Number of cells through which a request follows its job: the home, the cell
 * to which that delegates it, and those to which it is handed over. */
constexpr int kMaxDelegations = 8;

/** Part of the caller's remaining time that is reserved for the answer. */
constexpr Duration kAnswerMargin = std::chrono::milliseconds(150);

/** Returns the part of the caller's remaining time that the owner may use. */
Duration OwnerTimeBudget(Duration time_left) {
  return time_left - std::min(kAnswerMargin, time_left / 4);
}

}  // namespace

template <typename T>
struct FleetNode::Forward {
  /** Returns the shard to ask; empty while the pool is not divided. */
  std::function<std::optional<ShardId>()> find_shard;
  /** Returns the cell to which the answer delegates the job, if it does. */
  std::function<std::optional<ShardId>(const T&)> delegated_to;
  /** Shard to ask instead, once an answer has delegated the job. */
  std::optional<ShardId> delegate;
  /** Number of answers that have delegated the job. */
  int delegations = 0;
  Time deadline;
  /** End of the retries while no attempt can have been carried out. */
  Time retry_until;
  /** Start an attempt on this node, or on another. */
  std::function<void(ShardOwner&,
                     std::function<void(tl::expected<T, PeerFault>)>)>
      local;
  std::function<void(const std::string& peer,
                     ShardId shard,
                     Duration timeout,
                     std::function<void(tl::expected<T, PeerFault>)>)>
      remote;
  std::function<void(tl::expected<T, PeerFault>, bool maybe_done)> done;
  /** Set if a previous attempt may have been carried out. */
  bool maybe_done = false;
};

template <typename T>
void FleetNode::StartAttempt(std::shared_ptr<Forward<T>> forward) {
  // The owner may wait for the store beyond the caller's deadline.
  auto timer = std::make_shared<LoopTimer>(ports_.loop);
  auto settled = std::make_shared<bool>(false);
  const auto settle = guard_.Bind(
      [this, forward, timer, settled](tl::expected<T, PeerFault> answer) {
        if (!std::exchange(*settled, true)) {
          timer->Cancel();
          FinishAttempt<T>(forward, std::move(answer));
        }
      });
  const auto left = forward->deadline - SteadyNow();
  const auto shard =
      forward->delegate ? forward->delegate : forward->find_shard();
  if (!shard) {
    settle(tl::unexpected(PeerFault::kNotDone));
    return;
  }
  const auto listed = owners_.find(*shard);
  const bool replaced = !MakeMembershipCheck()() && listed != owners_.end() &&
                        listed->second.peer_address != config_.peer_address;
  if (auto* owner = FindCurrentShard(*shard); owner && !replaced) {
    forward->local(*owner, settle);
    if (!*settled) {
      timer->Set(std::max(left, Duration(0)),
                 [settle] { settle(tl::unexpected(PeerFault::kUnknown)); });
    }
    return;
  }
  if (listed == owners_.end() ||
      listed->second.peer_address == config_.peer_address) {
    settle(tl::unexpected(PeerFault::kNotDone));
    return;
  }
  forward->remote(listed->second.peer_address, *shard,
                  std::min(left, kAttemptTimeout), settle);
}

template <typename T>
void FleetNode::FinishAttempt(std::shared_ptr<Forward<T>> forward,
                              tl::expected<T, PeerFault> answer) {
  const auto delegate = answer && forward->delegated_to
                            ? forward->delegated_to(*answer)
                            : std::nullopt;
  if (delegate && ++forward->delegations <= kMaxDelegations) {
    forward->delegate = delegate;
    StartAttempt<T>(forward);
    return;
  }
  if (delegate) {
    answer = tl::unexpected(PeerFault::kUnknown);
  }
  const bool failed = !answer;
  if (failed && answer.error() == PeerFault::kUnknown) {
    forward->maybe_done = true;
  }
  const Time now = SteadyNow();
  const bool give_up = now + kRetryBackoff * 2 > forward->deadline ||
                       (!forward->maybe_done && now > forward->retry_until);
  if (!failed || give_up) {
    forward->done(std::move(answer), forward->maybe_done);
    return;
  }
  RefreshOwners();
  auto timer = std::make_shared<LoopTimer>(ports_.loop);
  timer->Set(kRetryBackoff,
             guard_.Bind([this, forward, timer] { StartAttempt<T>(forward); }));
}

void FleetNode::Submit(const JobId& job,
                       const QueuePolicy& queue,
                       const JobSpec& spec,
                       Duration time_left,
                       std::function<void(SubmitOutcome)> done) {
  using T = SubmitAnswer;
  done = [this, begin = SteadyNow(),
          done = std::move(done)](SubmitOutcome outcome) {
    ports_.log.metrics().Observe(
        "submit_seconds",
        std::chrono::duration<double>(SteadyNow() - begin).count());
    done(std::move(outcome));
  };
  auto forward = std::make_shared<Forward<T>>();
  forward->find_shard = HomeOfJob(queue, job);
  forward->deadline =
      SteadyNow() + std::min(OwnerTimeBudget(time_left), kOwnerSearchTimeout);
  forward->retry_until = SteadyNow() + kUnsentSubmitTimeout;
  auto delegated_ago = std::make_shared<std::optional<Duration>>();
  forward->delegated_to =
      [delegated_ago](const SubmitAnswer& answer) -> std::optional<ShardId> {
    if (answer.verdict != SubmitVerdict::kDelegated) {
      return std::nullopt;
    }
    *delegated_ago = answer.asked_ago;
    return answer.cell;
  };
  forward->local = [job, queue, spec, delegated_ago](ShardOwner& owner,
                                                     auto settle) {
    owner.Submit(job, queue, spec, *delegated_ago,
                 [settle](Result<SubmitAnswer> answer) {
                   if (answer) {
                     settle(std::move(*answer));
                   } else {
                     settle(tl::unexpected(PeerFault::kUnknown));
                   }
                 });
  };
  forward->remote = [this, job, queue, spec, delegated_ago](
                        const std::string& peer, ShardId shard,
                        Duration timeout, auto settle) {
    peers_.Submit(peer, shard, job, queue, spec, *delegated_ago, timeout,
                  settle);
  };
  forward->done = [done = std::move(done)](tl::expected<T, PeerFault> answer,
                                           bool maybe_done) {
    SubmitOutcome outcome;
    if (!answer) {
      outcome.outcome =
          maybe_done ? CallOutcome::kUnknown : CallOutcome::kNotDone;
      outcome.retry_after = std::chrono::milliseconds(1000);
      outcome.reason = "owner-unreachable";
    } else if (answer->verdict == SubmitVerdict::kAccepted) {
      outcome.outcome = CallOutcome::kDone;
    } else {
      // A previous attempt may still reach an owner, so a refusal is not final.
      outcome.outcome = maybe_done ? CallOutcome::kUnknown
                        : answer->verdict == SubmitVerdict::kInvalid
                            ? CallOutcome::kInvalid
                            : CallOutcome::kNotDone;
      outcome.retry_after = answer->retry_after;
      outcome.reason = answer->reason;
    }
    done(std::move(outcome));
  };
  StartAttempt<T>(forward);
}

void FleetNode::Cancel(const JobId& job,
                       const QueuePolicy& queue,
                       Duration time_left,
                       std::function<void(CallOutcome)> done) {
  const Time deadline = SteadyNow() + time_left;
  CancelInCell(
      HomeOfJob(queue, job), job, time_left,
      [this, job, queue, deadline, done = std::move(done)](
          tl::expected<CancelAnswer, PeerFault> answer, bool maybe_done) {
        if (!answer) {
          done(maybe_done ? CallOutcome::kUnknown : CallOutcome::kNotDone);
        } else if (answer->found) {
          done(CallOutcome::kDone);
        } else {
          // The delegation of a long job may have expired.
          FindInCells(job, queue, deadline - SteadyNow(),
                      [this, job, deadline, done](CallOutcome outcome,
                                                  std::optional<Found> found) {
                        if (outcome != CallOutcome::kDone) {
                          done(CallOutcome::kNotDone);
                        } else if (!found) {
                          done(CallOutcome::kInvalid);
                        } else {
                          CancelInCell([cell = found->cell] { return cell; },
                                       job, deadline - SteadyNow(),
                                       [done](auto answer, bool) {
                                         done(answer && answer->found
                                                  ? CallOutcome::kDone
                                                  : CallOutcome::kUnknown);
                                       });
                        }
                      });
        }
      });
}

void FleetNode::CancelInCell(
    std::function<std::optional<ShardId>()> find_cell,
    const JobId& job,
    Duration time_left,
    std::function<void(tl::expected<CancelAnswer, PeerFault>, bool maybe_done)>
        done) {
  using T = CancelAnswer;
  auto forward = std::make_shared<Forward<T>>();
  forward->find_shard = std::move(find_cell);
  forward->delegated_to = [](const T& answer) { return answer.cell; };
  forward->deadline = SteadyNow() + OwnerTimeBudget(time_left);
  forward->retry_until = forward->deadline;
  forward->local = [job](ShardOwner& owner, auto settle) {
    if (owner.engine().IsSetAside(job)) {
      settle(tl::unexpected(PeerFault::kNotDone));
      return;
    }
    owner.Cancel(job, [settle](Result<CancelAnswer> answer) {
      if (answer) {
        settle(*answer);
      } else {
        settle(tl::unexpected(PeerFault::kUnknown));
      }
    });
  };
  forward->remote = [this, job](const std::string& peer, ShardId shard,
                                Duration timeout, auto settle) {
    peers_.Cancel(peer, shard, job, timeout, settle);
  };
  forward->done = std::move(done);
  StartAttempt<T>(forward);
}

void FleetNode::GetJobState(
    const JobId& job,
    const QueuePolicy& queue,
    Duration time_left,
    std::function<void(CallOutcome, JobStateAnswer)> done) {
  const Time deadline = SteadyNow() + time_left;
  StateInCell(HomeOfJob(queue, job), job, time_left,
              [this, job, queue, deadline, done = std::move(done)](
                  tl::expected<JobStateAnswer, PeerFault> answer, bool) {
                if (!answer || answer->state) {
                  done(answer ? CallOutcome::kDone : CallOutcome::kNotDone,
                       answer.value_or(JobStateAnswer()));
                  return;
                }
                // The delegation of a long job may have expired.
                FindInCells(
                    job, queue, deadline - SteadyNow(),
                    [done](CallOutcome outcome, std::optional<Found> found) {
                      done(outcome,
                           found ? JobStateAnswer{found->state, std::nullopt}
                                 : JobStateAnswer());
                    });
              });
}

void FleetNode::StateInCell(
    std::function<std::optional<ShardId>()> find_cell,
    const JobId& job,
    Duration time_left,
    std::function<void(tl::expected<JobStateAnswer, PeerFault>, bool)> done) {
  using T = JobStateAnswer;
  auto forward = std::make_shared<Forward<T>>();
  forward->find_shard = std::move(find_cell);
  forward->delegated_to = [](const T& answer) { return answer.cell; };
  forward->deadline = SteadyNow() + OwnerTimeBudget(time_left);
  forward->retry_until = forward->deadline;
  forward->local = [job, membership_is_valid = MakeMembershipCheck()](
                       ShardOwner& owner, auto settle) {
    // Only the current owner knows that there is no such job.
    const auto answer = StateAt(owner, job);
    if (answer.state || answer.cell || membership_is_valid()) {
      settle(answer);
    } else {
      settle(tl::unexpected(PeerFault::kNotDone));
    }
  };
  forward->remote = [this, job](const std::string& peer, ShardId shard,
                                Duration timeout, auto settle) {
    peers_.GetJobState(peer, shard, job, timeout, settle);
  };
  forward->done = std::move(done);
  StartAttempt<T>(forward);
}

void FleetNode::FindInCells(
    const JobId& job,
    const QueuePolicy& queue,
    Duration time_left,
    std::function<void(CallOutcome, std::optional<Found>)> done) {
  struct Search {
    std::size_t open = 0;
    bool failed = false;
    std::optional<Found> found;
  };
  auto cells = CellsWithJobsOf(queue);
  std::erase(cells, keeper_.division()->HomeOfJob(queue.Key(), job));
  if (cells.empty()) {
    done(CallOutcome::kDone, std::nullopt);
    return;
  }
  auto search = std::make_shared<Search>();
  search->open = cells.size();
  for (const auto& it : cells) {
    StateInCell([it] { return it; }, job, time_left,
                [search, it, done](
                    tl::expected<JobStateAnswer, PeerFault> answer, bool) {
                  search->failed = search->failed || !answer;
                  if (answer && answer->state) {
                    search->found = Found{it, *answer->state};
                  }
                  if (--search->open > 0) {
                    return;
                  }
                  done(search->found || !search->failed ? CallOutcome::kDone
                                                        : CallOutcome::kNotDone,
                       search->found);
                });
  }
}

void FleetNode::Pending(const QueuePolicy& queue,
                        Duration time_left,
                        std::function<void(CallOutcome, int)> done) {
  struct Sum {
    std::size_t open = 0;
    int pending = 0;
    bool failed = false;
  };
  const auto cells = CellsWithJobsOf(queue);
  if (cells.empty()) {
    done(CallOutcome::kNotDone, 0);
    return;
  }
  // A sum without one of the cells would be wrong, so all must answer.
  auto sum = std::make_shared<Sum>();
  sum->open = cells.size();
  for (const auto& it : cells) {
    PendingInCell(
        it, queue.name, time_left,
        [sum, done](tl::expected<int, PeerFault> pending) {
          sum->failed = sum->failed || !pending;
          sum->pending += pending.value_or(0);
          if (--sum->open == 0) {
            done(sum->failed ? CallOutcome::kNotDone : CallOutcome::kDone,
                 sum->failed ? 0 : sum->pending);
          }
        });
  }
}

void FleetNode::PendingInCell(
    ShardId cell,
    const QueueId& queue,
    Duration time_left,
    std::function<void(tl::expected<int, PeerFault>)> done) {
  using T = int;
  auto forward = std::make_shared<Forward<T>>();
  forward->find_shard = [cell] { return cell; };
  forward->deadline = SteadyNow() + OwnerTimeBudget(time_left);
  forward->retry_until = forward->deadline;
  forward->local = [queue, membership_is_valid = MakeMembershipCheck()](
                       ShardOwner& owner, auto settle) {
    if (membership_is_valid()) {
      settle(owner.engine().Pending(queue));
    } else {
      settle(tl::unexpected(PeerFault::kNotDone));
    }
  };
  forward->remote = [this, queue](const std::string& peer, ShardId shard,
                                  Duration timeout, auto settle) {
    peers_.Pending(peer, shard, queue, timeout, settle);
  };
  forward->done = [done = std::move(done)](tl::expected<T, PeerFault> answer,
                                           bool) { done(std::move(answer)); };
  StartAttempt<T>(forward);
}

std::function<std::optional<ShardId>()> FleetNode::HomeOfJob(
    const QueuePolicy& queue,
    const JobId& job) const {
  return [this, key = queue.Key(), job] {
    return keeper_.division()->HomeOfJob(key, job);
  };
}

std::vector<ShardId> FleetNode::CellsWithJobsOf(
    const QueuePolicy& queue) const {
  std::set<ShardId> cells;
  for (const auto& it : keeper_.PoolsOf(queue)) {
    const auto& of_pool = keeper_.division()->CellsOf(it);
    cells.insert(of_pool.begin(), of_pool.end());
  }
  return {cells.begin(), cells.end()};
}

}  // namespace baobab
