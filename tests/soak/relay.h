#ifndef TESTS_SOAK_RELAY_H_
#define TESTS_SOAK_RELAY_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
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

/** Some requests are carried out after the delay and never answered. */
struct Delaying {
  std::int64_t delay_ms = 0;
  Percent affected;
};

using RelayFault = std::variant<Forwarding, Hanging, Delaying>;

/** Forwards HTTP requests to a local server and applies faults to them. Never
 * destroyed: its threads run until the process ends. */
class Relay {
 public:
  explicit Relay(std::uint64_t seed)
      : random_(seed), server_([this](const review::Request& request) {
          return Serve(request);
        }) {}

  std::string address() const { return server_.address(); }

  void SetTargetPort(int port) { target_port_ = port; }

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
    return WaitWhileHanging() ? std::nullopt : std::move(response);
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
    review::SleepMs(fault.delay_ms);
    Send(request);
    return std::nullopt;
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

  bool Draw(Percent probability) {
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<>(1, 100)(random_) <=
           probability.value;
  }

  /** Sends a request on the connection that belongs to the calling thread.
   * Each thread serves one connection, which ends when a response is missing.
   */
  Response Send(const review::Request& request) {
    namespace asio = review::asio;
    thread_local asio::io_context loop;
    thread_local std::optional<asio::ip::tcp::socket> socket;
    thread_local boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    if (!socket) {
      socket.emplace(loop);
      socket->connect({asio::ip::make_address("127.0.0.1"),
                       static_cast<unsigned short>(target_port_)},
                      ec);
      if (ec) {
        return std::nullopt;
      }
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

  std::mutex mutex_;
  std::condition_variable changed_;
  std::mt19937_64 random_;
  std::map<int, RelayFault> faults_;
  int last_fault_ = 0;
  std::atomic<int> target_port_ = 1;
  review::Server server_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_RELAY_H_
