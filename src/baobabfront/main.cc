#include "baobabfront/commands.h"
#include "baobabfront/exit_code.h"
#include "platform/platform_command.h"

int main(int argc, char** argv) {
  CLI::App app(
      "Manages capacity and maintenance of a fleet: entry nodes between "
      "callers and backend servers, and commands for operators.",
      "baobabfront");
  app.set_version_flag("--version", "baobabfront " BAOBAB_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done; 1 refused or a fault was found; 2 wrong usage; 3 no "
      "node reachable or the result is unclear; 4 accepted but not yet in "
      "force on all nodes.");

  baobab::CommandAction action;
  baobab::AddNodeCommand(app, action);
  baobab::platform::AddPlatformCommand(app, action);
  baobab::AddSettingsCommand(app, action);
  baobab::AddTableCommand(app, action);
  baobab::AddStatusCommand(app, action);
  baobab::AddTimelineCommand(app, action);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? baobab::kExitDone : baobab::kExitUsage;
  }
  return action();
}
