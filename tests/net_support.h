#ifndef TESTS_NET_SUPPORT_H_
#define TESTS_NET_SUPPORT_H_

#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libnet/net.h"

namespace baobab {

inline SocketTime FromNow(Duration time) {
  return SocketClock::now() + time;
}

/** Waits up to 10 s for the condition; returns whether it became true. */
inline bool WaitUntil(const std::function<bool()>& condition) {
  const SocketTime deadline = FromNow(std::chrono::seconds(10));
  while (!condition()) {
    if (SocketClock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/** Returns the value of a counter in Metrics::PrometheusText(); 0 if it is
 * missing. */
inline std::int64_t CounterValue(const Metrics& metrics,
                                 const std::string& name) {
  const std::string text = "\n" + metrics.PrometheusText();
  const std::string key = "\nbaobab_" + name + " ";
  const std::size_t at = text.find(key);
  return at == std::string::npos ? 0 : std::stoll(text.substr(at + key.size()));
}

/** TCP connection that sends and receives raw bytes. */
class RawSocket {
 public:
  explicit RawSocket(int port)
      : fd_(std::move(*ConnectTcp({"127.0.0.1", port},
                                  FromNow(std::chrono::seconds(5))))) {}
  explicit RawSocket(UniqueFd fd) : fd_(std::move(fd)) {}

  int fd() const { return fd_.get(); }
  void Close() { ::shutdown(fd(), SHUT_RDWR); }

  void Send(std::string_view text) {
    while (!text.empty() &&
           WaitSocket(fd(), POLLOUT, FromNow(std::chrono::seconds(5)))) {
      const ssize_t n =
          ::send(fd(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      text.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  /** Reads until `end` was received, the peer closes, or 10 s have passed. */
  std::string ReceiveUntil(const std::string& end) {
    const SocketTime deadline = FromNow(std::chrono::seconds(10));
    std::string text;
    char buf[4096];
    while (text.find(end) == std::string::npos &&
           WaitSocket(fd(), POLLIN, deadline)) {
      const ssize_t n = ::recv(fd(), buf, sizeof(buf), MSG_DONTWAIT);
      if (n <= 0) {
        break;
      }
      text.append(buf, static_cast<std::size_t>(n));
    }
    return text;
  }

  /** Reads until the peer closes or 10 s have passed. */
  std::string ReceiveAll() { return ReceiveUntil("\x01never\x01"); }

 private:
  UniqueFd fd_;
};

/** TCP server that runs a script for each connection, in a separate thread. */
class RawServer {
 public:
  /** Called with the connection and its index, starting at 0. */
  using Script = std::function<void(RawSocket&, int)>;

  explicit RawServer(Script script)
      : script_(std::move(script)),
        listener_(std::move(*ListenTcp({"127.0.0.1", 0}))),
        acceptor_([this] { Run(); }) {}
  ~RawServer() {
    stopping_ = true;
    acceptor_.join();
    for (const auto& it : sockets_) {
      ::shutdown(it->fd(), SHUT_RDWR);
    }
    for (std::thread& it : threads_) {
      it.join();
    }
  }

  int port() const { return BoundPort(listener_.get()); }
  std::string address() const {
    return ToString(Endpoint{"127.0.0.1", port()});
  }
  int accepted() const { return accepted_; }

 private:
  void Run() {
    while (!stopping_) {
      if (!WaitSocket(listener_.get(), POLLIN,
                      FromNow(std::chrono::milliseconds(10)))) {
        continue;
      }
      UniqueFd fd(::accept(listener_.get(), nullptr, nullptr));
      if (fd.valid()) {
        sockets_.push_back(std::make_shared<RawSocket>(std::move(fd)));
        threads_.emplace_back(
            [this, n = accepted_++, socket = sockets_.back()] {
              script_(*socket, n);
              ::shutdown(socket->fd(), SHUT_RDWR);
            });
      }
    }
  }

  Script script_;
  UniqueFd listener_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> accepted_ = 0;
  std::vector<std::shared_ptr<RawSocket>> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/** Collects posted events. Thread-safe. */
class EventSink {
 public:
  PostEvent MakePostEvent() {
    return [this](EventBody body) {
      const std::lock_guard lock(mutex_);
      events_.push_back(std::move(body));
    };
  }

  template <typename T>
  std::vector<T> All() const {
    const std::lock_guard lock(mutex_);
    std::vector<T> found;
    for (const EventBody& it : events_) {
      if (const T* event = std::get_if<T>(&it)) {
        found.push_back(*event);
      }
    }
    return found;
  }

  template <typename T>
  bool WaitFor(std::size_t n) const {
    return WaitUntil([&] { return All<T>().size() >= n; });
  }

 private:
  mutable std::mutex mutex_;
  std::vector<EventBody> events_;
};

}  // namespace baobab

#endif  // TESTS_NET_SUPPORT_H_
