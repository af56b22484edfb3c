#include <memory>
#include <string>

#include <fmt/format.h>

#include "baobabfront/commands.h"
#include "baobabfront/exit_code.h"

namespace baobab {

namespace {

int CheckSettings(const std::string& path) {
  const auto settings = LoadSettings(path);
  if (!settings) {
    for (const auto& it : settings.error()) {
      fmt::print(stderr, "{}\n", ToString(it));
    }
    return kExitRefused;
  }
  fmt::print("{}: node {} in {}, {} peers, no faults\n", path,
             settings->node.id.value(), settings->node.data_centre.value(),
             settings->peers.size());
  return kExitDone;
}

}  // namespace

void AddSettingsCommand(CLI::App& app, CommandAction& action) {
  auto* settings = app.add_subcommand("settings", "Work with a settings file.");
  settings->require_subcommand(1);
  auto* check = settings->add_subcommand(
      "check",
      "Print all faults of a settings file with line, key, what was found and "
      "what is allowed. Exit code 0 or 1.");
  auto path = std::make_shared<std::string>();
  check->add_option("FILE", *path, "INI file; see examples/node.ini")
      ->required();
  check->callback(
      [&action, path] { action = [path] { return CheckSettings(*path); }; });
}

}  // namespace baobab
