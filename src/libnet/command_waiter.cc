#include "libnet/command_waiter.h"

namespace baobab {

Result<CommandReply> CommandWaiter::Ask(
    const std::function<EventBody(CommandId)>& make_event,
    Duration timeout) {
  CommandId command;
  {
    const std::lock_guard lock(mutex_);
    command = CommandId(next_id_++);
    pending_[command] = std::nullopt;
  }
  post_(make_event(command));
  std::unique_lock lock(mutex_);
  const bool replied = reply_arrived_.wait_for(
      lock, timeout, [&] { return pending_[command].has_value(); });
  std::optional<CommandReply> reply = std::move(pending_[command]);
  pending_.erase(command);
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
    const auto it = pending_.find(effect.command);
    if (it == pending_.end()) {
      return;
    }
    it->second = effect.reply;
  }
  reply_arrived_.notify_all();
}

}  // namespace baobab
