#include "libnet/log_reader.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "libnet/http_call.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr int kMaxRecordsPerRead = 256;
constexpr Duration kLongPollWait = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);

// Time limit for a response beyond the long poll's own wait; after it the
// connection is considered dead and closed.
constexpr Duration kLongPollMargin = std::chrono::seconds(2);

constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

tl::unexpected<Error> ReadError(const Endpoint& endpoint, std::string message) {
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
    ApplySeek();
    auto read = ReadOnce();
    if (read) {
      backoff = kMinBackoff;
      continue;
    }
    if (IsInterrupted()) {
      continue;
    }
    metrics_.Count("log_read_failures");
    Log(LogLevel::kWarning, "log", "{}", ToString(read.error()));
    post_(LogReadFailed{std::move(read.error())});
    // Jitter keeps the nodes from retrying in lockstep after an outage.
    std::uniform_int_distribution<Duration::rep> jitter(backoff.count() / 2,
                                                        backoff.count());
    if (!thread_.SleepFor(Duration(jitter(random)))) {
      return;
    }
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

void LogReader::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    ShutDownConnection();
  }
  thread_.Stop();
}

void LogReader::SeekTo(Offset offset) {
  const std::lock_guard lock(mutex_);
  requested_offset_ = offset;
  ShutDownConnection();
}

void LogReader::ShutDownConnection() {
  if (connection_.valid()) {
    ::shutdown(connection_.get(), SHUT_RDWR);
  }
}

void LogReader::ApplySeek() {
  const std::lock_guard lock(mutex_);
  if (requested_offset_) {
    next_offset_ = *requested_offset_;
    requested_offset_.reset();
    caught_up_ = false;
  }
}

bool LogReader::IsInterrupted() {
  const std::lock_guard lock(mutex_);
  return stopped_ || requested_offset_.has_value();
}

tl::expected<HttpResponse, CallFailure> LogReader::Get(
    const std::string& target) {
  const SocketTime now = SocketClock::now();
  auto fd = ConnectTcp(endpoint_, now + kConnectTimeout);
  if (!fd) {
    return tl::make_unexpected(CallFailure{true, false, fd.error().message});
  }
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      return tl::make_unexpected(CallFailure{true, false, "stopping"});
    }
    connection_ = UniqueFd(::fcntl(fd->get(), F_DUPFD_CLOEXEC, 0));
  }
  HttpRequest request;
  request.target = target;
  auto answer = HttpCall(std::move(*fd), now + kLongPollWait + kLongPollMargin)
                    .Run(request, {{"Host", ToString(endpoint_)},
                                   {"Connection", "close"}});
  const std::lock_guard lock(mutex_);
  connection_.Reset();
  return answer;
}

Result<void> LogReader::ReadOnce() {
  const Duration wait = caught_up_ ? kLongPollWait : Duration(0);
  const auto answer = Get(fmt::format(
      "/read?from={}&max={}&wait_ms={}", next_offset_.value(),
      kMaxRecordsPerRead,
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count()));
  if (!answer) {
    return ReadError(endpoint_, answer.error().message);
  }
  if (answer->status == 410) {
    return SkipToFirst(answer->body);
  }
  if (answer->status != 200) {
    return ReadError(endpoint_, "status " + std::to_string(answer->status));
  }
  auto read = DecodeLogRead(answer->body);
  if (!read) {
    return ReadError(endpoint_, read.error().message);
  }
  for (const LogEntry& it : read->entries) {
    if (it.offset < next_offset_) {
      return ReadError(endpoint_, "records below the offset asked for");
    }
    next_offset_ = Offset(it.offset.value() + 1);
  }
  caught_up_ = read->entries.empty() || next_offset_ >= read->next;
  metrics_.Count("log_records_read",
                 static_cast<std::int64_t>(read->entries.size()));
  post_(std::move(*read));
  return {};
}

Result<void> LogReader::SkipToFirst(const std::string& body) {
  const auto gone = nlohmann::json::parse(body, nullptr, false);
  const bool valid = gone.is_object() && gone.contains("first") &&
                     gone["first"].is_number_unsigned();
  if (!valid || gone["first"].get<std::uint64_t>() <= next_offset_.value()) {
    return ReadError(endpoint_, "410 without a later first offset");
  }
  const Offset first(gone["first"].get<std::uint64_t>());
  Log(LogLevel::kWarning, "log", "records {} to {} are no longer retained",
      next_offset_.value(), first.value() - 1);
  metrics_.Count(
      "log_records_missed",
      static_cast<std::int64_t>(first.value() - next_offset_.value()));
  next_offset_ = first;
  return {};
}

}  // namespace baobab
