#ifndef SRC_LIBDECISION_LOG_READING_H_
#define SRC_LIBDECISION_LOG_READING_H_

#include <functional>

#include "libdecision/event.h"
#include "libdecision/log_fold.h"

namespace baobab {

/** Decides from where the log is read, and folds what was read. */
class LogReading {
 public:
  using OnFolded =
      std::function<void(const LogEntry& entry, const FoldResult& result)>;

  /** Folds the entries of a read. Entries that do not follow on from
   * next_offset() belong to a read that was overtaken, and are dropped. */
  void OnRead(const LogRead& read, LogFold& fold, const OnFolded& on_folded);

  /** Call after the fold has adopted the state of a peer. */
  void OnAdopted(const LogFold& fold);

  /** Offset for the next read of the log; it may go back. */
  Offset next_offset() const { return next_; }

 private:
  Offset next_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_READING_H_
