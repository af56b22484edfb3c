#include "load/queue_load.h"

#include <cstdlib>
#include <optional>
#include <random>
#include <sstream>

namespace baobab::load {
namespace {

/** Share of the keyed requests which are sent again after they are done. */
constexpr double kRepeatShare = 0.1;
constexpr double kMostRequestsPerSecond = 5000;
constexpr int kMostCallers = 1000;

std::optional<double> ParseNumber(const std::string& text,
                                  double least,
                                  double most) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value >= least && value <= most)) {
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
      number = ParseNumber(value, 0.01, kMostRequestsPerSecond);
      load.rate = number.value_or(0);
    } else if (key == "run-ms") {
      number = ParseNumber(value, 0, 60'000);
      load.run = std::chrono::milliseconds(
          static_cast<std::int64_t>(number.value_or(0)));
    } else if (key == "non-idempotent") {
      number = ParseNumber(value, 0, 1);
      load.non_idempotent = number.value_or(0);
    } else if (key == "keys") {
      number = ParseNumber(value, 0, 1);
      load.keys = number.value_or(0);
    } else if (key == "callers") {
      number = ParseNumber(value, 1, kMostCallers);
      load.callers = static_cast<int>(number.value_or(0));
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
  std::exponential_distribution<> gap(load.rate);
  std::uniform_real_distribution<> share;
  std::vector<PlannedRequest> plan;
  const double end = std::chrono::duration<double>(duration).count();
  for (double at = gap(random); at < end; at += gap(random)) {
    PlannedRequest request;
    request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
    request.queue = queue;
    request.id =
        run_name + "-" + load.queue + "-" + std::to_string(plan.size());
    request.idempotent = share(random) >= load.non_idempotent;
    request.keyed = !request.idempotent && share(random) < load.keys;
    request.repeat = request.keyed && share(random) < kRepeatShare;
    request.seed = random();
    plan.push_back(std::move(request));
  }
  return plan;
}

}  // namespace baobab::load
