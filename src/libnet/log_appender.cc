#include "libnet/log_appender.h"

#include <utility>

#include "libnet/http_call.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr Duration kIdleSleep = std::chrono::seconds(60);

}  // namespace

LogAppender::LogAppender(Endpoint endpoint, Metrics& metrics, PostEvent post)
    : endpoint_(std::move(endpoint)),
      metrics_(metrics),
      post_(std::move(post)) {}

void LogAppender::Start() {
  thread_.Start([this] { Run(); });
}

void LogAppender::Execute(const AppendRecord& effect) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() < kMaxQueuedRecords) {
      queue_.push_back(effect.record);
      thread_.Wake();
      return;
    }
  }
  metrics_.Count("log_appends_rejected");
  post_(AppendFinished{effect.record.sequence, AppendResult::kRejected});
}

void LogAppender::Run() {
  while (!thread_.stopping()) {
    std::optional<Record> record;
    {
      const std::lock_guard lock(mutex_);
      if (!queue_.empty()) {
        record = std::move(queue_.front());
        queue_.pop_front();
      }
    }
    if (!record) {
      thread_.SleepFor(kIdleSleep);
      continue;
    }
    post_(AppendFinished{record->sequence, Append(*record)});
  }
}

AppendResult LogAppender::Append(const Record& record) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/append";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = EncodeRecord(record);
  const auto answer = CallOnce(endpoint_, request, kConnectTimeout, kTimeout);
  if (answer && answer->status == 200) {
    metrics_.Count("log_appends");
    return AppendResult::kAppended;
  }
  const bool rejected = answer ? answer->status >= 400 && answer->status < 500
                               : answer.error().not_sent;
  metrics_.Count(rejected ? "log_appends_rejected" : "log_appends_unknown");
  Log(LogLevel::kWarning, "log", "append of record {} to {} {}: {}",
      record.sequence.value(), ToString(endpoint_),
      rejected ? "rejected" : "unknown",
      answer ? "status " + std::to_string(answer->status)
             : answer.error().message);
  return rejected ? AppendResult::kRejected : AppendResult::kUnknown;
}

}  // namespace baobab
