#ifndef TESTS_SOAK_RELAY_H_
#define TESTS_SOAK_RELAY_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "http.hpp"
#include "record.hpp"

namespace baobab {

/** Probability of an event. */
struct Percent {
  int value = 0;
};

/** Requests and responses pass unchanged. */
struct Forwarding {};

/** No request is answered until the fault is over. Some are carried out then.
 */
struct Hanging {
  Percent carried_out;
};

/** Some requests are carried out after a delay and never answered, also by a
 * later process of the target. */
struct Delaying {
  std::int64_t max_delay_ms = 0;
  Percent affected;
};

/** No request is answered. Some are carried out at once, some after a delay, as
 * with `Delaying`, and some never. */
struct Cutting {
  Percent carried_out;
  Percent delayed;
};

using RelayFault = std::variant<Forwarding, Hanging, Delaying, Cutting>;

/** What callers see of a target whose process has ended. */
struct TargetLoss {
  /** Calls on connections to the former process, and on connections that are
   * opened while there is none, which the next process carries out. The others
   * are lost. */
  Percent kept;
  /** Connections of lost calls stay open without an answer. */
  bool is_silent = false;
};

/** Forwards HTTP requests to a local server and applies faults to them. Never
 * destroyed: its threads run until the process ends. */
class Relay {
 public:
  /** Maximum time after which a request is still carried out. */
  static constexpr std::int64_t kMaxDelayMs = 12000;

  Relay(review::Record& record, std::string name, std::uint64_t seed)
      : record_(record),
        name_(std::move(name)),
        random_(seed),
        server_([this](const review::Request& request) {
          return Serve(request);
        }) {}

  std::string address() const { return server_.address(); }

  /** The target's present process listens on this port. */
  void SetTargetPort(int port) {
    const std::lock_guard lock(mutex_);
    target_port_ = port;
    changed_.notify_all();
  }

  /** The target's process has ended. */
  void LoseTarget(const TargetLoss& loss) {
    const std::lock_guard lock(mutex_);
    target_port_ = 0;
    loss_ = loss;
  }

  /** Applies a fault until it is cleared by the number that is returned. The
   * newest fault counts. */
  int AddFault(RelayFault fault) {
    const std::lock_guard lock(mutex_);
    faults_[++last_fault_] = fault;
    return last_fault_;
  }

  void ClearFault(int number) {
    const std::lock_guard lock(mutex_);
    faults_.erase(number);
    changed_.notify_all();
  }

 private:
  using Response = std::optional<review::Response>;

  Response Serve(const review::Request& request) {
    return std::visit([&](const auto& it) { return Apply(it, request); },
                      CurrentFault());
  }

  Response Apply(const Forwarding&, const review::Request& request) {
    auto response = Send(request);
    // A response to a request from before the fault is lost as well.
    if (WaitWhileHanging()) {
      return std::nullopt;
    }
    if (std::holds_alternative<Cutting>(CurrentFault()) ||
        (!response && IsSilent())) {
      return KeepSilent();
    }
    return response;
  }

  Response Apply(const Hanging& fault, const review::Request& request) {
    const bool carried_out = Draw(fault.carried_out);
    WaitWhileHanging();
    if (carried_out) {
      Send(request);
    }
    return std::nullopt;
  }

  Response Apply(const Delaying& fault, const review::Request& request) {
    if (!Draw(fault.affected)) {
      return Apply(Forwarding(), request);
    }
    SendLate(request, Draw(kMinDelayMs, fault.max_delay_ms));
    return std::nullopt;
  }

  Response Apply(const Cutting& fault, const review::Request& request) {
    if (Draw(fault.carried_out)) {
      Send(request);
    } else if (Draw(fault.delayed)) {
      SendLate(request, Draw(kMinDelayMs, kMaxDelayMs));
    }
    return KeepSilent();
  }

  /** Lets the caller's timeout pass. */
  static Response KeepSilent() {
    review::SleepMs(kSilenceMs);
    return std::nullopt;
  }

