#include "libnet/control_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <thread>

#include <httplib.h>

#include "libnet/worker_pool.h"
#include "libwire/wire.h"

namespace baobab {
namespace {

constexpr Duration kReplyTimeout = std::chrono::seconds(20);
constexpr std::size_t kThreads = 16;
constexpr std::size_t kMaxQueuedConnections = 16;
constexpr int kBacklog = 128;
constexpr std::size_t kMaxEditBytes = 4 << 20;
constexpr const char* kJsonContentType = "application/json";

int StatusOf(const CommandReply& reply) {
  if (std::holds_alternative<Error>(reply)) {
    return 503;
  }
  const auto* edit = std::get_if<EditReply>(&reply);
  if (edit == nullptr) {
    return 200;
  }
  switch (edit->state) {
    case EditState::kInForce:
      return 200;
    case EditState::kPartlyInForce:
      return 202;
    case EditState::kConflict:
      return 409;
    case EditState::kFaulty:
      return 422;
    case EditState::kNotAccepted:
      return 503;
    case EditState::kUnknown:
      return 504;
  }
  return 500;
}

}  // namespace

class ControlServer::Impl {
 public:
  Impl(Endpoint endpoint, CommandWaiter& commands, Metrics& metrics)
      : endpoint_(std::move(endpoint)), commands_(commands), metrics_(metrics) {
    http_.new_task_queue = [] {
      return new WorkerPool(kThreads, kMaxQueuedConnections);
    };
    http_.set_payload_max_length(kMaxEditBytes);
    http_.set_keep_alive_timeout(1);
    http_.set_read_timeout(std::chrono::seconds(5));
    http_.set_write_timeout(std::chrono::seconds(5));
    http_.set_tcp_nodelay(true);
    http_.Get("/status", [this](const auto&, auto& response) {
      Ask(response, [](CommandId id) { return StatusRequested{id}; });
    });
    http_.Get("/table", [this](const auto&, auto& response) {
      Ask(response, [](CommandId id) { return TableRequested{id}; });
    });
    http_.Get("/history", [this](const auto&, auto& response) {
      Ask(response, [](CommandId id) { return HistoryRequested{id}; });
    });
    http_.Post("/table", [this](const auto& request, auto& response) {
      SubmitEdit(request, response);
    });
    http_.Get("/metrics", [this](const auto&, auto& response) {
      response.set_content(metrics_.PrometheusText(),
                           "text/plain; version=0.0.4");
    });
    http_.set_error_handler([](const auto&, httplib::Response& response) {
      if (response.body.empty()) {
        RespondError(
            response, response.status,
            {"read request", "", "no such path, or not a valid request"});
      }
    });
  }

  Result<void> Start() {
    int listen_fd = -1;
    http_.set_socket_options([&](socket_t sock) {
      listen_fd = sock;
      // cpp-httplib's default, SO_REUSEPORT, lets two processes share a port.
      const int on = 1;
      ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    errno = 0;
    port_ = endpoint_.port;
    const bool bound = port_ == 0
                           ? (port_ = http_.bind_to_any_port(endpoint_.ip)) > 0
                           : http_.bind_to_port(endpoint_.ip, port_);
    if (!bound || ::listen(listen_fd, kBacklog) != 0) {
      return tl::make_unexpected(
          Error{"listen for operators", ToString(endpoint_),
                errno != 0 ? std::strerror(errno) : "cannot bind the address"});
    }
    http_.set_socket_options(nullptr);
    thread_ = std::thread([this] { http_.listen_after_bind(); });
    while (!http_.is_running()) {
      std::this_thread::yield();
    }
    return {};
  }

  int port() const { return port_; }

  void Stop() {
    if (thread_.joinable()) {
      http_.stop();
      thread_.join();
    }
  }

 private:
  static void RespondError(httplib::Response& response,
                           int status,
                           Error error) {
    response.status = status;
    response.set_content(EncodeReply(CommandReply(std::move(error))),
                         kJsonContentType);
  }

  template <typename MakeEvent>
  void Ask(httplib::Response& response, MakeEvent make_event) {
    const auto reply = commands_.Ask(
        [&](CommandId id) { return EventBody(make_event(id)); }, kReplyTimeout);
    if (!reply) {
      return RespondError(response, 504, reply.error());
    }
    response.status = StatusOf(*reply);
    response.set_content(EncodeReply(*reply), kJsonContentType);
  }

  void SubmitEdit(const httplib::Request& request,
                  httplib::Response& response) {
    const auto edit = DecodeEdit(request.body);
    if (!edit) {
      return RespondError(response, 400, edit.error());
    }
    Ask(response, [&](CommandId id) { return EditSubmitted{id, *edit}; });
  }

  const Endpoint endpoint_;
  CommandWaiter& commands_;
  Metrics& metrics_;
  httplib::Server http_;
  int port_ = 0;
  std::thread thread_;
};

ControlServer::ControlServer(Endpoint endpoint,
                             CommandWaiter& commands,
                             Metrics& metrics)
    : impl_(std::make_unique<Impl>(std::move(endpoint), commands, metrics)) {}

ControlServer::~ControlServer() {
  Stop();
}

Result<void> ControlServer::Start() {
  return impl_->Start();
}

int ControlServer::port() const {
  return impl_->port();
}

void ControlServer::Stop() {
  impl_->Stop();
}

}  // namespace baobab
