#ifndef SRC_BAOBABFRONT_COMMANDS_H_
#define SRC_BAOBABFRONT_COMMANDS_H_

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "libsettings/settings.h"

namespace baobab {

/** Runs the chosen command and returns the exit code of the process. */
using CommandAction = std::function<int()>;

// Each of these adds a subcommand with its options to `app`. Parsing a command
// line that selects the subcommand sets `action`.
void AddNodeCommand(CLI::App& app, CommandAction& action);
void AddSettingsCommand(CLI::App& app, CommandAction& action);
void AddTableCommand(CLI::App& app, CommandAction& action);
void AddStatusCommand(CLI::App& app, CommandAction& action);
void AddTimelineCommand(CLI::App& app, CommandAction& action);

/** Adds the repeatable option --node, the address of a node's control port. */
CLI::Option* AddNodeOption(CLI::App& app, std::vector<std::string>& nodes);

/** Parses --node values that the option has already validated. */
std::vector<Address> ParseNodeAddresses(const std::vector<std::string>& nodes);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_COMMANDS_H_