  void SendLate(const review::Request& request, std::int64_t delay_ms) {
    const auto begin = review::Now();
    review::SleepMs(delay_ms);
    const auto age_ms = review::Now() - begin;
    // On a loaded machine this thread may continue too late.
    const auto response = age_ms > kMaxDelayMs + kMaxOversleepMs
                              ? std::nullopt
                              : Send(request, age_ms);
    record_.Line(
        "relay " + name_ + ": after " + std::to_string(review::Now() - begin) +
        " ms " + review::PathOf(request) + " " +
        request.body().substr(0, kLoggedBytes) + " -> " +
        (response ? response->body().substr(0, kLoggedBytes) : "no answer"));
  }

  RelayFault CurrentFault() {
    const std::lock_guard lock(mutex_);
    return faults_.empty() ? Forwarding() : faults_.rbegin()->second;
  }

  /** Returns whether it had to wait. */
  bool WaitWhileHanging() {
    std::unique_lock lock(mutex_);
    bool waited = false;
    while (!faults_.empty() &&
           std::holds_alternative<Hanging>(faults_.rbegin()->second)) {
      waited = true;
      changed_.wait(lock);
    }
    return waited;
  }

  bool IsSilent() {
    const std::lock_guard lock(mutex_);
    return loss_.is_silent;
  }

  std::int64_t Draw(std::int64_t from, std::int64_t to) {
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<std::int64_t>(from, to)(random_);
  }
  bool Draw(Percent probability) { return Draw(1, 100) <= probability.value; }

  /** Returns the port of the target's process that gets a request, or 0 if the
   * request is lost. `connected_port` is that of the caller's connection, or
   * 0. */
  int AwaitTarget(int connected_port, std::int64_t age_ms) {
    std::unique_lock lock(mutex_);
    if (target_port_ != 0 &&
        (connected_port == 0 || connected_port == target_port_)) {
      return target_port_;
    }
    if (std::uniform_int_distribution<>(1, 100)(random_) > loss_.kept.value) {
      return 0;
    }
    changed_.wait_for(lock, std::chrono::milliseconds(kMaxDelayMs - age_ms),
                      [this] { return target_port_ != 0; });
    return target_port_;
  }

  /** Sends a request of this age on the connection that belongs to the calling
   * thread. Each thread serves one connection, which ends when a response is
   * missing. */
  Response Send(const review::Request& request, std::int64_t age_ms = 0) {
    namespace asio = review::asio;
    thread_local asio::io_context loop;
    thread_local std::optional<asio::ip::tcp::socket> socket;
    thread_local int connected_port = 0;
    thread_local boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    const int port = AwaitTarget(connected_port, age_ms);
    if (port == 0) {
      return std::nullopt;
    }
    if (connected_port != port) {
      buf.clear();
      socket.emplace(loop);
      socket->connect({asio::ip::make_address("127.0.0.1"),
                       static_cast<unsigned short>(port)},
                      ec);
      if (ec) {
        return std::nullopt;
      }
      connected_port = port;
      socket->set_option(asio::ip::tcp::no_delay(true), ec);
    }
    review::Request copy = request;
    copy.keep_alive(true);
    review::http::write(*socket, copy, ec);
    review::http::response_parser<review::http::string_body> parser;
    parser.body_limit(std::uint64_t{64} << 20);
    if (!ec) {
      review::http::read(*socket, buf, parser, ec);
    }
    if (ec) {
      return std::nullopt;
    }
    return parser.release();
  }

  static constexpr std::int64_t kMinDelayMs = 500;
  static constexpr std::int64_t kMaxOversleepMs = 200;
  /** Longer than the timeouts of the nodes' calls to workers. */
  static constexpr std::int64_t kSilenceMs = 3000;
  static constexpr std::size_t kLoggedBytes = 160;

  review::Record& record_;
  const std::string name_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  std::map<int, RelayFault> faults_;
  int last_fault_ = 0;
  /** 0 while the target has no process. */
  int target_port_ = 0;
  TargetLoss loss_;
  review::Server server_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_RELAY_H_
