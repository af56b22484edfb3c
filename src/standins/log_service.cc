#include "standins/log_service.h"

#include <algorithm>
#include <charconv>
#include <thread>

namespace baobab::standins {
namespace {

constexpr int kConnections = 256;
constexpr std::chrono::milliseconds kLongestPoll(30'000);

/** Value of a query parameter, or `otherwise` if it is missing or no number. */
std::uint64_t NumberParam(const httplib::Request& request,
                          const char* name,
                          std::uint64_t otherwise) {
  const std::string text = request.get_param_value(name);
  std::uint64_t value = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

LogService::LogService(LogServiceOptions options)
    : options_(options),
      tokens_(options.appends_per_second),
      server_(kConnections) {
  auto& routes = server_.routes();
  routes.Post("/append",
              [this](const auto& in, auto& out) { Append(in, out); });
  routes.Get("/read", [this](const auto& in, auto& out) { Read(in, out); });
  routes.Post("/faults",
              [this](const auto& in, auto& out) { SetFaults(in, out); });
  routes.Get("/stats", [this](const auto&, auto& out) {
    std::lock_guard lock(mutex_);
    AnswerJson(out, {{"first", first_},
                     {"next", first_ + records_.size()},
                     {"appends", appends_},
                     {"appended_bytes", appended_bytes_},
                     {"refused", refused_}});
  });
}

void LogService::Append(const httplib::Request& request,
                        httplib::Response& response) {
  if (Disturb(request, response)) {
    return;
  }
  std::uint64_t offset = 0;
  bool lose = false;
  {
    std::lock_guard lock(mutex_);
    if (!TakeAppendSlot()) {
      ++refused_;
      AnswerJson(response, {{"error", "too many appends"}}, 429);
      return;
    }
    offset = first_ + records_.size();
    records_.push_back({Clock::now(), request.body});
    ++appends_;
    appended_bytes_ += request.body.size();
    lose = std::uniform_real_distribution<>()(random_) < lose_answers_;
    DropOld();
  }
  changed_.notify_all();
  AnswerJson(response, {{"offset", offset}});
  if (lose) {
    CloseConnection(request);
  }
}

void LogService::Read(const httplib::Request& request,
                      httplib::Response& response) {
  if (Disturb(request, response)) {
    return;
  }
  const std::uint64_t from = NumberParam(request, "from", 0);
  const std::uint64_t max = NumberParam(request, "max", 1000);
  const auto wait =
      std::min(std::chrono::milliseconds(NumberParam(request, "wait_ms", 0)),
               kLongestPoll);
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, wait, [&] {
    return outage_ != Outage::kNone || from < first_ + records_.size();
  });
  if (outage_ != Outage::kNone) {
    const Outage outage = outage_;
    lock.unlock();
    AnswerOutage(request, response, outage);
    return;
  }
  DropOld();
  if (from < first_) {
    AnswerJson(response, {{"first", first_}}, 410);
    return;
  }
  const std::uint64_t end = first_ + records_.size();
  auto records = nlohmann::json::array();
  for (std::uint64_t at = from; at < end && records.size() < max; ++at) {
    records.push_back({{"offset", at}, {"body", records_[at - first_].body}});
  }
  AnswerJson(response, {{"first", first_},
                        {"next", from + records.size()},
                        {"records", records}});
}

void LogService::SetFaults(const httplib::Request& request,
                           httplib::Response& response) {
  const auto body = JsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  std::lock_guard lock(mutex_);
  try {
    if (body.contains("outage")) {
      const auto name = body["outage"].get<std::string>();
      if (name != "none" && name != "503" && name != "close") {
        AnswerJson(response,
                   {{"error", "outage: allowed are none, 503, close"}}, 400);
        return;
      }
      outage_ = name == "503"     ? Outage::kAnswer503
                : name == "close" ? Outage::kClose
                                  : Outage::kNone;
    }
    slow_ = std::chrono::milliseconds(body.value("slow_ms", slow_.count()));
    lose_answers_ = body.value("lose_answers", lose_answers_);
    if (body.contains("seed")) {
      random_.seed(body["seed"].get<std::uint64_t>());
    }
  } catch (const nlohmann::json::exception& ec) {
    AnswerJson(response, {{"error", ec.what()}}, 400);
    return;
  }
  changed_.notify_all();
  AnswerJson(response, {{"slow_ms", slow_.count()},
                        {"lose_answers", lose_answers_},
                        {"outage", outage_ != Outage::kNone}});
}

bool LogService::Disturb(const httplib::Request& request,
                         httplib::Response& response) {
  std::unique_lock lock(mutex_);
  const auto slow = slow_;
  lock.unlock();
  std::this_thread::sleep_for(slow);
  lock.lock();
  const Outage outage = outage_;
  lock.unlock();
  return AnswerOutage(request, response, outage);
}

bool LogService::AnswerOutage(const httplib::Request& request,
                              httplib::Response& response,
                              Outage outage) {
  if (outage == Outage::kNone) {
    return false;
  }
  AnswerJson(response, {{"error", "outage"}}, 503);
  if (outage == Outage::kClose) {
    CloseConnection(request);
  }
  return true;
}

bool LogService::TakeAppendSlot() {
  const auto now = Clock::now();
  const double rate = options_.appends_per_second;
  tokens_ += std::chrono::duration<double>(now - tokens_at_).count() * rate;
  tokens_ = std::min(tokens_, rate);
  tokens_at_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogService::DropOld() {
  const auto oldest = Clock::now() - options_.retain_age;
  while (!records_.empty() && (records_.size() > options_.retain_count ||
                               records_.front().at < oldest)) {
    records_.pop_front();
    ++first_;
  }
}

}  // namespace baobab::standins
