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

/** Follows the platform's log from its oldest record with long polls and posts
 * LogRead or LogReadFailed. Empty reads are posted too, as a sign that the log
 * is reachable. */
class LogReader {
 public:
  LogReader(Endpoint endpoint, Metrics& metrics, PostEvent post);

  void Start();
  /** Stops reading; aborts a long poll in progress. */
  void Stop();

  /** Continues at this offset; aborts a long poll in progress. Thread-safe. */
  void SeekTo(Offset offset);

 private:
  void Run();
  /** Moves to the offset of the last SeekTo(), if any since the last call. */
  void ApplySeek();
  /** Returns true if Stop() or SeekTo() aborted the read in progress. */
  bool IsInterrupted();
  /** Aborts the read in progress; requires `mutex_`. */
  void ShutDownConnection();
  tl::expected<HttpResponse, CallFailure> Get(const std::string& target);
  /** Reads and posts one batch. Errors: the log is unreachable or too slow, or
   * its response is invalid. */
  Result<void> ReadOnce();
  /** Skips records that the log no longer retains. Errors: the body names no
   * later first offset. */
  Result<void> SkipToFirst(const std::string& body);

  Endpoint endpoint_;
  Metrics& metrics_;
  PostEvent post_;
  Offset next_offset_;
  /** The end of the log was reached, so the next read is a long poll. */
  bool caught_up_ = false;
  std::mutex mutex_;
  std::optional<Offset> requested_offset_;
  /** Duplicate descriptor of the connection in use, for ShutDownConnection()
   * from another thread. */
  UniqueFd connection_;
  bool stopped_ = false;
  StoppableThread thread_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_LOG_READER_H_
