#include "standins/log_service.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace baobab::standins {
namespace {

constexpr int kMaxConnections = 256;
constexpr std::chrono::milliseconds kMaxPollWait(30'000);

/** Returns a query parameter, or `default_value` if it is missing or not a
 * number. */
std::uint64_t GetNumberParam(const httplib::Request& request,
                             const char* name,
                             std::uint64_t default_value) {
  const std::string text = request.get_param_value(name);
  std::uint64_t value = default_value;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

LogService::LogService(LogServiceOptions options)
    : options_(options),
      tokens_(options.appends_per_second),
      server_(kMaxConnections) {
  auto& routes = server_.routes();
  routes.Post("/append",
              [this](const auto& in, auto& out) { Append(in, out); });
  routes.Get("/read", [this](const auto& in, auto& out) { Read(in, out); });
  routes.Post("/faults",
              [this](const auto& in, auto& out) { SetFaults(in, out); });
  routes.Get("/stats", [this](const auto&, auto& out) {
    std::lock_guard lock(mutex_);
    RespondJson(out, {{"first", first_offset_},
                      {"next", first_offset_ + records_.size()},
                      {"appends", append_count_},
                      {"appended_bytes", appended_bytes_},
                      {"refused", refused_appends_}});
  });
}

void LogService::Append(const httplib::Request& request,
                        httplib::Response& response) {
  if (ApplyFaults(request, response)) {
    return;
  }
  std::uint64_t offset = 0;
  bool lose = false;
  {
    std::lock_guard lock(mutex_);
    if (!TakeAppendToken()) {
      ++refused_appends_;
      RespondJson(response, {{"error", "too many appends"}}, 429);
      return;
    }
    offset = first_offset_ + records_.size();
    records_.push_back({Clock::now(), request.body});
    ++append_count_;
    appended_bytes_ += request.body.size();
    lose = std::uniform_real_distribution<>()(random_) < lose_answers_;
    DropExpiredRecords();
  }
  changed_.notify_all();
  RespondJson(response, {{"offset", offset}});
  if (lose) {
    CloseConnection(request);
  }
}

void LogService::Read(const httplib::Request& request,
                      httplib::Response& response) {
  if (ApplyFaults(request, response)) {
    return;
  }
  const std::uint64_t from = GetNumberParam(request, "from", 0);
  const std::uint64_t max = GetNumberParam(request, "max", 1000);
  const auto wait =
      std::min(std::chrono::milliseconds(GetNumberParam(request, "wait_ms", 0)),
               kMaxPollWait);
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    return outage_ != Outage::kNone || from < first_offset_ + records_.size();
  });
  if (outage_ != Outage::kNone) {
    const Outage outage = outage_;
    lock.unlock();
    RespondOutage(request, response, outage);
    return;
  }
  DropExpiredRecords();
  if (from < first_offset_) {
    RespondJson(response, {{"first", first_offset_}}, 410);
    return;
  }
  const std::uint64_t end = first_offset_ + records_.size();
  auto records = nlohmann::json::array();
  for (std::uint64_t at = from; at < end && records.size() < max; ++at) {
    records.push_back(
        {{"offset", at}, {"body", records_[at - first_offset_].body}});
  }
  RespondJson(response, {{"first", first_offset_},
                         {"next", from + records.size()},
                         {"records", records}});
}

void LogService::SetFaults(const httplib::Request& request,
                           httplib::Response& response) {
  const auto body = ParseJsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  std::lock_guard lock(mutex_);
  try {
    if (body.contains("outage")) {
      const auto name = body["outage"].get<std::string>();
      if (name != "none" && name != "503" && name != "close") {
        RespondJson(response,
                    {{"error", "outage: allowed are none, 503, close"}}, 400);
        return;
      }
      outage_ = name == "503"     ? Outage::kRespond503
                : name == "close" ? Outage::kClose
                                  : Outage::kNone;
    }
    added_delay_ =
        std::chrono::milliseconds(body.value("slow_ms", added_delay_.count()));
    lose_answers_ = body.value("lose_answers", lose_answers_);
    if (body.contains("seed")) {
      random_.seed(body["seed"].get<std::uint64_t>());
    }
  } catch (const nlohmann::json::exception& ec) {
    RespondJson(response, {{"error", ec.what()}}, 400);
    return;
  }
  changed_.notify_all();
  RespondJson(response, {{"slow_ms", added_delay_.count()},
                         {"lose_answers", lose_answers_},
                         {"outage", outage_ != Outage::kNone}});
}

bool LogService::ApplyFaults(const httplib::Request& request,
                             httplib::Response& response) {
  std::unique_lock lock(mutex_);
  const auto slow = added_delay_;
  lock.unlock();
  std::this_thread::sleep_for(slow);
  lock.lock();
  const Outage outage = outage_;
  lock.unlock();
  return RespondOutage(request, response, outage);
}

bool LogService::RespondOutage(const httplib::Request& request,
                               httplib::Response& response,
                               Outage outage) {
  if (outage == Outage::kNone) {
    return false;
  }
  RespondJson(response, {{"error", "outage"}}, 503);
  if (outage == Outage::kClose) {
    CloseConnection(request);
  }
  return true;
}

bool LogService::TakeAppendToken() {
  const auto now = Clock::now();
  const double rate = options_.appends_per_second;
  tokens_ +=
      std::chrono::duration<double>(now - tokens_updated_at_).count() * rate;
  tokens_ = std::min(tokens_, rate);
  tokens_updated_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogService::DropExpiredRecords() {
  const auto oldest = Clock::now() - options_.retain_age;
  while (!records_.empty() && (records_.size() > options_.retain_count ||
                               records_.front().at < oldest)) {
    records_.pop_front();
    ++first_offset_;
  }
}

}  // namespace baobab::standins
