#include "standins/minion.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace baobab::standins {
namespace {

constexpr std::chrono::milliseconds kMaxRunTime(60'000);
constexpr std::chrono::seconds kMaxFreezeTime(3600);
// Without this bound, health probes of a frozen minion would eventually occupy
// all connection threads, and POST /faults could not end the freeze.
constexpr std::chrono::seconds kMaxFrozenProbeWait(30);

/** Returns X-Test-Id if it is set. Otherwise returns Baobab-Request without the
 * attempt number, so that attempts of one request are counted together. */
std::string TestId(const httplib::Request& request) {
  if (request.has_header("X-Test-Id")) {
    return request.get_header_value("X-Test-Id");
  }
  const std::string id = request.get_header_value("Baobab-Request");
  return id.substr(0, id.rfind('-'));
}

/** Returns the run time that the request asks for, limited to kMaxRunTime. */
std::chrono::milliseconds RequestedRunTime(
    const httplib::Request& request,
    std::chrono::milliseconds default_value) {
  const std::string text = request.get_header_value("X-Run-Ms");
  std::int64_t ms = default_value.count();
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return std::clamp(std::chrono::milliseconds(ms), {}, kMaxRunTime);
}

}  // namespace

Minion::Minion(MinionOptions options)
    : options_(std::move(options)), server_(options_.max_connections) {
  auto& routes = server_.routes();
  routes.Get("/healthz", [this](const auto&, auto& out) {
    const MinionFaults faults = WaitWhileFrozen(kMaxFrozenProbeWait);
    if (faults.leaving) {
      out.set_header("Baobab-Leaving", "1");
    }
    out.status = faults.freeze ? 503 : 200;
    out.set_content(faults.freeze ? "frozen" : "ok", "text/plain");
  });
  routes.Get("/executions", [this](const auto&, auto& out) {
    RespondJson(out, ExecutionsReport());
  });
  routes.Post("/faults",
              [this](const auto& in, auto& out) { SetFaults(in, out); });
  const auto run = [this](const auto& in, auto& out) { Run(in, out); };
  routes.Get(".*", run);
  routes.Post(".*", run);
  routes.Put(".*", run);
  routes.Patch(".*", run);
  routes.Delete(".*", run);
}

void Minion::Run(const httplib::Request& request, httplib::Response& response) {
  const MinionFaults faults = WaitWhileFrozen(kMaxFreezeTime);
  if (faults.leaving) {
    response.set_header("Baobab-Leaving", "1");
  }
  if (request.has_header("Baobab-Request")) {
    response.set_header("Baobab-Request",
                        request.get_header_value("Baobab-Request"));
  }
  const std::string test_id = TestId(request);
  if (!AcquireSlot(test_id)) {
    response.set_header("Baobab-Refused", "1");
    RespondJson(response, {{"error", "no free slot"}}, 503);
    return;
  }
  const auto time = RequestedRunTime(request, options_.run);
  std::this_thread::sleep_for(time);
  WaitWhileFrozen(kMaxFreezeTime);
  {
    std::lock_guard lock(mutex_);
    --running_;
    busy_seconds_ += std::chrono::duration<double>(time).count();
  }
  std::this_thread::sleep_for(faults.late);
  Respond(request, response, test_id);
}

bool Minion::AcquireSlot(const std::string& test_id) {
  std::lock_guard lock(mutex_);
  if (running_ >= options_.slots) {
    ++overruns_;
    return false;
  }
  ++running_;
  max_running_ = std::max(max_running_, running_);
  ++executions_[test_id];
  return true;
}

void Minion::Respond(const httplib::Request& request,
                     httplib::Response& response,
                     const std::string& test_id) {
  std::unique_lock lock(mutex_);
  const MinionFaults faults = faults_;
  const bool foreign = WithProbability(faults.foreign);
  const std::string body = nlohmann::json{
      {"test_id", foreign ? previous_test_id_ : test_id},
      {"minion", options_.id},
      {"method", request.method},
      {"path", request.target},
      {"body_bytes",
       request.body.size()}}.dump();
  if (foreign) {
    response.headers.erase("Baobab-Request");
    response.set_header("Baobab-Request", previous_request_id_);
  }
  previous_test_id_ = test_id;
  previous_request_id_ = request.get_header_value("Baobab-Request");
  const bool fail = WithProbability(faults.fail);
  const bool lose = WithProbability(faults.lose);
  const bool cut = WithProbability(faults.cut);
  const bool duplicate = WithProbability(faults.duplicate);
  lock.unlock();

  response.status = fail ? 500 : 200;
  if (cut) {
    response.set_content_provider(
        body.size(), "application/json",
        [half = body.substr(0, body.size() / 2)](auto, auto, auto& sink) {
          sink.write(half.data(), half.size());
          return false;
        });
    return;
  }
  response.set_content(body, "application/json");
  if (duplicate) {
    WriteRaw(request,
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Baobab-Request: " +
                 response.get_header_value("Baobab-Request") +
                 "\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
  }
  if (lose) {
    CloseConnection(request);
  }
}

void Minion::SetFaults(const httplib::Request& request,
                       httplib::Response& response) {
  const auto body = ParseJsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  std::lock_guard lock(mutex_);
  MinionFaults faults = faults_;
  try {
    faults.fail = body.value("fail", faults.fail);
    faults.lose = body.value("lose", faults.lose);
    faults.cut = body.value("cut", faults.cut);
    faults.duplicate = body.value("duplicate", faults.duplicate);
    faults.foreign = body.value("foreign", faults.foreign);
    faults.late =
        std::chrono::milliseconds(body.value("late_ms", faults.late.count()));
    faults.freeze = body.value("freeze", faults.freeze);
    faults.leaving = body.value("leaving", faults.leaving);
    if (body.contains("seed")) {
      random_.seed(body["seed"].get<std::uint64_t>());
    }
  } catch (const nlohmann::json::exception& ec) {
    RespondJson(response, {{"error", ec.what()}}, 400);
    return;
  }
  faults_ = faults;
  thawed_.notify_all();
  RespondJson(response, {{"minion", options_.id}});
}

nlohmann::json Minion::ExecutionsReport() {
  std::lock_guard lock(mutex_);
  return {{"minion", options_.id},        {"service", options_.service},
          {"executions", executions_},    {"overruns", overruns_},
          {"most_running", max_running_}, {"running", running_},
          {"busy_seconds", busy_seconds_}};
}

MinionFaults Minion::WaitWhileFrozen(std::chrono::seconds time) {
  std::unique_lock lock(mutex_);
  thawed_.wait_for(lock, time, [this] { return !faults_.freeze; });
  return faults_;
}

bool Minion::WithProbability(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<>()(random_) < probability;
}

}  // namespace baobab::standins
