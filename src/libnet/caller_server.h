#ifndef SRC_LIBNET_CALLER_SERVER_H_
#define SRC_LIBNET_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <variant>

#include "libnet/backend_client.h"
#include "libnet/post_event.h"

namespace baobab {

/** A decision of the reducer on a caller's request. */
using RequestDecision = std::variant<StartAttempt,
                                     DeliverAnswer,
                                     Respond,
                                     DeliverStoredAnswer,
                                     IssueKey>;

/** Address, identity and limits of a CallerServer. */
struct CallerServerOptions {
  Endpoint endpoint;
  NodeId node;
  Incarnation incarnation;
  /** Maximum concurrent requests; each holds a thread until its response is
   * sent. */
  int threads = 256;
  /** Additional threads that only refuse requests. */
  int refusing_threads = 8;
  /** Maximum size of a request body. */
  Bytes max_body{1 << 20};
  /** A persistent connection is closed after this time without a request. */
  Duration idle_timeout{std::chrono::seconds(1)};
  /** Time limit for receiving one request. */
  Duration read_timeout{std::chrono::seconds(10)};
  /** Time limit for sending one response. */
  Duration write_timeout{std::chrono::seconds(10)};
  /** Time limit for each decision. After it the outcome is not-run if no
   * attempt was started, otherwise unknown. */
  Duration decision_timeout{std::chrono::seconds(120)};
};

/** HTTP server for callers. The thread that serves a connection also calls the
 * minion, so that an answer cannot reach another caller. */
class CallerServer {
 public:
  /** GET /healthz returns 200 while `is_ready` returns true, otherwise 503. */
  CallerServer(CallerServerOptions options,
               BackendClient& backend,
               Metrics& metrics,
               PostEvent post,
               std::function<bool()> is_ready);
  /** Calls Stop(). */
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Errors: the address cannot be bound. */
  Result<void> Start();

  /** Port in use, after Start(). */
  int port() const;

  /** Passes a decision to the thread that serves its request. Thread-safe. */
  void Execute(RequestDecision decision);

  /** Makes GET /healthz return 503 from now on. Requests are still accepted. */
  void AnnounceStop();

  /** Stops accepting connections and returns when all responses are sent. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_CALLER_SERVER_H_
