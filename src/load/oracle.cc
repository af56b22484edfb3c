#include "load/oracle.h"

#include <algorithm>
#include <thread>

#include <httplib.h>

namespace baobab::load {
namespace {

constexpr std::size_t kMaxExamples = 10;
constexpr std::chrono::milliseconds kPollInterval(100);

/** Returns the value below which `share` of the sorted values lie. */
double Quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(at, sorted.size() - 1)];
}

}  // namespace

Result<Executions> ReadExecutions(const std::vector<std::string>& minions,
                                  std::chrono::milliseconds settle) {
  const auto deadline = std::chrono::steady_clock::now() + settle;
  Executions executions;
  for (const auto& it : minions) {
    for (;;) {
      httplib::Client client("http://" + it);
      const auto answer = client.Get("/executions");
      const auto json =
          nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
      if (!json.is_object()) {
        return tl::unexpected(
            Error{"read executions", it, "no answer, or not a JSON object"});
      }
      if (json.value("running", 0) > 0 &&
          std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(kPollInterval);
        continue;
      }
      for (const auto& [id, count] : json["executions"].items()) {
        executions.counts[id] += count.get<int>();
      }
      executions.overruns += json.value("overruns", 0);
      executions.max_running =
          std::max(executions.max_running, json.value("most_running", 0));
      break;
    }
  }
  return executions;
}

Oracle::Oracle(const std::vector<CallRecord>& records,
               const Executions& executions,
               const std::set<std::string>& stopped) {
  for (const char* it :
       {"duplicates", "false_not_run", "foreign_answers", "cut_answers",
        "lost_answers", "done_but_not_executed", "unlabelled_answers"}) {
    forbidden_[it] = 0;
  }
  for (const auto& it : records) {
    CheckRecord(it, executions, stopped);
  }
}

bool Oracle::ok() const {
  return std::all_of(forbidden_.begin(), forbidden_.end(),
                     [](const auto& it) { return it.second == 0; });
}

void Oracle::CheckRecord(const CallRecord& record,
                         const Executions& executions,
                         const std::set<std::string>& stopped) {
  int total = 0;
  for (const auto& attempt : record.attempts) {
    const auto found = executions.counts.find(attempt.test_id);
    const int count = found == executions.counts.end() ? 0 : found->second;
    total += count;
    const bool may_lose_response = stopped.contains(attempt.node);
    if (attempt.call_outcome == CallOutcome::kNotRun && count > 0) {
      AddViolation("false_not_run", record, attempt);
    }
    if (attempt.foreign) {
      AddViolation("foreign_answers", record, attempt);
    }
    if (attempt.call_outcome == CallOutcome::kCut && !may_lose_response) {
      AddViolation("cut_answers", record, attempt);
    }
    if (attempt.call_outcome == CallOutcome::kLost && !may_lose_response) {
      AddViolation("lost_answers", record, attempt);
    }
    if (attempt.call_outcome == CallOutcome::kUnlabelled) {
      AddViolation("unlabelled_answers", record, attempt);
    }
  }
  if (!record.request.idempotent && total > 1) {
    AddViolation("duplicates", record, record.attempts.back());
  }
  if (record.final().call_outcome == CallOutcome::kDone && total == 0) {
    AddViolation("done_but_not_executed", record, record.final());
  }
}

void Oracle::AddViolation(const std::string& kind,
                          const CallRecord& record,
                          const CallAttempt& attempt) {
  ++forbidden_[kind];
  if (examples_.size() < kMaxExamples) {
    examples_.push_back(kind + ": " + attempt.test_id + " at " + attempt.node +
                        " reported " + ToString(attempt.call_outcome) +
                        " status " + std::to_string(attempt.status) + " " +
                        attempt.reason +
                        (record.request.idempotent ? " idempotent" : "") +
                        (record.request.keyed ? " keyed" : ""));
  }
}

nlohmann::json Summarize(const std::vector<QueueLoad>& queues,
                         const std::vector<CallRecord>& records,
                         std::chrono::seconds duration) {
  auto summary = nlohmann::json::object();
  for (std::size_t n = 0; n < queues.size(); ++n) {
    std::map<std::string, int> call_outcomes;
    std::map<std::string, int> reasons;
    std::vector<double> latencies;
    int requests = 0;
    std::size_t attempts = 0;
    for (const auto& it : records) {
      if (it.request.queue != n) {
        continue;
      }
      ++requests;
      attempts += it.attempts.size();
      ++call_outcomes[ToString(it.final().call_outcome)];
      for (const auto& attempt : it.attempts) {
        if (!attempt.reason.empty()) {
          ++reasons[attempt.reason];
        }
      }
      if (it.final().call_outcome == CallOutcome::kDone) {
        latencies.push_back(static_cast<double>(it.latency.count()) / 1000);
      }
    }
    std::sort(latencies.begin(), latencies.end());
    summary[queues[n].queue] = {
        {"requests", requests},
        {"attempts", attempts},
        {"outcomes", call_outcomes},
        {"reasons", reasons},
        {"goodput_per_second", static_cast<double>(latencies.size()) /
                                   static_cast<double>(duration.count())},
        {"latency_ms",
         {{"p50", Quantile(latencies, 0.5)},
          {"p99", Quantile(latencies, 0.99)},
          {"worst", Quantile(latencies, 1)}}}};
  }
  return summary;
}

}  // namespace baobab::load
