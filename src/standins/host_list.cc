#include "standins/host_list.h"

namespace baobab::standins {
namespace {

constexpr int kMaxConnections = 128;

bool IsHostList(const nlohmann::json& list) {
  return list.is_object() && list.contains("hosts") && list["hosts"].is_array();
}

}  // namespace

HostListService::HostListService(std::chrono::milliseconds lag)
    : lag_(lag), server_(kMaxConnections) {
  auto& routes = server_.routes();
  routes.Get("/hosts", [this](const auto&, auto& out) {
    std::lock_guard lock(mutex_);
    if (outage_) {
      RespondJson(out, {{"error", "outage"}}, 503);
      return;
    }
    RespondJson(out, CurrentList());
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
  served_list_ = list;
  return {};
}

void HostListService::Put(const httplib::Request& request,
                          httplib::Response& response) {
  auto body = ParseJsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  if (!IsHostList(body)) {
    RespondJson(response, {{"error", "expected an object with a hosts array"}},
                400);
    return;
  }
  std::lock_guard lock(mutex_);
  pending_lists_.emplace_back(Clock::now() + lag_, std::move(body));
  RespondJson(response, {{"lag_ms", lag_.count()}});
}

void HostListService::SetFaults(const httplib::Request& request,
                                httplib::Response& response) {
  const auto body = ParseJsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  if (!body.contains("outage") || !body["outage"].is_boolean()) {
    RespondJson(response, {{"error", "outage: allowed are true, false"}}, 400);
    return;
  }
  std::lock_guard lock(mutex_);
  outage_ = body["outage"].get<bool>();
  RespondJson(response, {{"outage", outage_}});
}

nlohmann::json HostListService::CurrentList() {
  while (!pending_lists_.empty() &&
         pending_lists_.front().first <= Clock::now()) {
    served_list_ = std::move(pending_lists_.front().second);
    pending_lists_.pop_front();
  }
  return served_list_;
}

}  // namespace baobab::standins
