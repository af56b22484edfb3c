#ifndef SRC_LIBNET_CALLER_SERVER_H_
#define SRC_LIBNET_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <variant>

#include "libnet/backend_client.h"
#include "libnet/post_event.h"

namespace baobab {

/** What the reducer decided on a caller's request. */
using RequestDecision = std::variant<StartAttempt,
                                     DeliverAnswer,
                                     Respond,
                                     DeliverStoredAnswer,
                                     IssueKey>;

struct CallerServerOptions {
  Endpoint endpoint;
  NodeId node;
  Incarnation incarnation;
  /** Requests served at once; each holds a thread until it is answered. */
  int threads = 256;
  /** Threads beyond these which only refuse requests. */
  int refusing_threads = 8;
  Bytes max_body{1 << 20};
  /** A kept-alive connection is closed after this time without a request. */
  Duration idle_timeout{std::chrono::seconds(1)};
  /** Longest time to receive one request. */
  Duration read_timeout{std::chrono::seconds(10)};
  /** Longest time to send one answer. */
  Duration write_timeout{std::chrono::seconds(10)};
  /** Longest wait for a decision; then the outcome is unknown. */
  Duration decision_timeout{std::chrono::seconds(120)};
};

/** HTTP server for callers. The thread which serves a connection also calls
 * the minion, so that an answer cannot reach another caller. */
class CallerServer {
 public:
  /** `is_ready` answers GET /healthz. */
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

  /** Hands a decision to the thread of its request. Thread-safe. */
  void Execute(RequestDecision decision);

  /** GET /healthz says 503 from now on. Requests are still accepted. */
  void AnnounceStop();

  /** Accepts no more and returns when all answers are sent. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_CALLER_SERVER_H_
