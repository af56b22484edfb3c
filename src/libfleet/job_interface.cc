#include "libfleet/job_interface.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "libwire/bounded_dom.h"

namespace baobab {

namespace {

/** Timeout of a call, about as long as that of other callers. */
constexpr Duration kCallTimeout = std::chrono::milliseconds(3000);
constexpr std::size_t kMaxIdLength = 64;
constexpr char kJobsPath[] = "/jobs/";

HttpResponse JsonAnswer(int status, const Json& body) {
  return {status, {}, DumpJson(body)};
}

HttpResponse RetryLaterAnswer(Duration retry_after, const std::string& reason) {
  const auto seconds =
      std::max<std::int64_t>(1, (retry_after.count() + 999'999) / 1'000'000);
  return {503,
          {{"Retry-After", std::to_string(seconds)}},
          DumpJson({{"error", reason}})};
}

HttpResponse OutcomeUnknownAnswer() {
  return JsonAnswer(504, {{"error", "outcome unknown"}});
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isalnum(static_cast<unsigned char>(c)) || c == '-' ||
                  c == '_';
         });
}

StepSpec ParseStep(const Json& json) {
  StepSpec step;
  step.count = json.value("count", 1);
  step.need.cpu_milli = json.value("cpu_milli", std::int64_t{0});
  step.need.mem_mb = json.value("mem_mb", std::int64_t{0});
  step.need.gpus = json.value("gpus", std::int64_t{0});
  step.estimate =
      std::chrono::milliseconds(json.value("estimate_ms", std::int64_t{0}));
  step.after = json.value("after", std::vector<int>());
  step.checkpoints = json.value("checkpoints", false);
  step.gang = json.value("gang", false);
  step.rack_local = json.value("rack_local", false);
  step.long_running = json.value("lasting", false);
  step.background = json.value("fills", false);
  step.label = json.value("label", "");
  step.data_rack = json.value("data_rack", "");
  step.max_per_worker = json.value("most_per_worker", 0);
  step.image = json.value("image", "");
  step.max_unavailable = json.value("may_miss", 0);
  return step;
}

}  // namespace

const char* StateName(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "";
}

Result<JobSpec> ParseJobSpec(std::string_view body) {
  const auto fault = [](std::string message) {
    return tl::unexpected(Error{"read job", "", std::move(message)});
  };
  const auto json = ParseJson(body);
  if (!json || !json->is_object()) {
    return fault("no JSON object");
  }
  JobSpec spec;
  try {
    spec.payload = json->value("payload", "");
    for (const auto& it : json->at("steps")) {
      spec.steps.push_back(ParseStep(it));
    }
    spec.repeats = json->value("repeats", 0);
    spec.first_due_wall_ms = json->value("first_due_ms", std::int64_t{0});
    spec.interval_ms = json->value("interval_ms", std::int64_t{0});
  } catch (const Json::exception& error) {
    return fault(error.what());
  }
  if (const auto checked = CheckSpec(spec); !checked) {
    return tl::unexpected(checked.error());
  }
  return spec;
}

void JobInterface::Serve(const HttpRequest& request,
                         AsyncHttpServer::Responder respond) {
  std::string_view target = request.target;
  if (target == "/status") {
    respond({200, {{"Content-Type", "text/plain"}}, node_.StatusText()});
    return;
  }
  if (target == "/metrics") {
    respond({200, {{"Content-Type", "text/plain"}}, metrics_.PrometheusText()});
    return;
  }
  if (!target.starts_with(kJobsPath)) {
    respond(JsonAnswer(404, {{"error", "use /jobs, /status or /metrics"}}));
    return;
  }
  target.remove_prefix(sizeof(kJobsPath) - 1);
  const auto slash = target.find('/');
  const auto policies = node_.policies();
  if (!policies) {
    respond(RetryLaterAnswer(std::chrono::seconds(1), "no configuration yet"));
    return;
  }
  const auto* queue =
      policies->Find(QueueId(std::string(target.substr(0, slash))));
  if (!queue) {
    respond(JsonAnswer(404, {{"error", "no such queue"}}));
    return;
  }
  if (slash == std::string_view::npos) {
    ServeQueue(*queue, std::move(respond));
    return;
  }
  const auto id = target.substr(slash + 1);
  if (!IsId(id)) {
    respond(JsonAnswer(
        400, {{"error", "an id has 1 to 64 letters, digits, - and _"}}));
    return;
  }
  ServeJob(request, *queue, JobId(std::string(id)), std::move(respond));
}

void JobInterface::ServeQueue(const QueuePolicy& queue,
                              AsyncHttpServer::Responder respond) {
  node_.Pending(queue, kCallTimeout,
                [respond = std::move(respond)](CallOutcome outcome, int n) {
                  respond(outcome == CallOutcome::kDone
                              ? JsonAnswer(200, {{"pending", n}})
                              : RetryLaterAnswer(std::chrono::seconds(1),
                                                 "owner unreachable"));
                });
}

void JobInterface::ServeJob(const HttpRequest& request,
                            const QueuePolicy& queue,
                            const JobId& job,
                            AsyncHttpServer::Responder respond) {
  if (request.method == "POST") {
    const auto spec = ParseJobSpec(request.body);
    if (!spec) {
      respond(JsonAnswer(400, {{"error", ToString(spec.error())}}));
      return;
    }
    node_.Submit(
        job, queue, *spec, kCallTimeout,
        [respond = std::move(respond)](const SubmitOutcome& outcome) {
          switch (outcome.outcome) {
            case CallOutcome::kDone:
              respond(JsonAnswer(200, {{"accepted", true}}));
              return;
            case CallOutcome::kNotDone:
              respond(RetryLaterAnswer(outcome.retry_after, outcome.reason));
              return;
            case CallOutcome::kInvalid:
              respond(JsonAnswer(400, {{"error", outcome.reason}}));
              return;
            case CallOutcome::kUnknown:
              respond(OutcomeUnknownAnswer());
          }
        });
  } else if (request.method == "GET") {
    node_.GetJobState(
        job, queue, kCallTimeout,
        [respond = std::move(respond)](CallOutcome outcome,
                                       const JobStateAnswer& answer) {
          if (outcome != CallOutcome::kDone) {
            respond(
                RetryLaterAnswer(std::chrono::seconds(1), "owner unreachable"));
          } else if (!answer.state) {
            respond(JsonAnswer(404, {{"error", "no such job"}}));
          } else {
            respond(JsonAnswer(200, {{"state", StateName(*answer.state)}}));
          }
        });
  } else if (request.method == "DELETE") {
    node_.Cancel(job, queue, kCallTimeout,
                 [respond = std::move(respond)](CallOutcome outcome) {
                   switch (outcome) {
                     case CallOutcome::kDone:
                       respond(JsonAnswer(200, {{"cancelled", true}}));
                       return;
                     case CallOutcome::kInvalid:
                       respond(JsonAnswer(404, {{"error", "no such job"}}));
                       return;
                     case CallOutcome::kNotDone:
                       respond(RetryLaterAnswer(std::chrono::seconds(1),
                                                "owner unreachable"));
                       return;
                     case CallOutcome::kUnknown:
                       respond(OutcomeUnknownAnswer());
                   }
                 });
  } else {
    respond(JsonAnswer(405, {{"error", "use POST, GET or DELETE"}}));
  }
}

}  // namespace baobab
