#ifndef SRC_LIBNET_CONTROL_SERVER_H_
#define SRC_LIBNET_CONTROL_SERVER_H_

#include <memory>

#include "libnet/command_waiter.h"
#include "libnet/sockets.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** HTTP server for operators: GET /status, /table, /history and /metrics, and
 * POST /table to submit an edit. */
class ControlServer {
 public:
  ControlServer(Endpoint endpoint, CommandWaiter& commands, Metrics& metrics);
  /** Calls Stop(). */
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  /** Errors: the address cannot be bound. */
  Result<void> Start();

  /** Port in use, after Start(). */
  int port() const;

  /** Stops accepting connections and returns when all responses are sent. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_CONTROL_SERVER_H_
