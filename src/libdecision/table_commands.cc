#include "libdecision/table_commands.h"

#include <algorithm>
#include <string>

namespace baobab {
namespace {

constexpr std::size_t kMaxWaitingEdits = 64;

void SendReply(const CommandId& command, CommandReply reply, Effects& effects) {
  effects.push_back(AnswerCommand{command, std::move(reply)});
}

const char* TimelineKind(EditState state) {
  switch (state) {
    case EditState::kInForce:
      return "edit-in-force";
    case EditState::kPartlyInForce:
      return "edit-partly-in-force";
    case EditState::kConflict:
      return "edit-conflict";
    case EditState::kFaulty:
      return "edit-faulty";
    case EditState::kNotAccepted:
      return "edit-not-accepted";
    case EditState::kUnknown:
      return "edit-unknown";
  }
  return "edit-unknown";
}

/** Answers an edit and writes its timeline entry. */
void FinishEdit(const CommandId& command,
                const TableEdit& edit,
                EditReply reply,
                Effects& effects) {
  std::string detail = reply.message;
  if (!reply.conflicts.empty()) {
    const auto& it = reply.conflicts.front();
    detail += "; " + it.cell.sheet + "/" + it.cell.row + "/" + it.cell.column +
              " was changed by " + it.changed_by;
  }
  effects.push_back(WriteTimelineEntry{
      {TimelineKind(reply.state), "edit/" + edit.id.value(),
       "command/" + std::to_string(command.value()), std::move(detail)}});
  SendReply(command, std::move(reply), effects);
}

EditReply MakeReply(EditState state, const LogFold& fold, std::string message) {
  EditReply reply;
  reply.state = state;
  reply.version = fold.version();
  reply.message = std::move(message);
  return reply;
}

/** Checks an edit against the current table. Returns the answer if it cannot be
 * accepted. */
std::optional<EditReply> CheckLocally(const TableEdit& edit,
                                      const LogFold& fold) {
  if (auto fault = EditLimitFault(edit)) {
    return MakeReply(EditState::kFaulty, fold, std::move(*fault));
  }
  auto conflicts = fold.Conflicts(edit);
  if (!conflicts.empty()) {
    auto reply = MakeReply(EditState::kConflict, fold,
                           std::to_string(conflicts.size()) +
                               " cells no longer hold the old value");
    reply.conflicts = std::move(conflicts);
    return reply;
  }
  auto table = ApplyChanges(fold.table(), edit.changes);
  if (!table) {
    auto reply =
        MakeReply(EditState::kFaulty, fold,
                  "the table would have " +
                      std::to_string(table.error().size()) + " faults");
    reply.faults = std::move(table.error());
    return reply;
  }
  return std::nullopt;
}

/** Returns the answer to an edit whose record was rejected. */
EditReply MakeRefusal(const TableEdit& edit,
                      const EditDecision& decision,
                      const LogFold& fold) {
  auto reply = MakeReply(decision.verdict == EditVerdict::kConflict
                             ? EditState::kConflict
                             : EditState::kFaulty,
                         fold, decision.reason);
  if (decision.verdict == EditVerdict::kConflict) {
    reply.conflicts = fold.Conflicts(edit);
  } else if (auto table = ApplyChanges(fold.table(), edit.changes); !table) {
    reply.faults = std::move(table.error());
  }
  return reply;
}

std::string JoinNames(const std::vector<NodeId>& nodes) {
  std::string names;
  for (const auto& it : nodes) {
    names += names.empty() ? it.value() : ", " + it.value();
  }
  return names;
}

}  // namespace

void TableCommands::OnEdit(const EditSubmitted& submitted,
                           Time now,
                           std::int64_t wall_ms,
                           const LogFold& fold,
                           LogWriter& writer,
                           Effects& effects) {
  const TableEdit& edit = submitted.edit;
  const auto refuse = [&](std::string why) {
    FinishEdit(submitted.command, edit,
               MakeReply(EditState::kNotAccepted, fold, std::move(why)),
               effects);
  };
  if (!fold.caught_up() || fold.waits_for_snapshot()) {
    refuse("this node has not read the log up to its end yet");
    return;
  }
  if (waiting_.size() >= kMaxWaitingEdits) {
    refuse(std::to_string(waiting_.size()) + " edits wait already");
    return;
  }
  WaitingEdit waiting{submitted.command, edit, now + kEditAnswerTimeout,
                      std::nullopt};
  const auto same = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const auto& it) { return it.edit.id == edit.id && it.sequence; });
  if (same != waiting_.end()) {
    waiting.sequence = same->sequence;
  } else if (!fold.FindEdit(edit.id)) {
    // If an earlier copy of the edit may still reach the log, only the log can
    // decide, and the local check is skipped.
    auto reply =
        unresolved_.contains(edit.id) ? std::nullopt : CheckLocally(edit, fold);
    if (reply) {
      FinishEdit(submitted.command, edit, std::move(*reply), effects);
      return;
    }
    const auto sequence = writer.Submit(edit, wall_ms);
    if (!sequence) {
      refuse(ToString(sequence.error()));
      return;
    }
    waiting.sequence = *sequence;
  }
  waiting_.push_back(std::move(waiting));
}

