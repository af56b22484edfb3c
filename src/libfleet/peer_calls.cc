#include "libfleet/peer_calls.h"

#include <string_view>
#include <utility>

#include "libfleet/planner_codec.h"
#include "libjobs/stored_job.h"
#include "libwire/bounded_dom.h"

namespace baobab {

namespace {

constexpr Duration kNotifyTimeout = std::chrono::milliseconds(500);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotOwner = 421;
/** The plan is of a planner that was replaced. */
constexpr int kFormerPlanner = 409;
/** The job is set aside. */
constexpr int kSetAside = 423;
/** The owner lost the shard while it handled the request. */
constexpr int kOutcomeUnknown = 504;

std::string ToMessagePack(const Json& json) {
  std::string out;
  Json::to_msgpack(json, out);
  return out;
}

HttpRequest MakeRequest(const char* target, const Json& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = ToMessagePack(body);
  return request;
}

/** Returns a callback that decodes an answer with `read`, which may throw, and
 * passes the value to `done`. */
template <typename T>
AsyncHttpClient::Callback DecodingCallback(PeerCalls::Done<T> done,
                                           T (*read)(const Json&)) {
  return [done = std::move(done),
          read](tl::expected<HttpResponse, CallFailure> answer) {
    if (!answer) {
      done(tl::unexpected(answer.error().not_sent ? PeerFault::kNotDone
                                                  : PeerFault::kUnknown));
      return;
    }
    if (answer->status != kOk) {
      done(tl::unexpected(answer->status == kOutcomeUnknown
                              ? PeerFault::kUnknown
                              : PeerFault::kNotDone));
      return;
    }
    T value;
    try {
      value = read(RequireMessagePack(answer->body));
    } catch (const std::exception&) {
      done(tl::unexpected(PeerFault::kUnknown));
      return;
    }
    done(std::move(value));
  };
}

Json CellToJson(const std::optional<ShardId>& cell) {
  return cell ? Json(cell->value()) : Json();
}

std::optional<ShardId> CellFromJson(const Json& json) {
  return json.is_null() ? std::nullopt
                        : std::optional(ShardId(json.get<int>()));
}

void SendAnswer(const std::function<void(HttpResponse)>& respond,
                const Json& body) {
  respond({kOk, {}, ToMessagePack(body)});
}

void ServeSubmit(ShardOwner& owner,
                 const Json& body,
                 std::function<void(HttpResponse)> respond) {
  const JobId id(body.at(1).get<std::string>());
  const auto loaded =
      DecodeJobs({{AcceptanceKey(id), body.at(2).get<std::string>()}});
  if (!loaded.jobs.contains(id)) {
    respond({kBadRequest, {}, ""});
    return;
  }
  const Job& job = loaded.jobs.at(id);
  QueuePolicy queue;
  queue.name = job.queue;
  queue.service = job.service;
  queue.priority = job.priority;
  queue.max_attempts = job.max_attempts;
  queue.stretch = job.stretch;
  queue.target = job.target;
  if (job.needs_advice) {
    queue.advice = AdvicePolicy();
  }
  std::optional<Duration> delegated_ago;
  if (body.at(3).is_number_integer()) {
    delegated_ago = Duration(body.at(3).get<std::int64_t>());
  }
  owner.Submit(id, queue, job.spec, delegated_ago,
               [respond = std::move(respond)](Result<SubmitAnswer> answer) {
                 if (!answer) {
                   respond({kOutcomeUnknown, {}, ""});
                   return;
                 }
                 SendAnswer(respond,
                            Json::array({static_cast<int>(answer->verdict),
                                         answer->retry_after.count(),
                                         answer->reason, answer->cell.value(),
                                         answer->asked_ago.count()}));
               });
}

void ServeCancel(ShardOwner& owner,
                 const Json& body,
                 std::function<void(HttpResponse)> respond) {
  const JobId job(body.at(1).get<std::string>());
  if (owner.engine().IsSetAside(job)) {
    respond({kSetAside, {}, ""});
    return;
  }
  owner.Cancel(job, [respond =
                         std::move(respond)](Result<CancelAnswer> answer) {
    if (!answer) {
      respond({kOutcomeUnknown, {}, ""});
      return;
    }
    SendAnswer(respond, Json::array({answer->found, CellToJson(answer->cell)}));
  });
}

void ServeOffer(ShardOwner& owner,
                const Json& body,
                std::function<void(HttpResponse)> respond) {
  JobOffer offer;
  offer.job = JobId(body.at(1).get<std::string>());
  offer.number = body.at(2).get<int>();
  for (const auto& it : body.at(3)) {
    offer.records.push_back(
        {it.at(0).get<std::string>(), it.at(1).get<std::string>()});
  }
  owner.TakeJob(std::move(offer), [respond = std::move(respond)](bool stored) {
    SendAnswer(respond, Json::array({stored}));
  });
}

/** Returns whether only the current owner may answer the call: the next one may
 * have accepted jobs or handed them on, or started runs on hosts that a former
 * one takes for free. */
bool IsForCurrentOwner(std::string_view target) {
  return target == "/pending" || target == "/plan" || target == "/offer";
}

}  // namespace

JobStateAnswer StateAt(const ShardOwner& owner, const JobId& job) {
  return {owner.engine().StateOf(job), owner.engine().DelegatedTo(job)};
}

void PeerCalls::Submit(const std::string& peer,
                       ShardId shard,
                       const JobId& job,
                       const QueuePolicy& queue,
                       const JobSpec& spec,
                       std::optional<Duration> delegated_ago,
                       Duration timeout,
                       Done<SubmitAnswer> done) {
  Job encoded_job;
  encoded_job.id = job;
  encoded_job.queue = queue.name;
  encoded_job.service = queue.service;
  encoded_job.priority = queue.priority;
  encoded_job.max_attempts = queue.max_attempts;
  encoded_job.stretch = queue.stretch;
  encoded_job.target = queue.target;
  encoded_job.needs_advice = queue.advice.has_value();
  encoded_job.spec = spec;
  client_.Call(
      peer,
      MakeRequest(
          "/submit",
          Json::array({shard.value(), job.value(),
                       EncodeAcceptance(encoded_job),
                       delegated_ago ? Json(delegated_ago->count()) : Json()})),
      timeout,
      DecodingCallback<SubmitAnswer>(std::move(done), [](const Json& json) {
        return SubmitAnswer{static_cast<SubmitVerdict>(json.at(0).get<int>()),
                            Duration(json.at(1).get<std::int64_t>()),
                            json.at(2).get<std::string>(),
                            ShardId(json.at(3).get<int>()),
                            Duration(json.at(4).get<std::int64_t>())};
      }));
}

void PeerCalls::Cancel(const std::string& peer,
                       ShardId shard,
                       const JobId& job,
                       Duration timeout,
                       Done<CancelAnswer> done) {
  client_.Call(
      peer, MakeRequest("/cancel", Json::array({shard.value(), job.value()})),
      timeout,
      DecodingCallback<CancelAnswer>(std::move(done), [](const Json& json) {
        return CancelAnswer{json.at(0).get<bool>(), CellFromJson(json.at(1))};
      }));
}

void PeerCalls::GetJobState(const std::string& peer,
                            ShardId shard,
                            const JobId& job,
                            Duration timeout,
                            Done<JobStateAnswer> done) {
  client_.Call(
      peer, MakeRequest("/ask", Json::array({shard.value(), job.value()})),
      timeout,
      DecodingCallback<JobStateAnswer>(std::move(done), [](const Json& json) {
        JobStateAnswer answer;
        if (json.at(0).get<int>() >= 0) {
          answer.state = static_cast<JobState>(json.at(0).get<int>());
        }
        answer.cell = CellFromJson(json.at(1));
        return answer;
      }));
}

void PeerCalls::Pending(const std::string& peer,
                        ShardId shard,
                        const QueueId& queue,
                        Duration timeout,
                        Done<int> done) {
  client_.Call(
      peer,
      MakeRequest("/pending", Json::array({shard.value(), queue.value()})),
      timeout, DecodingCallback<int>(std::move(done), [](const Json& json) {
        return json.at(0).get<int>();
      }));
}

void PeerCalls::OfferJob(const std::string& peer,
                         ShardId shard,
                         const JobOffer& offer,
                         Duration timeout,
                         Done<bool> done) {
  auto records = Json::array();
  for (const auto& it : offer.records) {
    records.push_back({it.key, it.value});
  }
  client_.Call(
      peer,
      MakeRequest("/offer", Json::array({shard.value(), offer.job.value(),
                                         offer.number, std::move(records)})),
      timeout, DecodingCallback<bool>(std::move(done), [](const Json& json) {
        return json.at(0).get<bool>();
      }));
}

void PeerCalls::NotifyRebalanced(const std::string& peer) {
  // A node that misses this learns of it at its next membership renewal.
  client_.Call(peer, MakeRequest(kRebalancedTarget, Json::array()),
               kNotifyTimeout, [](const auto&) {});
}

void PeerCalls::ReadOwners(const std::string& peer,
                           Duration timeout,
                           Done<std::map<ShardId, OwnerNode>> done) {
  using Owners = std::map<ShardId, OwnerNode>;
  client_.Call(peer, MakeRequest(kOwnersTarget, Json::array()), timeout,
               DecodingCallback<Owners>(std::move(done), [](const Json& json) {
                 Owners owners;
                 for (const auto& it : json) {
                   owners[ShardId(it.at(0).get<int>())] = {
                       it.at(1).get<std::string>(), it.at(2).get<int>()};
                 }
                 return owners;
               }));
}

HttpResponse OwnersAnswer(const std::map<ShardId, OwnerNode>& owners) {
  auto rows = Json::array();
  for (const auto& [shard, owner] : owners) {
    rows.push_back(
        Json::array({shard.value(), owner.peer_address, owner.milli_cores}));
  }
  return {kOk, {}, ToMessagePack(rows)};
}

void PeerCalls::ApplyPlan(const std::string& peer,
                          ShardId shard,
                          const HostPlan& plan,
                          Duration timeout,
                          Done<PoolUsage> done) {
  client_.Call(
      peer,
      MakeRequest("/plan", Json::array({shard.value(), HostPlanToJson(plan)})),
      timeout, DecodingCallback<PoolUsage>(std::move(done), PoolUsageFromJson));
}

void ServePeer(const HttpRequest& request,
               const FindShard& find,
               const std::function<bool()>& membership_is_valid,
               std::function<void(HttpResponse)> respond) {
  try {
    const auto body = RequireMessagePack(request.body);
    ShardOwner* owner = find(ShardId(body.at(0).get<int>()));
    if (!owner) {
      respond({kNotOwner, {}, ""});
      return;
    }
    if (IsForCurrentOwner(request.target) && !membership_is_valid()) {
      respond({kNotOwner, {}, ""});
    } else if (request.target == "/submit") {
      ServeSubmit(*owner, body, respond);
    } else if (request.target == "/cancel") {
      ServeCancel(*owner, body, respond);
    } else if (request.target == "/offer") {
      ServeOffer(*owner, body, respond);
    } else if (request.target == "/ask") {
      const auto answer = StateAt(*owner, JobId(body.at(1).get<std::string>()));
      if (!answer.state && !answer.cell && !membership_is_valid()) {
        respond({kNotOwner, {}, ""});
        return;
      }
      SendAnswer(
          respond,
          Json::array({answer.state ? static_cast<int>(*answer.state) : -1,
                       CellToJson(answer.cell)}));
    } else if (request.target == "/pending") {
      SendAnswer(respond, Json::array({owner->engine().Pending(
                              QueueId(body.at(1).get<std::string>()))}));
    } else if (request.target == "/plan") {
      const auto usage = owner->ApplyPlan(HostPlanFromJson(body.at(1)));
      if (usage) {
        SendAnswer(respond, PoolUsageToJson(*usage));
      } else {
        respond({kFormerPlanner, {}, ""});
      }
    } else {
      respond({kBadRequest, {}, ""});
    }
  } catch (const std::exception&) {
    respond({kBadRequest, {}, ""});
  }
}

}  // namespace baobab
