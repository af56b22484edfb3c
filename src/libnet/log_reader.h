#ifndef SRC_LIBNET_LOG_READER_H_
#define SRC_LIBNET_LOG_READER_H_

#include <mutex>
#include <optional>

#include "libnet/http_call.h"
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
  /** Also ends a long poll that waits. */
  void Stop();

  /** Continues at this offset and ends a long poll that waits. Thread-safe. */
  void SeekTo(Offset offset);

 private:
  void Run();
  void ApplySeek();
  /** True if Stop() or SeekTo() ended the read in progress. */
  bool IsInterrupted();
  void ShutDownConnection();
  tl::expected<HttpResponse, CallFailure> Get(const std::string& target);
  /** Errors: the log is unreachable, too slow or answers nonsense. */
  Result<void> ReadOnce();
  /** Errors: the answer names no later first offset. */
  Result<void> SkipToFirst(const std::string& body);

  Endpoint endpoint_;
  Metrics& metrics_;
  PostEvent post_;
  Offset next_offset_;
  /** A read brought no more records: later ones may wait for the next. */
  bool caught_up_ = false;
  std::mutex mutex_;
  std::optional<Offset> requested_offset_;
  /** A second descriptor of the connection in use, to end it from Stop(). */
  UniqueFd connection_;
  bool stopped_ = false;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_LOG_READER_H_
