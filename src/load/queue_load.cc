#include "load/queue_load.h"

#include <cstdlib>
#include <optional>
#include <random>
#include <sstream>

namespace baobab::load {
namespace {

/** Share of the keyed requests that are sent again after they are done. */
constexpr double kRepeatShare = 0.1;
constexpr double kMaxRequestsPerSecond = 5000;
constexpr int kMaxCallers = 1000;

std::optional<double> ParseNumber(const std::string& text,
                                  double min_value,
                                  double max_value) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' ||
      !(value >= min_value && value <= max_value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

Result<QueueLoad> ParseQueueLoad(const std::string& text) {
  QueueLoad load;
  const auto colon = text.find(':');
  load.queue = text.substr(0, colon);
  std::istringstream settings(
      colon == std::string::npos ? "" : text.substr(colon + 1));
  const auto fault = [&](const std::string& message) {
    return tl::unexpected(Error{"read queue load", text, message});
  };
  if (load.queue.empty()) {
    return fault("the queue has no name");
  }
  for (std::string setting; std::getline(settings, setting, ',');) {
    const auto equals = setting.find('=');
    const std::string key = setting.substr(0, equals);
    const std::string value =
        equals == std::string::npos ? "" : setting.substr(equals + 1);
    std::optional<double> number;
    if (key == "rate") {
      number = ParseNumber(value, 0.01, kMaxRequestsPerSecond);
      load.requests_per_second = number.value_or(0);
    } else if (key == "run-ms") {
      number = ParseNumber(value, 0, 60'000);
      load.run_time = std::chrono::milliseconds(
          static_cast<std::int64_t>(number.value_or(0)));
    } else if (key == "non-idempotent") {
      number = ParseNumber(value, 0, 1);
      load.non_idempotent_share = number.value_or(0);
    } else if (key == "keys") {
      number = ParseNumber(value, 0, 1);
      load.key_share = number.value_or(0);
    } else if (key == "callers") {
      number = ParseNumber(value, 1, kMaxCallers);
      load.max_callers = static_cast<int>(number.value_or(0));
    } else {
      return fault("unknown setting " + key);
    }
    if (!number) {
      return fault(key + ": value out of range: " + value);
    }
  }
  return load;
}

std::vector<PlannedRequest> PlanRequests(const QueueLoad& load,
                                         std::size_t queue,
                                         std::chrono::seconds duration,
                                         std::uint64_t seed,
                                         const std::string& run_name) {
  std::mt19937_64 random(seed * 1000 + queue);
  std::exponential_distribution<> gap(load.requests_per_second);
  std::uniform_real_distribution<> share;
  std::vector<PlannedRequest> plan;
  const double end = std::chrono::duration<double>(duration).count();
  for (double at = gap(random); at < end; at += gap(random)) {
    PlannedRequest request;
    request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
    request.queue = queue;
    request.id =
        run_name + "-" + load.queue + "-" + std::to_string(plan.size());
    request.idempotent = share(random) >= load.non_idempotent_share;
    request.keyed = !request.idempotent && share(random) < load.key_share;
    request.repeat_when_done = request.keyed && share(random) < kRepeatShare;
    request.seed = random();
    plan.push_back(std::move(request));
  }
  return plan;
}

}  // namespace baobab::load
