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

/** Result of one call to a minion. */
struct BackendResult {
  AttemptResult result = AttemptResult::kUnknown;
  /** The response announced that the minion is shutting down. */
  bool leaving = false;
  bool timed_out = false;
  /** The response; valid only with kAnswered. */
  HttpResponse answer;
  /** Error message; empty with kAnswered. */
  std::string error;
};

/** HTTP client for minions, with a pool of idle connections. Thread-safe. */
class BackendClient {
 public:
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(5);

  explicit BackendClient(Metrics& metrics) : metrics_(metrics) {}

  /** Sends the request with the header `Baobab-Request: attempt_id`, which the
   * response must echo. A request that is not idempotent uses a new connection:
   * a minion may close an idle one while the request is being sent, which
   * leaves it unknown whether the request ran. */
  BackendResult Call(const std::string& address,
                     const std::string& attempt_id,
                     const HttpRequest& request,
                     bool idempotent,
                     Duration timeout);

  /** Closes connections that have been idle for kMaxIdleTime. */
  void CloseIdle();

  /** Number of pooled connections. */
  std::size_t idle_connections() const;

 private:
  /** A pooled connection. */
  struct Idle {
    UniqueFd fd;
    SocketTime since;
  };

  /** Removes a usable connection from the pool; invalid if there is none. */
  UniqueFd TakeIdle(const std::string& address);
  /** Returns a connection to the pool, or closes it if the pool is full. */
  void AddIdle(const std::string& address, UniqueFd fd);

  Metrics& metrics_;
  mutable std::mutex mutex_;
  /** Pooled connections by minion address. */
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_BACKEND_CLIENT_H_
