#include "standins/host_list.h"

namespace baobab::standins {
namespace {

constexpr int kConnections = 128;

bool IsHostList(const nlohmann::json& list) {
  return list.is_object() && list.contains("hosts") && list["hosts"].is_array();
}

}  // namespace

HostListService::HostListService(std::chrono::milliseconds lag)
    : lag_(lag), server_(kConnections) {
  auto& routes = server_.routes();
  routes.Get("/hosts", [this](const auto&, auto& out) {
    std::lock_guard lock(mutex_);
    if (down_) {
      AnswerJson(out, {{"error", "outage"}}, 503);
      return;
    }
    AnswerJson(out, Served());
  });
  routes.Put("/hosts", [this](const auto& in, auto& out) { Put(in, out); });
  routes.Post("/faults",
              [this](const auto& in, auto& out) { SetFaults(in, out); });
}

Result<void> HostListService::Load(const nlohmann::json& list) {
  if (!IsHostList(list)) {
    return tl::unexpected(
        Error{"load host list", "", "expected an object with a hosts array"});
  }
  std::lock_guard lock(mutex_);
  served_ = list;
  return {};
}

void HostListService::Put(const httplib::Request& request,
                          httplib::Response& response) {
  auto body = JsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  if (!IsHostList(body)) {
    AnswerJson(response, {{"error", "expected an object with a hosts array"}},
               400);
    return;
  }
  std::lock_guard lock(mutex_);
  pending_.emplace_back(Clock::now() + lag_, std::move(body));
  AnswerJson(response, {{"lag_ms", lag_.count()}});
}

void HostListService::SetFaults(const httplib::Request& request,
                                httplib::Response& response) {
  const auto body = JsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  if (!body.contains("outage") || !body["outage"].is_boolean()) {
    AnswerJson(response, {{"error", "outage: allowed are true, false"}}, 400);
    return;
  }
  std::lock_guard lock(mutex_);
  down_ = body["outage"].get<bool>();
  AnswerJson(response, {{"outage", down_}});
}

nlohmann::json HostListService::Served() {
  while (!pending_.empty() && pending_.front().first <= Clock::now()) {
    served_ = std::move(pending_.front().second);
    pending_.pop_front();
  }
  return served_;
}

}  // namespace baobab::standins
