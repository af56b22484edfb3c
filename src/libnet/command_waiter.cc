#include "libnet/command_waiter.h"

namespace baobab {

Result<CommandReply> CommandWaiter::Ask(
    const std::function<EventBody(CommandId)>& make,
    Duration timeout) {
  CommandId command;
  {
    const std::lock_guard lock(mutex_);
    command = CommandId(next_++);
    waiting_[command] = std::nullopt;
  }
  post_(make(command));
  std::unique_lock lock(mutex_);
  const bool replied = changed_.wait_for(
      lock, timeout, [&] { return waiting_[command].has_value(); });
  std::optional<CommandReply> reply = std::move(waiting_[command]);
  waiting_.erase(command);
  if (!replied) {
    return tl::make_unexpected(
        Error{"wait for the reply to a command", "",
              "the node did not reply in time; its outcome is unknown"});
  }
  return std::move(*reply);
}

void CommandWaiter::Execute(const AnswerCommand& effect) {
  {
    const std::lock_guard lock(mutex_);
    const auto it = waiting_.find(effect.command);
    if (it == waiting_.end()) {
      return;
    }
    it->second = effect.reply;
  }
  changed_.notify_all();
}

}  // namespace baobab
