#ifndef SRC_LIBDECISION_LOG_READING_H_
#define SRC_LIBDECISION_LOG_READING_H_

#include <functional>

#include "libdecision/event.h"
#include "libdecision/log_fold.h"

namespace baobab {

/** Keeps the read position in the log and folds the records that were read. */
class LogReading {
 public:
  /** Called after each folded record. */
  using OnFolded =
      std::function<void(const LogEntry& entry, const FoldResult& result)>;

  /** Folds the entries of a read. Entries that do not continue at
   * next_offset() are from an outdated read and are dropped. */
  void OnRead(const LogRead& read, LogFold& fold, const OnFolded& on_folded);

  /** Updates the read position after `fold` adopted the state of a peer. */
  void OnAdopted(const LogFold& fold);

  /** Offset at which the next read starts; it may go back. */
  Offset next_offset() const { return next_; }

 private:
  Offset next_;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_READING_H_
