#include "libnet/log_reader.h"

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "libnet/http_call.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr int kMaxRecords = 256;
constexpr Duration kWait = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

// Added to the long poll's own wait; after that the connection is considered
// silent and closed.
constexpr Duration kSilence = std::chrono::seconds(2);

constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

tl::unexpected<Error> ReadFault(const Endpoint& endpoint, std::string message) {
  return tl::make_unexpected(
      Error{"read log", ToString(endpoint), std::move(message)});
}

}  // namespace

LogReader::LogReader(Endpoint endpoint, Metrics& metrics, PostEvent post)
    : endpoint_(std::move(endpoint)),
      metrics_(metrics),
      post_(std::move(post)) {}

void LogReader::Start() {
  thread_.Start([this] { Run(); });
}

void LogReader::Run() {
  std::minstd_rand random(std::random_device{}());
  Duration backoff = kMinBackoff;
  while (!thread_.stopping()) {
    TakeSeek();
    auto read = ReadOnce();
    if (read) {
      backoff = kMinBackoff;
      continue;
    }
    metrics_.Count("log_read_failures");
    Log(LogLevel::kWarning, "log", "{}", ToString(read.error()));
    post_(LogReadFailed{std::move(read.error())});
    // Jitter keeps the nodes from retrying in step after an outage.
    std::uniform_int_distribution<Duration::rep> jitter(backoff.count() / 2,
                                                        backoff.count());
    if (!thread_.SleepFor(Duration(jitter(random)))) {
      return;
    }
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

void LogReader::SeekTo(Offset offset) {
  const std::lock_guard lock(mutex_);
  seek_ = offset;
}

void LogReader::TakeSeek() {
  const std::lock_guard lock(mutex_);
  from_ = std::exchange(seek_, std::nullopt).value_or(from_);
}

Result<void> LogReader::ReadOnce() {
  HttpRequest request;
  request.target = fmt::format(
      "/read?from={}&max={}&wait_ms={}", from_.value(), kMaxRecords,
      std::chrono::duration_cast<std::chrono::milliseconds>(kWait).count());
  const auto answer =
      CallOnce(endpoint_, request, kConnectTimeout, kWait + kSilence);
  if (!answer) {
    return ReadFault(endpoint_, answer.error().message);
  }
  if (answer->status == 410) {
    return SkipToFirst(answer->body);
  }
  if (answer->status != 200) {
    return ReadFault(endpoint_, "status " + std::to_string(answer->status));
  }
  auto read = DecodeLogRead(answer->body);
  if (!read) {
    return ReadFault(endpoint_, read.error().message);
  }
  for (const LogEntry& it : read->entries) {
    if (it.offset < from_) {
      return ReadFault(endpoint_, "records below the offset asked for");
    }
    from_ = Offset(it.offset.value() + 1);
  }
  metrics_.Count("log_records_read",
                 static_cast<std::int64_t>(read->entries.size()));
  post_(std::move(*read));
  return {};
}

Result<void> LogReader::SkipToFirst(const std::string& body) {
  const auto gone = nlohmann::json::parse(body, nullptr, false);
  const bool valid = gone.is_object() && gone.contains("first") &&
                     gone["first"].is_number_unsigned();
  if (!valid || gone["first"].get<std::uint64_t>() <= from_.value()) {
    return ReadFault(endpoint_, "410 without a later first offset");
  }
  const Offset first(gone["first"].get<std::uint64_t>());
  Log(LogLevel::kWarning, "log", "records {} to {} are no longer kept",
      from_.value(), first.value() - 1);
  metrics_.Count("log_records_missed",
                 static_cast<std::int64_t>(first.value() - from_.value()));
  from_ = first;
  return {};
}

}  // namespace baobab
