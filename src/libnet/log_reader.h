#ifndef SRC_LIBNET_LOG_READER_H_
#define SRC_LIBNET_LOG_READER_H_

#include <mutex>
#include <optional>

#include "libnet/post_event.h"
#include "libnet/sockets.h"
#include "libnet/stoppable_thread.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Follows the platform's log from its oldest record by long polls and posts
 * LogRead or LogReadFailed. An empty read is posted too: it shows that the log
 * is reachable. */
class LogReader {
 public:
  LogReader(Endpoint endpoint, Metrics& metrics, PostEvent post);

  void Start();
  void Stop() { thread_.Stop(); }

  /** Continues at this offset after the read in progress. Thread-safe. */
  void SeekTo(Offset offset);

 private:
  void Run();
  void TakeSeek();
  /** Errors: the log is unreachable, too slow or answers nonsense. */
  Result<void> ReadOnce();
  /** Errors: the answer names no later first offset. */
  Result<void> SkipToFirst(const std::string& body);

  Endpoint endpoint_;
  Metrics& metrics_;
  PostEvent post_;
  Offset from_;
  std::mutex mutex_;
  std::optional<Offset> seek_;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_LOG_READER_H_
