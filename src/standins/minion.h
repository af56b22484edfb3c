#ifndef SRC_STANDINS_MINION_H_
#define SRC_STANDINS_MINION_H_

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "standins/http_server.h"

namespace baobab::standins {

/** Identity and capacity of a minion. */
struct MinionOptions {
  std::string id;
  std::string service;
  /** Maximum number of requests that run at the same time. */
  int slots = 8;
  /** Maximum number of open connections. */
  int max_connections = 64;
  /** Run time of requests that do not set X-Run-Ms. */
  std::chrono::milliseconds run{50};
};

/** Faults of a minion; the double members are probabilities per request. */
struct MinionFaults {
  /** Runs the request, then responds with status 500. */
  double fail = 0;
  /** Runs the request, then closes the connection without a response. */
  double lose = 0;
  /** Runs the request, then sends half of the response body and closes the
   * connection. */
  double cut = 0;
  /** Sends the response twice. */
  double duplicate = 0;
  /** Sends the Baobab-Request header and test id of the previous request. */
  double foreign = 0;
  /** Delay of the response after the request has run. */
  std::chrono::milliseconds late{0};
  /** Neither runs requests nor responds until this is switched off. */
  bool freeze = false;
  /** Announces in its responses that it is leaving. */
  bool leaving = false;
};

/** Stand-in for a backend server: runs a request by sleeping and counts the
 * executions of each test id. */
class Minion {
 public:
  explicit Minion(MinionOptions options);

  /** Starts to serve; returns the port. */
  Result<int> Start(int port) { return server_.Start(port); }

 private:
  void Run(const httplib::Request& request, httplib::Response& response);
  /** Takes a slot and counts the execution; returns false if none is free. */
  bool AcquireSlot(const std::string& test_id);
  /** Sets the response, altered by the faults in force. */
  void Respond(const httplib::Request& request,
               httplib::Response& response,
               const std::string& test_id);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  /** Returns the response to GET /executions. */
  nlohmann::json ExecutionsReport();
  /** Waits while the minion is frozen, but at most for `time`. Returns the
   * faults in force. */
  MinionFaults WaitWhileFrozen(std::chrono::seconds time);
  /** Returns true with the given probability. Requires the lock. */
  bool WithProbability(double probability);

  const MinionOptions options_;
  std::mutex mutex_;
  std::condition_variable thawed_;
  MinionFaults faults_;
  std::mt19937_64 random_{1};
  int running_ = 0;
  int max_running_ = 0;
  int overruns_ = 0;
  /** Total run time of finished requests. */
  double busy_seconds_ = 0;
  /** Number of executions by test id. */
  std::map<std::string, int> executions_;
  std::string previous_request_id_ = "other-1-1-1";
  std::string previous_test_id_ = "other";
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_MINION_H_
