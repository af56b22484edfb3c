#ifndef SRC_LIBNET_BACKEND_CLIENT_H_
#define SRC_LIBNET_BACKEND_CLIENT_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "libdecision/decision.h"
#include "libnet/http_call.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** How one call of a minion ended. */
struct BackendResult {
  AttemptResult result = AttemptResult::kUnknown;
  /** The minion said that it leaves. */
  bool leaving = false;
  bool timed_out = false;
  /** Set with kAnswered. */
  HttpResponse answer;
  /** What went wrong; empty with kAnswered. */
  std::string error;
};

/** Calls minions and keeps their idle connections. Thread-safe. */
class BackendClient {
 public:
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(5);

  explicit BackendClient(Metrics& metrics) : metrics_(metrics) {}

  /** Sends the request with the header `Baobab-Request: attempt_id`, which the
   * answer must echo. A request that is not idempotent gets a new connection:
   * a minion may close an idle one just as the request is sent, and then it is
   * unknown if the request ran. */
  BackendResult Call(const std::string& address,
                     const std::string& attempt_id,
                     const HttpRequest& request,
                     bool idempotent,
                     Duration timeout);

  /** Closes connections which were idle for kMaxIdleTime. */
  void CloseIdle();

  std::size_t idle_connections() const;

 private:
  struct Idle {
    UniqueFd fd;
    SocketTime since;
  };

  UniqueFd TakeIdle(const std::string& address);
  void AddIdle(const std::string& address, UniqueFd fd);

  Metrics& metrics_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_BACKEND_CLIENT_H_
