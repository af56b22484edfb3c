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

struct MinionOptions {
  std::string id;
  std::string service;
  int slots = 8;
  int connections = 64;
  std::chrono::milliseconds run{50};
};

/** Shares of requests are between 0 and 1. */
struct MinionFaults {
  /** Runs, then answers 500. */
  double fail = 0;
  /** Runs, then closes the connection without an answer. */
  double lose = 0;
  /** Runs, then sends half of the answer and closes the connection. */
  double cut = 0;
  /** Sends the answer twice. */
  double duplicate = 0;
  /** Sends the echo and test id of the request before. */
  double foreign = 0;
  /** Answers this much after the run has ended. */
  std::chrono::milliseconds late{0};
  /** Neither runs nor answers anything until it is switched off. */
  bool freeze = false;
  bool leaving = false;
};

/** A backend server that runs requests by waiting, and counts how often each
 * was executed. */
class Minion {
 public:
  explicit Minion(MinionOptions options);

  Result<int> Start(int port) { return server_.Start(port); }

 private:
  void Run(const httplib::Request& request, httplib::Response& response);
  /** Takes a slot and counts the execution; false above the slots. */
  bool Begin(const std::string& test_id);
  /** Sets the answer, disturbed by the faults. */
  void Answer(const httplib::Request& request,
              httplib::Response& response,
              const std::string& test_id);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  nlohmann::json Executions();
  /** Waits until the minion is not frozen, or for the time; returns the faults
   * in force. */
  MinionFaults WaitUntilThawed(std::chrono::seconds time);
  bool Chance(double share);

  const MinionOptions options_;
  std::mutex mutex_;
  std::condition_variable thawed_;
  MinionFaults faults_;
  std::mt19937_64 random_{1};
  int running_ = 0;
  int most_running_ = 0;
  int overruns_ = 0;
  /** Seconds of slots that ran requests. */
  double busy_seconds_ = 0;
  std::map<std::string, int> executions_;
  std::string previous_echo_ = "other-1-1-1";
  std::string previous_test_id_ = "other";
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_MINION_H_
