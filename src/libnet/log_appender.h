#ifndef SRC_LIBNET_LOG_APPENDER_H_
#define SRC_LIBNET_LOG_APPENDER_H_

#include <deque>
#include <mutex>
#include <optional>

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libnet/stoppable_thread.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Appends records to the platform's log one at a time and posts AppendFinished
 * for each. Failed appends are not retried. */
class LogAppender {
 public:
  /** Maximum queue length; further records are rejected immediately. */
  static constexpr std::size_t kMaxQueuedRecords = 1024;

  LogAppender(Endpoint endpoint, Metrics& metrics, PostEvent post);

  void Start();
  /** Queues a record. Thread-safe. */
  void Execute(const AppendRecord& effect);
  void Stop() { thread_.Stop(); }

 private:
  void Run();
  /** Sends one record; kUnknown if the log may or may not hold it. */
  AppendResult Append(const Record& record);

  Endpoint endpoint_;
  Metrics& metrics_;
  PostEvent post_;
  std::mutex mutex_;
  std::deque<Record> queue_;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_LOG_APPENDER_H_
