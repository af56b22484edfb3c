#include "standins/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace baobab::standins {
namespace {

constexpr int kControlConnections = 8;
constexpr int kListenQueue = 1024;
constexpr std::size_t kChunk = 16384;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

bool SendAll(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t n = send(fd, data, size, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    data += n;
    size -= static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

Relay::Link::~Link() {
  close(caller);
  if (target >= 0) {
    close(target);
  }
}

Relay::Relay(int target_port)
    : target_port_(target_port), control_(kControlConnections) {
  control_.routes().Post(
      "/faults", [this](const auto& in, auto& out) { SetFaults(in, out); });
  control_.routes().Get("/stats", [this](const auto&, auto& out) {
    AnswerJson(out,
               {{"accepted", accepted_.load()}, {"open", OpenLinks().size()}});
  });
}

Result<std::pair<int, int>> Relay::Start(int port, int control_port) {
  listen_socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(listen_socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  sockaddr_in address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  if (bind(listen_socket_, any, size) != 0 ||
      listen(listen_socket_, kListenQueue) != 0 ||
      getsockname(listen_socket_, any, &size) != 0) {
    return tl::unexpected(
        Error{"listen", "127.0.0.1:" + std::to_string(port), "cannot bind"});
  }
  auto control = control_.Start(control_port);
  if (!control) {
    return tl::unexpected(control.error());
  }
  std::thread([this] { Accept(); }).detach();
  return std::pair(static_cast<int>(ntohs(address.sin_port)), *control);
}

void Relay::Accept() {
  for (;;) {
    auto link = std::make_shared<Link>();
    link->caller = accept4(listen_socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (link->caller < 0) {
      continue;
    }
    ++accepted_;
    link->target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(target_port_);
    if (connect(link->target, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      continue;
    }
    const int yes = 1;
    setsockopt(link->caller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    setsockopt(link->target, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    {
      std::lock_guard lock(mutex_);
      links_.push_back(link);
    }
    std::thread([=, this] {
      Forward(link, link->caller, link->target);
    }).detach();
    std::thread([=, this] {
      Forward(link, link->target, link->caller);
    }).detach();
  }
}

void Relay::Forward(const std::shared_ptr<Link>& link, int from, int to) {
  std::array<char, kChunk> buf{};
  for (;;) {
    const ssize_t n = recv(from, buf.data(), buf.size(), 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_));
    if (link->silent) {
      // The end of the connection is swallowed too, like all else on it.
      if (n <= 0) {
        return;
      }
      continue;
    }
    if (n <= 0 || !SendAll(to, buf.data(), static_cast<std::size_t>(n))) {
      shutdown(to, SHUT_WR);
      return;
    }
  }
}

void Relay::SetFaults(const httplib::Request& request,
                      httplib::Response& response) {
  const auto body = JsonBody(request, response);
  if (body.is_null()) {
    return;
  }
  int touched = 0;
  try {
    delay_ms_ = body.value("delay_ms", delay_ms_.load());
    const bool silent = body.value("silent", false);
    const bool cut = body.value("cut", false);
    for (const auto& it : OpenLinks()) {
      touched += silent || cut ? 1 : 0;
      if (silent) {
        it->silent = true;
      }
      if (cut) {
        shutdown(it->caller, SHUT_RDWR);
        shutdown(it->target, SHUT_RDWR);
      }
    }
  } catch (const nlohmann::json::exception& ec) {
    AnswerJson(response, {{"error", ec.what()}}, 400);
    return;
  }
  AnswerJson(response, {{"connections", touched}});
}

std::list<std::shared_ptr<Relay::Link>> Relay::OpenLinks() {
  std::lock_guard lock(mutex_);
  links_.remove_if([](const auto& it) { return it.expired(); });
  std::list<std::shared_ptr<Link>> open;
  for (const auto& it : links_) {
    if (auto link = it.lock()) {
      open.push_back(std::move(link));
    }
  }
  return open;
}

}  // namespace baobab::standins
