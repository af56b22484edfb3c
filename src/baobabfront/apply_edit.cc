#include "baobabfront/apply_edit.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <optional>

#include <fmt/format.h>

namespace baobab {

namespace {

constexpr std::size_t kMinAttempts = 2;
constexpr int kBadRequest = 400;

std::string CellName(const CellRef& cell) {
  return cell.sheet + "/" + cell.row + "/" + cell.column;
}

std::string ConflictText(const EditReply& reply) {
  std::string text =
      "refused, nothing was changed: another edit changed these cells first\n";
  for (const auto& it : reply.conflicts) {
    fmt::format_to(std::back_inserter(text),
                   "  {}: you started from \"{}\", it is now \"{}\", changed "
                   "by {} in version {}\n",
                   CellName(it.cell), it.expected, it.present,
                   it.changed_by.empty() ? "unknown" : it.changed_by,
                   it.changed_in.value());
  }
  return text;
}

std::string FaultText(const EditReply& reply) {
  std::string text =
      "refused, nothing was changed: the table would be faulty\n";
  for (const auto& it : reply.faults) {
    fmt::format_to(std::back_inserter(text), "  {}: \"{}\", allowed {}\n",
                   CellName(it.cell), it.value, it.rule);
  }
  return text;
}

std::string PendingText(const EditReply& reply) {
  std::string text =
      fmt::format("accepted as version {}, not yet in force on these nodes:\n",
                  reply.version.value());
  for (const auto& it : reply.pending) {
    text += "  " + it.value() + "\n";
  }
  return text + "It takes effect there as soon as they read the log.\n";
}

/** Returns the result of the edit, or nothing if the reply leaves it open. */
std::optional<ApplyResult> DefiniteResult(const EditReply& reply) {
  switch (reply.state) {
    case EditState::kInForce:
      return ApplyResult{kExitDone,
                         fmt::format("version {} is in force on all nodes\n",
                                     reply.version.value())};
    case EditState::kPartlyInForce:
      return ApplyResult{kExitPartlyInForce, PendingText(reply)};
    case EditState::kConflict:
      return ApplyResult{kExitRefused, ConflictText(reply)};
    case EditState::kFaulty:
      return ApplyResult{kExitRefused, FaultText(reply)};
    case EditState::kNotAccepted:
    case EditState::kUnknown:
      break;
  }
  return std::nullopt;
}

/** Describes why the response gives no definite result. */
std::string UnclearReason(const Address& node,
                          const ControlResponse& response) {
  if (!response.reply) {
    return ToString(response.reply.error());
  }
  if (const auto* error = std::get_if<Error>(&*response.reply)) {
    return ToString(node) + ": " + ToString(*error);
  }
  if (const auto* edit = std::get_if<EditReply>(&*response.reply)) {
    const bool known = edit->state == EditState::kNotAccepted;
    return fmt::format("{}: {}{}{}", ToString(node),
                       known ? "not accepted" : "the result is unknown",
                       edit->message.empty() ? "" : ", ", edit->message);
  }
  return ToString(node) + ": unexpected kind of reply";
}

}  // namespace

ApplyResult ApplyEdit(const std::vector<Address>& nodes,
                      const TableEdit& edit,
                      const PostEditFunction& post) {
  bool unclear = false;
  std::string text;
  const std::size_t attempts = std::max(nodes.size(), kMinAttempts);
  for (std::size_t n = 0; n < attempts && !nodes.empty(); ++n) {
    const Address& node = nodes[n % nodes.size()];
    const ControlResponse response = post(node, edit);
    const auto* reply =
        response.reply ? std::get_if<EditReply>(&*response.reply) : nullptr;
    if (reply != nullptr) {
      if (auto definite = DefiniteResult(*reply)) {
        definite->text.insert(0, text);
        return *std::move(definite);
      }
    }
    text += UnclearReason(node, response) + "\n";
    if (response.status == kBadRequest && !unclear) {
      return {kExitRefused, text + "refused, nothing was changed\n"};
    }
    const bool refused =
        reply != nullptr && reply->state == EditState::kNotAccepted;
    unclear = unclear || (response.sent && !refused);
  }
  text += unclear
              ? "It is not known whether the edit was accepted. Check `table "
                "history`, or run the same command again: a change that is "
                "already in the table is not applied twice.\n"
              : "The edit was not accepted, nothing was changed.\n";
  return {kExitUnclear, text};
}

}  // namespace baobab