void TableCommands::OnTable(const TableRequested& requested,
                            const LogFold& fold,
                            Effects& effects) const {
  if (!fold.caught_up()) {
    SendReply(
        requested.command,
        Error{"read table", "", "this node has not read the log to its end"},
        effects);
    return;
  }
  SendReply(requested.command, TableReply{fold.version(), fold.table()},
            effects);
}

void TableCommands::OnHistory(const HistoryRequested& requested,
                              const LogFold& fold,
                              Effects& effects) const {
  if (!fold.caught_up()) {
    SendReply(
        requested.command,
        Error{"read history", "", "this node has not read the log to its end"},
        effects);
    return;
  }
  SendReply(requested.command, HistoryReply{fold.state().history}, effects);
}

void TableCommands::Tick(Time now,
                         const LogFold& fold,
                         const Membership& membership,
                         LogWriter& writer,
                         Effects& effects) {
  std::erase_if(unresolved_, [&](const auto& it) {
    return fold.LastSequence(writer.self()) >= it.second;
  });
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto reply = TryAnswer(*it, now, fold, membership, writer);
    if (!reply) {
      ++it;
      continue;
    }
    FinishEdit(it->command, it->edit, std::move(*reply), effects);
    it = waiting_.erase(it);
  }
}

std::optional<EditReply> TableCommands::TryAnswer(const WaitingEdit& waiting,
                                                  Time now,
                                                  const LogFold& fold,
                                                  const Membership& membership,
                                                  LogWriter& writer) {
  const auto decision = fold.FindEdit(waiting.edit.id);
  if (!decision) {
    return TryAnswerUndecided(waiting, now, fold, writer);
  }
  if (decision->verdict != EditVerdict::kAccepted) {
    return MakeRefusal(waiting.edit, *decision, fold);
  }
  auto pending = membership.NodesBehind(decision->version, fold.view());
  if (!pending.empty() && now < waiting.deadline) {
    return std::nullopt;
  }
  EditReply reply;
  reply.state =
      pending.empty() ? EditState::kInForce : EditState::kPartlyInForce;
  reply.version = decision->version;
  reply.message = pending.empty()
                      ? "all " + std::to_string(fold.view().nodes.size()) +
                            " view nodes have it"
                      : "not yet reported after 14 s by " + JoinNames(pending);
  reply.pending = std::move(pending);
  return reply;
}

std::optional<EditReply> TableCommands::TryAnswerUndecided(
    const WaitingEdit& waiting,
    Time now,
    const LogFold& fold,
    LogWriter& writer) {
  // A later record of this process was read back. A copy that still reaches the
  // log is a duplicate there, so the edit can no longer be accepted.
  if (waiting.sequence &&
      fold.LastSequence(writer.self()) >= *waiting.sequence) {
    return MakeReply(
        EditState::kNotAccepted, fold,
        "the log holds later records of this node, but not the edit");
  }
  if (now < waiting.deadline) {
    return std::nullopt;
  }
  const auto unknown = [&] {
    return MakeReply(EditState::kUnknown, fold,
                     "no answer of the log within 14 s; send the edit again "
                     "with the same id");
  };
  const auto same = std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const auto& it) { return it.sequence == waiting.sequence; });
  if (!waiting.sequence || same > 1) {
    // Another command waits for the same record, so it is not withdrawn.
    return unknown();
  }
  if (!writer.Withdraw(*waiting.sequence)) {
    unresolved_[waiting.edit.id] = *waiting.sequence;
    return unknown();
  }
  if (unresolved_.contains(waiting.edit.id)) {
    return unknown();
  }
  return MakeReply(EditState::kNotAccepted, fold,
                   "log unreachable: no append succeeded in 14 s");
}

}  // namespace baobab
