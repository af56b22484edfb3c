#ifndef SRC_LIBDECISION_LOG_READING_H_
#define SRC_LIBDECISION_LOG_READING_H_

#include <functional>

#include "libdecision/event.h"
#include "libdecision/log_fold.h"
#include "libdecision/node_config.h"

namespace baobab {

/** Decides from where the log is read, and asks peers for their state while
 * this node cannot catch up by itself. */
class LogReading {
 public:
  /** Time between two requests for a peer's state. */
  static constexpr Duration kAskPeer = std::chrono::seconds(2);

  using OnFolded =
      std::function<void(const LogEntry& entry, const FoldResult& result)>;

  explicit LogReading(const NodeConfig& config) : config_(config) {}

  /** Folds the entries of a read. Entries that do not follow on from
   * next_offset() belong to a read that was overtaken, and are dropped. */
  void OnRead(const LogRead& read, LogFold& fold, const OnFolded& on_folded);

  /** Asks one peer after the other while the fold is not caught up or waits
   * for a snapshot. */
  void Tick(Time now, const LogFold& fold, Effects& effects);

  /** Adopts a peer's state if it is newer. */
  void OnReply(const NodeId& from,
               const StateReply& reply,
               LogFold& fold,
               Effects& effects);

  /** Offset for the next read of the log. */
  Offset next_offset() const { return next_; }

 private:
  void Follow(const LogFold& fold);

  NodeConfig config_;
  Offset next_;
  Time ask_at_;
  std::size_t next_peer_ = 0;
  bool started_ = false;
};

}  // namespace baobab

#endif  // SRC_LIBDECISION_LOG_READING_H_
