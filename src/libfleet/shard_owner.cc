#include "libfleet/shard_owner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace baobab {

namespace {

/** Delay between attempts while the store does not answer. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(150);

/** Delay after an append without an answer. */
constexpr Duration kUnknownOutcomeRetryDelay = std::chrono::milliseconds(20);

/** Timeout of the first attempt to append: over ten times the latency of an
 * idle store. It doubles with each retry, for a store that has become slow. */
constexpr Duration kInitialAppendTimeout = std::chrono::milliseconds(600);
constexpr int kMaxTimeoutDoublings = 2;

/** Maximum size of the records of one call, unless a single one is larger. More
 * would take a small node longer to send than the timeout of an append. */
constexpr std::size_t kMaxBatchBytes = 512u << 10;

/** Bytes of a record in a call beside its key and value. */
constexpr std::size_t kRecordHeaderBytes = 5;

/** Time after which a caller may come back to a shard whose owner has failed:
 * about as long as until the next one has loaded it. */
constexpr Duration kFailedRetryAfter = std::chrono::milliseconds(1000);

/** Splits the records into calls of at most `max_bytes` each. */
std::deque<std::vector<StoredRecord>> SplitRecords(
    std::vector<StoredRecord> records,
    std::size_t max_bytes) {
  std::deque<std::vector<StoredRecord>> batches;
  std::size_t bytes = 0;
  for (auto& it : records) {
    const auto size = kRecordHeaderBytes + it.key.size() + it.value.size();
    if (batches.empty() || bytes + size > max_bytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += size;
    batches.back().push_back(std::move(it));
  }
  return batches;
}

/** Returns the job that an effect is about, or an empty id. */
struct JobOfEffect {
  template <typename T>
  JobId operator()(const T& effect) const {
    if constexpr (requires { effect.task.job; }) {
      return effect.task.job;
    } else if constexpr (requires { effect.step.job; }) {
      return effect.step.job;
    } else if constexpr (requires { effect.offer.job; }) {
      return effect.offer.job;
    } else {
      return JobId();
    }
  }
};

/** Time for which polls go on although another node may have had the shard, the
 * same as without an answer to renewals of the membership. They keep runs from
 * losing their leases; a worker that the other node has polled refuses them. */
constexpr Duration kMaxDoubtForPolls = std::chrono::milliseconds(4000);

Error ShardMovedError(ShardId shard) {
  return {"own shard", std::to_string(shard.value()), "the shard has moved"};
}

}  // namespace

ShardOwner::ShardOwner(const Ports& ports,
                       ShardId shard,
                       FenceToken token,
                       const PoolTuning& tuning)
    : ports_(ports),
      shard_(shard),
      token_(token),
      max_batch_bytes_(std::min(kMaxBatchBytes, tuning.max_request_bytes)),
      engine_(shard, tuning),
      retry_timer_(ports.loop),
      wake_timer_(ports.loop) {}

void ShardOwner::Start() {
  ports_.log.Write(
      "own-shard", "",
      fmt::format("shard={} token={}", shard_.value(), token_.value()));
  FenceFormerOwners();
}

void ShardOwner::Stop() {
  if (std::exchange(stopped_, true)) {
    return;
  }
  retry_timer_.Cancel();
  wake_timer_.Cancel();
  ports_.log.Write(
      "release-shard", "",
      fmt::format("shard={} token={}", shard_.value(), token_.value()));
  for (auto& [reply, done] : std::exchange(submits_, {})) {
    done(tl::unexpected(ShardMovedError(shard_)));
  }
  for (auto& [reply, done] : std::exchange(cancels_, {})) {
    done(tl::unexpected(ShardMovedError(shard_)));
  }
  for (auto& [reply, done] : std::exchange(offers_, {})) {
    done(false);
  }
}

void ShardOwner::Retry(void (ShardOwner::*step)(), Duration delay) {
  retry_timer_.Set(delay, [weak = weak_from_this(), step] {
    const auto self = weak.lock();
    if (self && !self->stopped_) {
      (self.get()->*step)();
    }
  });
}

void ShardOwner::FenceFormerOwners() {
  ports_.store.Fence({shard_, ShardWriter::kJobs}, token_,
                     [self = shared_from_this()](AppendAnswer result) {
                       if (self->stopped_) {
                         return;
                       }
                       if (result.outcome == AppendOutcome::kStored) {
                         self->end_ = result.end;
                         self->Load();
                       } else if (result.outcome == AppendOutcome::kFenced) {
                         self->ports_.on_fenced(self->shard_, result.outcome);
                       } else {
                         self->Retry(&ShardOwner::FenceFormerOwners,
                                     kRetryDelay);
                       }
                     });
}

void ShardOwner::Verify(FenceToken token) {
  if (!unverified_token_) {
    doubted_at_ = SteadyNow();
  }
  unverified_token_ = token;
  FenceAndCompare();
}

void ShardOwner::FenceAndCompare() {
  if (write_in_flight_) {
    // Continues after the answer, which tells where the shard ends.
    return;
  }
  write_in_flight_ = true;
  ports_.store.Fence({shard_, ShardWriter::kJobs}, *unverified_token_,
                     [self = shared_from_this(),
                      token = *unverified_token_](AppendAnswer result) {
                       if (self->stopped_) {
                         return;
                       }
                       self->write_in_flight_ = false;
                       if (token == self->unverified_token_) {
                         self->FinishVerification(result);
                       } else {
                         self->FenceAndCompare();
                       }
                     });
}

void ShardOwner::FinishVerification(AppendAnswer result) {
  if (result.outcome != AppendOutcome::kStored &&
      result.outcome != AppendOutcome::kFenced) {
    Retry(&ShardOwner::FenceAndCompare, kRetryDelay);
    return;
  }
  const bool unchanged = result.outcome == AppendOutcome::kStored && end_ &&
                         result.end && *end_ == *result.end;
  ports_.log.Write(
      "verify-shard", "",
      fmt::format("shard={} token={} former={} unchanged={} end={} "
                  "expected_end={} took_ms={}",
                  shard_.value(), unverified_token_->value(), token_.value(),
                  unchanged ? "yes" : "no",
                  result.end ? std::to_string(*result.end) : "unknown",
                  end_ ? std::to_string(*end_) : "unknown",
                  (SteadyNow() - doubted_at_).count() / 1000));
  if (result.outcome == AppendOutcome::kFenced) {
    ports_.on_fenced(shard_, result.outcome);
    return;
  }
  if (!unchanged) {
    ports_.on_outdated(shard_);
    return;
  }
  token_ = *std::exchange(unverified_token_, std::nullopt);
  sequence_ = 0;
  if (committing_ || failing_) {
    Append();
  }
}

bool ShardOwner::MaySendOrders() const {
  return !unverified_token_ && ports_.may_send_orders();
}

bool ShardOwner::MayPoll() const {
  return ports_.may_send_orders() &&
         (!unverified_token_ || SteadyNow() - doubted_at_ < kMaxDoubtForPolls);
}

void ShardOwner::Load() {
  ports_.store.Load(shard_, [self = shared_from_this()](
                                Result<std::vector<StoredRecord>> records) {
    if (self->stopped_) {
      return;
    }
    if (!records) {
      self->ports_.log.Write("load-failed", "", ToString(records.error()));
      self->Retry(&ShardOwner::Load, kRetryDelay);
      return;
    }
    self->ports_.log.Write(
        "load-shard", "",
        fmt::format("shard={} token={} records={}", self->shard_.value(),
                    self->token_.value(), records->size()));
    self->Post(ShardLoaded{std::move(*records)});
    if (self->policies_) {
      self->Post(PoliciesChanged{self->policies_});
    }
    if (self->division_) {
      self->Post(DivisionChanged{self->division_});
    }
    if (self->workers_) {
      self->Post(WorkersListed{self->workers_, self->workers_read_at_});
    }
  });
}

void ShardOwner::Submit(const JobId& job,
                        const QueuePolicy& queue,
                        JobSpec spec,
                        std::optional<Duration> delegated_ago,
                        SubmitDone done) {
  if (failing_) {
    done(SubmitAnswer{SubmitVerdict::kRefused, kFailedRetryAfter,
                      "shard-failed"});
    return;
  }
  const ReplyId reply(++last_reply_id_);
  submits_.emplace(reply, std::move(done));
  Post(SubmitRequested{reply, job, queue, std::move(spec),
                       delegated_ago.has_value(),
                       delegated_ago.value_or(Duration(0))});
}

void ShardOwner::Cancel(const JobId& job, CancelDone done) {
  if (!IsLoaded()) {
    done(tl::unexpected(
        Error{"cancel job", job.value(), "the shard is not loaded"}));
    return;
  }
  const ReplyId reply(++last_reply_id_);
  cancels_.emplace(reply, std::move(done));
  Post(CancelRequested{reply, job});
}

void ShardOwner::TakeJob(JobOffer offer, OfferDone done) {
  if (failing_) {
    done(false);
    return;
  }
  const ReplyId reply(++last_reply_id_);
  offers_.emplace(reply, std::move(done));
  Post(JobOffered{reply, std::move(offer)});
}

void ShardOwner::SetPolicies(std::shared_ptr<const PolicySet> policies) {
  policies_ = std::move(policies);
  if (IsLoaded()) {
    Post(PoliciesChanged{policies_});
  }
}

void ShardOwner::SetDivision(std::shared_ptr<const PoolDivision> division) {
  division_ = std::move(division);
  if (IsLoaded()) {
    Post(DivisionChanged{division_});
    if (workers_) {
      Post(WorkersListed{workers_, workers_read_at_});
    }
  }
}

void ShardOwner::SetWorkers(std::shared_ptr<const WorkerList> workers,
                            Time read_at) {
  workers_ = std::move(workers);
  workers_read_at_ = read_at;
  if (IsLoaded()) {
    Post(WorkersListed{workers_, workers_read_at_});
  }
}

std::optional<PoolUsage> ShardOwner::ApplyPlan(HostPlan plan) {
  if (!engine_.AcceptsPlan(plan)) {
    return std::nullopt;
  }
  Post(HostsPlanned{std::move(plan)});
  return engine_.Usage(SteadyNow());
}

void ShardOwner::Post(PoolEventBody body) {
  if (stopped_ || failing_) {
    return;
  }
  JobId job;
  try {
    auto effects =
        engine_.Apply({SteadyNow(), WallMilliseconds(), std::move(body)});
    for (auto& it : effects) {
      job = std::visit(JobOfEffect(), it);
      Execute(it);
    }
  } catch (const std::exception& error) {
    Fail(job.value().empty() ? engine_.subject().job : job, error.what());
  }
}

void ShardOwner::Fail(const JobId& job, const char* fault) {
  if (std::exchange(failing_, true)) {
    return;
  }
  // The state may be incomplete; the next owner loads it from the store.
  const auto& subject = engine_.subject();
  ports_.log.Write(
      "shard-failed", job.value(),
      fmt::format("shard={} event={} occurrence={} step={} "
                  "failures={} fault=\"{}\"",
                  shard_.value(), subject.event, subject.occurrence,
                  subject.step, engine_.FailuresAt(job) + 1, fault));
  if (job.value().empty()) {
    ports_.on_failed(shard_);
    return;
  }
  // An append may be in flight; what follows it in its commit is left out.
  const bool appending = !batches_.empty();
  batches_.resize(appending ? 1 : 0);
  batches_.push_back(
      {{JobFailuresKey(job), EncodeJobFailures(engine_.FailuresAt(job) + 1)}});
  if (!appending) {
    Append();
  }
}

void ShardOwner::Append() {
  if (unverified_token_) {
    FenceAndCompare();
    return;
  }
  if (batches_.empty() && failing_) {
    ports_.on_failed(shard_);
    return;
  }
  if (batches_.empty()) {
    ports_.log.metrics().Observe(
        "commit_seconds",
        std::chrono::duration<double>(SteadyNow() - commit_started_at_)
            .count());
    committing_ = false;
    Post(CommitStored{commit_, std::exchange(rejected_, {})});
    return;
  }
  const auto timeout = kInitialAppendTimeout *
                       (1 << std::min(append_attempts_, kMaxTimeoutDoublings));
  ++append_attempts_;
  write_in_flight_ = true;
  ports_.store.Append(
      {shard_, ShardWriter::kJobs}, token_, sequence_, batches_.front(),
      timeout, [self = shared_from_this()](AppendAnswer result) {
        if (self->stopped_) {
          return;
        }
        self->write_in_flight_ = false;
        switch (result.outcome) {
          case AppendOutcome::kStored:
            self->end_ = result.end;
            ++self->sequence_;
            self->append_attempts_ = 0;
            self->batches_.pop_front();
            self->Append();
            break;
          case AppendOutcome::kFenced:
          case AppendOutcome::kOutOfSequence:
            self->ports_.on_fenced(self->shard_, result.outcome);
            break;
          case AppendOutcome::kRefused:
            self->Retry(&ShardOwner::Append, kRetryDelay);
            break;
          case AppendOutcome::kRejected:
            self->LeaveOutRejected();
            break;
          case AppendOutcome::kUnknown:
            // The timeout has already passed, or the connection
            // broke.
            self->Retry(&ShardOwner::Append, kUnknownOutcomeRetryDelay);
            break;
        }
      });
}

void ShardOwner::LeaveOutRejected() {
  auto records = std::move(batches_.front());
  batches_.pop_front();
  if (records.size() == 1) {
    const auto& record = records.front();
    ports_.log.Write("record-rejected", "",
                     fmt::format("shard={} key={} bytes={}", shard_.value(),
                                 record.key, record.value.size()));
    rejected_.push_back(record.key);
  } else {
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
      batches_.push_front({std::move(*it)});
    }
  }
  append_attempts_ = 0;
  Append();
}

