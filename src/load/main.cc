#include <cstdio>
#include <fstream>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "load/load_run.h"
#include "load/oracle.h"

namespace baobab::load {
namespace {

struct Options {
  LoadOptions load;
  std::vector<std::string> queues;
  std::vector<std::string> minions;
  std::vector<std::string> stopped;
  int duration_s = 5;
  int timeout_ms = 40'000;
  int settle_ms = 3'000;
  std::string json_file;
};

void PrintText(const nlohmann::json& summary) {
  std::printf("%-20s %8s %8s %8s %8s %10s %9s %9s %9s\n", "queue", "requests",
              "done", "not-run", "other", "goodput/s", "p50 ms", "p99 ms",
              "worst ms");
  for (const auto& [queue, it] : summary["queues"].items()) {
    const int requests = it["requests"].get<int>();
    const int done = it["outcomes"].value("done", 0);
    const int not_run = it["outcomes"].value("not-run", 0);
    std::printf("%-20s %8d %8d %8d %8d %10.1f %9.1f %9.1f %9.1f\n",
                queue.c_str(), requests, done, not_run,
                requests - done - not_run,
                it["goodput_per_second"].get<double>(),
                it["latency_ms"]["p50"].get<double>(),
                it["latency_ms"]["p99"].get<double>(),
                it["latency_ms"]["worst"].get<double>());
  }
  for (const auto& [kind, count] : summary["forbidden"].items()) {
    std::printf("%s: %d\n", kind.c_str(), count.get<int>());
  }
  std::printf("overruns: %d\n", summary["overruns"].get<int>());
  for (const auto& it : summary["examples"]) {
    std::printf("  %s\n", it.get<std::string>().c_str());
  }
}

int Run(const Options& options) {
  const auto records = RunLoad(options.load);
  const auto executions = ReadExecutions(
      options.minions, std::chrono::milliseconds(options.settle_ms));
  if (!executions) {
    std::fprintf(stderr, "load: %s\n", ToString(executions.error()).c_str());
    return 2;
  }
  const Oracle oracle(records, *executions,
                      {options.stopped.begin(), options.stopped.end()});
  const nlohmann::json summary = {
      {"queues", Summarize(options.load.queues, records,
                           std::chrono::seconds(options.duration_s))},
      {"forbidden", oracle.forbidden()},
      {"examples", oracle.examples()},
      {"overruns", executions->overruns},
      {"most_running", executions->max_running}};
  PrintText(summary);
  if (!options.json_file.empty()) {
    std::ofstream(options.json_file) << summary.dump(2) << '\n';
  }
  return oracle.ok() ? 0 : 1;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app(
      "Sends requests like callers do and compares the reported outcomes with "
      "what the minions executed; exit status 1 if a forbidden count is above "
      "0");
  app.add_option("--node", options.load.targets,
                 "ip:port of a node's caller port; or of a minion, with "
                 "--direct")
      ->required();
  app.add_option("--minion", options.minions, "ip:port of a minion")
      ->required();
  app.add_option(
         "--queue", options.queues,
         "NAME:rate=50,run-ms=20,non-idempotent=0.5,keys=0.3,callers=64")
      ->required();
  app.add_option("--duration-s", options.duration_s)
      ->check(CLI::Range(1, 3600));
  app.add_option("--seed", options.load.seed);
  app.add_option("--run-name", options.load.run_name, "prefix of all test ids");
  app.add_option("--timeout-ms", options.timeout_ms,
                 "longest duration of an attempt")
      ->check(CLI::Range(1, 600'000));
  app.add_option("--attempts", options.load.caller.max_attempts)
      ->check(CLI::Range(1, 10));
  app.add_option("--settle-ms", options.settle_ms,
                 "wait for running requests before counting executions")
      ->check(CLI::Range(0, 60'000));
  app.add_option("--stopped", options.stopped,
                 "ip:port of a node that is killed in this run, so that its "
                 "responses may be lost or cut");
  app.add_option("--json", options.json_file, "file for the summary");
  app.add_flag("--direct", options.load.caller.direct,
               "talk to minions directly, without a node");
  CLI11_PARSE(app, argc, argv);

  options.load.duration = std::chrono::seconds(options.duration_s);
  options.load.caller.timeout = std::chrono::milliseconds(options.timeout_ms);
  for (const auto& it : options.queues) {
    auto queue = ParseQueueLoad(it);
    if (!queue) {
      std::fprintf(stderr, "load: %s\n", ToString(queue.error()).c_str());
      return 2;
    }
    options.load.queues.push_back(*std::move(queue));
  }
  return Run(options);
}

}  // namespace
}  // namespace baobab::load

int main(int argc, char** argv) {
  return baobab::load::Main(argc, argv);
}
