#include "libnet/host_list_reader.h"

#include <utility>

#include "libnet/http_call.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(2);

}  // namespace

HostListReader::HostListReader(Endpoint endpoint,
                               Duration interval,
                               Metrics& metrics,
                               PostEvent post)
    : endpoint_(std::move(endpoint)),
      interval_(interval),
      metrics_(metrics),
      post_(std::move(post)) {}

void HostListReader::Start() {
  thread_.Start([this] { Run(); });
}

void HostListReader::Run() {
  do {
    if (const auto read = ReadOnce(); !read) {
      metrics_.Count("host_list_failures");
      Log(LogLevel::kWarning, "front",
          "cannot read the host list; keeping the last one: {}",
          ToString(read.error()));
    }
  } while (thread_.SleepFor(interval_));
}

Result<void> HostListReader::ReadOnce() {
  HttpRequest request;
  request.target = "/hosts";
  const auto answer = CallOnce(endpoint_, request, kTimeout, kTimeout);
  const auto fault = [&](std::string message) {
    return tl::make_unexpected(
        Error{"read host list", ToString(endpoint_), std::move(message)});
  };
  if (!answer) {
    return fault(answer.error().message);
  }
  if (answer->status != 200) {
    return fault("status " + std::to_string(answer->status));
  }
  auto list = DecodeHostList(answer->body);
  if (!list) {
    return fault(list.error().message);
  }
  post_(HostListRead{std::move(*list)});
  return {};
}

}  // namespace baobab
