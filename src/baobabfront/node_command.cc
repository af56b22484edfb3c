#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <fmt/format.h>

#include "baobabfront/commands.h"
#include "baobabfront/exit_code.h"
#include "baobabfront/node_runner.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

namespace {

LogLevel ParseLogLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

int StartNode(const std::string& path) {
  auto settings = LoadSettings(path);
  if (!settings) {
    for (const auto& it : settings.error()) {
      fmt::print(stderr, "{}\n", ToString(it));
    }
    return kExitRefused;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  settings->node.incarnation = Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count()));
  SetLogLevel(ParseLogLevel(settings->log_level));
  return RunNode(*settings);
}

}  // namespace

void AddNodeCommand(CLI::App& app, CommandAction& action) {
  auto* node = app.add_subcommand(
      "node",
      "Run a node until SIGTERM. It then finishes the requests in flight, "
      "which takes at most request_timeout_ms of its settings, and exits "
      "with 0.");
  auto path = std::make_shared<std::string>();
  node->add_option("--settings", *path, "INI file; see examples/node.ini")
      ->required();
  node->callback(
      [&action, path] { action = [path] { return StartNode(*path); }; });
}

}  // namespace baobab
