#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "standins/host_list.h"
#include "standins/log_service.h"
#include "standins/minion.h"
#include "standins/relay.h"

namespace baobab::standins {
namespace {

/** Blocks SIGTERM and SIGINT in this thread and those it starts later. */
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Prints "ready" and the ports, waits for a stop signal and exits. */
[[noreturn]] void ServeUntilStopped(const sigset_t& signals,
                                    const std::vector<int>& ports) {
  std::printf("ready");
  for (int it : ports) {
    std::printf(" %d", it);
  }
  std::printf("\n");
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  // Drops open connections: callers of a stand-in need no graceful shutdown.
  std::_Exit(0);
}

/** Returns the value, or exits with an error if a server could not start. */
template <typename T>
T ValueOrExit(Result<T> result) {
  if (!result) {
    std::fprintf(stderr, "standins: %s\n", ToString(result.error()).c_str());
    std::_Exit(1);
  }
  return *std::move(result);
}

struct Options {
  int port = 0;
  int control_port = 0;
  int target_port = 0;
  LogServiceOptions log;
  std::int64_t retain_age_ms = 86'400'000;
  std::int64_t lag_ms = 0;
  std::string hosts_file;
  MinionOptions minion;
  std::int64_t run_ms = 50;
  int count = 1;
};

void ServeHostList(const sigset_t& signals, const Options& options) {
  HostListService hosts{std::chrono::milliseconds(options.lag_ms)};
  if (!options.hosts_file.empty()) {
    std::ifstream file(options.hosts_file);
    const auto loaded = hosts.Load(nlohmann::json::parse(file, nullptr, false));
    if (!loaded) {
      Error error = loaded.error();
      error.peer = options.hosts_file;
      std::fprintf(stderr, "standins: %s\n", ToString(error).c_str());
      std::_Exit(1);
    }
  }
  ServeUntilStopped(signals, {ValueOrExit(hosts.Start(options.port))});
}

void ServeMinions(const sigset_t& signals, Options options, bool number_ids) {
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<int> ports;
  options.minion.run = std::chrono::milliseconds(options.run_ms);
  const std::string prefix = options.minion.id;
  for (int n = 0; n < options.count; ++n) {
    if (number_ids) {
      options.minion.id = prefix + "-" + std::to_string(n);
    }
    minions.push_back(std::make_unique<Minion>(options.minion));
    const int port = options.port == 0 ? 0 : options.port + n;
    ports.push_back(ValueOrExit(minions.back()->Start(port)));
  }
  ServeUntilStopped(signals, ports);
}

CLI::App* AddCommand(CLI::App& app,
                     const std::string& name,
                     const std::string& help,
                     Options& options) {
  auto* command = app.add_subcommand(name, help);
  command->add_option("--port", options.port, "port to listen on, 0 for any")
      ->check(CLI::Range(0, 65535));
  return command;
}

void AddMinionOptions(CLI::App* command, Options& options) {
  command->add_option("--id", options.minion.id)->required();
  command->add_option("--service", options.minion.service)->required();
  command
      ->add_option("--slots", options.minion.slots, "requests run concurrently")
      ->check(CLI::PositiveNumber);
  command->add_option("--connections", options.minion.max_connections)
      ->check(CLI::PositiveNumber);
  command->add_option("--run-ms", options.run_ms, "run time of a request")
      ->check(CLI::NonNegativeNumber);
}

int Main(int argc, char** argv) {
  const sigset_t signals = BlockStopSignals();
  Options options;
  CLI::App app("Stand-ins for the platform and backend servers, for tests");
  app.require_subcommand(1);
  auto* log = AddCommand(app, "log", "log service", options);
  log->add_option("--retain-count", options.log.retain_count,
                  "records retained")
      ->check(CLI::PositiveNumber);
  log->add_option("--retain-age-ms", options.retain_age_ms)
      ->check(CLI::PositiveNumber);
  log->add_option("--appends-per-second", options.log.appends_per_second)
      ->check(CLI::PositiveNumber);
  auto* hosts = AddCommand(app, "hosts", "host list", options);
  hosts->add_option("--file", options.hosts_file, "JSON host list")
      ->check(CLI::ExistingFile);
  hosts
      ->add_option("--lag-ms", options.lag_ms, "delay until changes are served")
      ->check(CLI::NonNegativeNumber);
  auto* minion = AddCommand(app, "minion", "one backend server", options);
  AddMinionOptions(minion, options);
  auto* minions = AddCommand(
      app, "minions", "many backend servers, ids ID-0, ID-1, ...", options);
  AddMinionOptions(minions, options);
  minions->add_option("--count", options.count)->check(CLI::PositiveNumber);
  auto* relay = AddCommand(app, "relay", "TCP relay", options);
  relay->add_option("--target-port", options.target_port)
      ->required()
      ->check(CLI::Range(1, 65535));
  relay->add_option("--control-port", options.control_port, "port of /faults")
      ->check(CLI::Range(0, 65535));
  CLI11_PARSE(app, argc, argv);

  if (log->parsed()) {
    options.log.retain_age = std::chrono::milliseconds(options.retain_age_ms);
    LogService service(options.log);
    ServeUntilStopped(signals, {ValueOrExit(service.Start(options.port))});
  }
  if (hosts->parsed()) {
    ServeHostList(signals, options);
  }
  if (relay->parsed()) {
    Relay service(options.target_port);
    const auto ports =
        ValueOrExit(service.Start(options.port, options.control_port));
    ServeUntilStopped(signals, {ports.first, ports.second});
  }
  ServeMinions(signals, options, minions->parsed());
  return 0;
}

}  // namespace
}  // namespace baobab::standins

int main(int argc, char** argv) {
  return baobab::standins::Main(argc, argv);
}
