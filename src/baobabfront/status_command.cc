#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "baobabfront/commands.h"
#include "baobabfront/control_client.h"
#include "baobabfront/exit_code.h"
#include "baobabfront/status_text.h"

namespace baobab {

namespace {

struct StatusOptions {
  std::vector<std::string> nodes;
  bool json = false;
};

/** Prints the status of every node, also after an unreachable one. */
int ShowStatus(const StatusOptions& options) {
  int code = kExitDone;
  for (const auto& node : ParseNodeAddresses(options.nodes)) {
    const auto response = QueryInOrder<StatusReport>({node}, "/status");
    if (!response) {
      PrintError(response.error());
      code = kExitUnclear;
      continue;
    }
    if (options.json) {
      fmt::print("{}\n", EncodeReply(response->reply));
    } else {
      fmt::print("{}", FormatStatus(response->reply));
    }
    if (response->reply.invariant_violations > 0) {
      code = std::max<int>(code, kExitRefused);
    }
  }
  return code;
}

}  // namespace

void AddStatusCommand(CLI::App& app, CommandAction& action) {
  auto* status = app.add_subcommand(
      "status",
      "Show all named nodes: readiness, table version, view, queues, minions "
      "and peers. Exit code 3 if one cannot be reached, else 1 if one reports "
      "a violated invariant.");
  auto options = std::make_shared<StatusOptions>();
  AddNodeOption(*status, options->nodes)->required();
  status->add_flag("--json", options->json,
                   "One JSON object in one line for each node; durations end "
                   "in _us (microseconds)");
  status->callback([&action, options] {
    action = [options] { return ShowStatus(*options); };
  });
}

}  // namespace baobab
