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

/** Retention and rate limit of the log service. */
struct LogServiceOptions {
  /** Maximum number of records; older ones are dropped. */
  std::size_t retain_count = 100'000;
  /** Maximum age of records; older ones are dropped. */
  std::chrono::milliseconds retain_age = std::chrono::hours(24);
  /** Appends above this rate are refused with status 429. */
  int appends_per_second = 300;
};

/** Stand-in for the append-only log service, whose faults can be switched at
 * run time with POST /faults. */
class LogService {
 public:
  explicit LogService(LogServiceOptions options);

  /** Starts to serve; returns the port. */
  Result<int> Start(int port) { return server_.Start(port); }

 private:
  using Clock = std::chrono::steady_clock;
  enum class Outage { kNone, kRespond503, kClose };
  struct StoredRecord {
    Clock::time_point at;
    std::string body;
  };

  void Append(const httplib::Request& request, httplib::Response& response);
  void Read(const httplib::Request& request, httplib::Response& response);
  void SetFaults(const httplib::Request& request, httplib::Response& response);
  /** Delays the request by the added delay; returns true if it was answered
   * because of an outage. */
  bool ApplyFaults(const httplib::Request& request,
                   httplib::Response& response);
  /** Responds according to the outage; returns false if there is none. */
  bool RespondOutage(const httplib::Request& request,
                     httplib::Response& response,
                     Outage outage);
  /** Takes a token for an append; returns false above the rate limit. Requires
   * the lock. */
  bool TakeAppendToken();
  /** Drops records above the maximum count or age. Requires the lock. */
  void DropExpiredRecords();

  const LogServiceOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<StoredRecord> records_;
  /** Offset of the first record that is retained. */
  std::uint64_t first_offset_ = 0;
  std::uint64_t append_count_ = 0;
  std::uint64_t appended_bytes_ = 0;
  std::uint64_t refused_appends_ = 0;
  /** Token bucket that limits the rate of appends. */
  double tokens_;
  Clock::time_point tokens_updated_at_ = Clock::now();
  Outage outage_ = Outage::kNone;
  std::chrono::milliseconds added_delay_{0};
  /** Probability that an append takes effect but its response is lost. */
  double lose_answers_ = 0;
  std::mt19937_64 random_{1};
  HttpServer server_;
};

}  // namespace baobab::standins

#endif  // SRC_STANDINS_LOG_SERVICE_H_
