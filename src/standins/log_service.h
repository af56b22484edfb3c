#ifndef SRC_STANDINS_LOG_SERVICE_H_
#define SRC_STANDINS_LOG_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>

#include "standins/http_server.h"

namespace baobab::standins {

struct LogServiceOptions {
  /** Records kept; older ones are dropped. */
  std::size_t retain_count = 100'000;
  std::chrono::milliseconds retain_age = std::chrono::hours(24);
  int appends_per_second = 300;
};

/** The append-only log service, with faults switched at run time. */
class LogService {
 public:
  explicit LogService(LogServiceOptions options);

  Result<int> Start(int port) { return server_.Start(port); }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Outage { kNone, kAnswer503, kClose };
  struct Stored {
    Clock::time_point at;
    std::string body;
  };

  void Append(const httplib::Request& request, httplib::Response& response);
  void Read(const httplib::Request& request, httplib::Response& response);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  /** Delays the request; returns true if an outage answers it. */
  bool Disturb(const httplib::Request& request, httplib::Response& response);
  bool AnswerOutage(const httplib::Request& request,
                    httplib::Response& response,
                    Outage outage);
  /** Returns false above the rate. Needs the lock. */
  bool TakeAppendSlot();
  void DropOld();

  const LogServiceOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Stored> records_;
  std::uint64_t first_ = 0;
  std::uint64_t appends_ = 0;
  std::uint64_t appended_bytes_ = 0;
  std::uint64_t refused_ = 0;
  double tokens_;
  Clock::time_point tokens_at_ = Clock::now();
  Outage outage_ = Outage::kNone;
  std::chrono::milliseconds slow_{0};
  double lose_answers_ = 0;
  std::mt19937_64 random_{1};
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_LOG_SERVICE_H_
