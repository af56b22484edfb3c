#ifndef SRC_LIBNET_COMMAND_WAITER_H_
#define SRC_LIBNET_COMMAND_WAITER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "libnet/post_event.h"

namespace baobab {

/** Posts command events and waits for their replies. Thread-safe. */
class CommandWaiter {
 public:
  explicit CommandWaiter(PostEvent post) : post_(std::move(post)) {}

  /** Posts the event that `make_event` returns for a new command id, and waits
   * for the reply. Errors: no reply within the timeout. */
  Result<CommandReply> Ask(
      const std::function<EventBody(CommandId)>& make_event,
      Duration timeout);

  /** Passes the reply to its waiting thread; ignored after the timeout. */
  void Execute(const AnswerCommand& effect);

 private:
  PostEvent post_;
  std::mutex mutex_;
  std::condition_variable reply_arrived_;
  std::uint64_t next_id_ = 1;
  /** Commands whose thread waits, with the reply once it has arrived. */
  std::map<CommandId, std::optional<CommandReply>> pending_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_COMMAND_WAITER_H_