void ShardOwner::Execute(PoolEffect& effect) {
  const auto weak = weak_from_this();
  const auto post = [weak](PoolEventBody body) {
    if (const auto self = weak.lock()) {
      self->Post(std::move(body));
    }
  };
  struct Visitor {
    ShardOwner& self;
    std::function<void(PoolEventBody)> post;

    void operator()(StoreCommit& it) {
      self.commit_ = it.commit;
      self.batches_ =
          SplitRecords(std::move(it.records), self.max_batch_bytes_);
      self.append_attempts_ = 0;
      self.committing_ = true;
      self.commit_started_at_ = SteadyNow();
      self.Append();
    }
    void operator()(const PollWorker& it) {
      if (!self.MayPoll()) {
        PostLater(
            PollFinished{it.worker, it.poll, OrderResult::kNotAllowed, {}});
        return;
      }
      self.ports_.workers.Poll(
          it, self.token_,
          [post = post, worker = it.worker, poll = it.poll](
              OrderResult result, WorkerReport report) {
            post(PollFinished{worker, poll, result, std::move(report)});
          });
    }
    void operator()(const StartRun& it) {
      if (!self.MaySendOrders()) {
        PostLater(
            StartFinished{it.worker, it.task, it.run, OrderResult::kNotSent});
        return;
      }
      self.ports_.workers.Start(
          it, self.token_,
          [post = post, worker = it.worker, task = it.task, run = it.run](
              OrderResult result, std::optional<std::int64_t> clock_ms) {
            post(StartFinished{worker, task, run, result, clock_ms});
          });
    }
    void operator()(const StopRun& it) {
      if (!self.MaySendOrders()) {
        PostLater(StopFinished{it.worker, it.task, it.run,
                               OrderResult::kNotSent, it.incarnation});
        return;
      }
      self.ports_.workers.Stop(
          it, self.token_,
          [post = post, worker = it.worker, task = it.task, run = it.run,
           incarnation = it.incarnation](OrderResult result) {
            post(StopFinished{worker, task, run, result, incarnation});
          });
    }
    void operator()(const ThrottleRun& it) {
      if (!self.MaySendOrders()) {
        PostLater(ThrottleFinished{it.task, it.run, OrderResult::kNotSent});
        return;
      }
      self.ports_.workers.Throttle(
          it, self.token_,
          [post = post, task = it.task, run = it.run](OrderResult result) {
            post(ThrottleFinished{task, run, result});
          });
    }
    void operator()(const RequestAdviceEffect& it) {
      self.ports_.workers.RequestAdvice(
          it, [post = post](AdviceReceived given) { post(std::move(given)); });
    }
    void operator()(AnswerSubmit& it) {
      if (auto node = self.submits_.extract(it.reply)) {
        node.mapped()(SubmitAnswer{it.verdict, it.retry_after,
                                   std::move(it.reason), it.cell,
                                   it.asked_ago});
      }
    }
    void operator()(const AnswerCancel& it) {
      if (auto node = self.cancels_.extract(it.reply)) {
        node.mapped()(CancelAnswer{it.found, it.cell});
      }
    }
    void operator()(OfferJob& it) {
      if (!self.MaySendOrders()) {
        PostLater(OfferFinished{it.offer.job, it.offer.number, false});
        return;
      }
      self.ports_.offer_job(it.cell, it.offer,
                            [post = post, job = it.offer.job,
                             number = it.offer.number](bool stored) {
                              post(OfferFinished{job, number, stored});
                            });
    }
    void operator()(const AnswerOffer& it) {
      if (auto node = self.offers_.extract(it.reply)) {
        node.mapped()(it.stored);
      }
    }
    void operator()(const WakeUp& it) {
      self.wake_timer_.Set(it.after, [post = post] { post(PoolTick{}); });
    }
    void PostLater(PoolEventBody body) {
      boost::asio::post(self.ports_.loop,
                        [post = post, body = std::move(body)] { post(body); });
    }
    void operator()(const LogDecision& it) {
      self.ports_.log.Write(it.decision, it.job.value(), it.fields,
                            it.of_run ? LineKind::kRun : LineKind::kDecision);
    }
  };
  std::visit(Visitor{*this, post}, effect);
}

}  // namespace baobab
