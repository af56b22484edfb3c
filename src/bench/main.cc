#include <fmt/format.h>
#include <cmath>

#include <CLI/CLI.hpp>

#include "bench/measure_command.h"
#include "libbench/bench.h"

namespace baobab {
namespace {

struct PolicyName {
  FloodPolicy policy;
  const char* name;
};
constexpr PolicyName kPolicies[] = {
    {FloodPolicy::kFair, "fair"},
    {FloodPolicy::kFifo, "fifo"},
    {FloodPolicy::kStrictPriority, "priority"},
};

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void PrintFloods(std::uint64_t seed, int seconds, double max_factor) {
  fmt::print(
      "flood: 9 nodes, 50 minions x 8 slots, 5 services, seed {}, {} s "
      "of flood\n",
      seed, seconds);
  fmt::print(
      "{:8} {:6} {:>5} {:8} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9} {:>9} "
      "{:>8} {:>5}\n",
      "policy", "flood", "times", "spread", "other good", "flood good",
      "urg p99", "urg worst", "urg ref", "overruns", "backlog", "msg/s",
      "viol");
  for (const bool urgent : {false, true}) {
    for (const double flood_factor : {1.0, 5.0, 20.0, 100.0}) {
      for (const bool even_spread : {true, false}) {
        for (const PolicyName& it : kPolicies) {
          if (flood_factor > max_factor) {
            continue;
          }
          FloodCase flood;
          flood.policy = it.policy;
          flood.flood_urgent_queue = urgent;
          flood.flood_factor = flood_factor;
          flood.even_spread = even_spread;
          flood.seed = seed;
          flood.length = std::chrono::seconds(seconds);
          const FloodResult result = RunFlood(flood);
          double flooded = 0;
          std::int64_t refused = 0;
          for (const FloodQueueResult& queue : result.queues) {
            if (queue.flooded) {
              flooded = queue.Goodput();
            } else if (queue.urgency == Urgency::kUrgent) {
              refused += queue.refused;
            }
          }
          fmt::print(
              "{:8} {:6} {:5} {:8} {:9.1f}% {:9.1f}% {:7.0f}ms {:7.0f}ms "
              "{:9} {:9} {:9} {:8.1f} {:5}\n",
              it.name, urgent ? "urgent" : "batch", flood_factor,
              even_spread ? "even" : "uneven",
              100 * result.WorstUnfloodedGoodput(), 100 * flooded,
              Milliseconds(result.UrgentStartP99()),
              Milliseconds(result.WorstUrgentStart()), refused, result.overruns,
              result.backlog_peak.value(), result.messages, result.violations);
          std::fflush(stdout);
        }
      }
    }
  }
}

/** Measures decisions for each of `sizes` of one member, while the others keep
 * their defaults. `what` labels the rows. */
void PrintDecisions(const char* what,
                    const std::vector<int>& sizes,
                    int DecisionCase::*member,
                    std::int64_t requests,
                    std::uint64_t seed) {
  double first = 0;
  for (const int size : sizes) {
    DecisionCase load;
    load.*member = size;
    load.requests = requests;
    load.seed = seed;
    const DecisionResult result = MeasureDecisions(load);
    const double cost = 1 / result.OperationsPerSecond();
    if (first == 0) {
      first = cost;
    }
    // Exponent of the growth: 1 is linear, below 1 sublinear.
    const double slope =
        size == sizes.front()
            ? 0
            : std::log(cost / first) /
                  std::log(static_cast<double>(size) / sizes.front());
    fmt::print("{:8} {:6} {:10} {:12.0f} {:10.2f} {:8.2f} {:10.2f}\n", what,
               size, result.owned_slots, result.OperationsPerSecond(),
               cost * 1e6, slope, result.set_view_seconds * 1e3);
    std::fflush(stdout);
  }
}

void PrintAllDecisions(std::int64_t requests, std::uint64_t seed) {
  fmt::print(
      "decisions: one node, 10 queues, 50 minions, 9 nodes unless "
      "varied; seed {}, {} requests\n",
      seed, requests);
  fmt::print("{:8} {:>6} {:>10} {:>12} {:>10} {:>8} {:>10}\n", "varied", "size",
             "own slots", "ops/cpu s", "us/op", "slope", "view ms");
  PrintDecisions("queues", {5, 10, 25, 50, 100, 200, 400},
                 &DecisionCase::queues, requests, seed);
  PrintDecisions("minions", {50, 100, 200, 400, 820}, &DecisionCase::minions,
                 requests, seed);
  PrintDecisions("nodes", {3, 9, 27, 81}, &DecisionCase::nodes, requests, seed);
}

}  // namespace
}  // namespace baobab

int main(int argc, char** argv) {
  CLI::App app("Benchmarks of baobabfront");
  app.require_subcommand(1);
  std::uint64_t seed = 7;
  int seconds = 20;
  double flood_factor = 100;
  CLI::App* flood = app.add_subcommand(
      "flood",
      "Compare scheduling policies while one queue floods a simulated fleet");
  flood->add_option("--seed", seed, "Seed of arrivals and slot times");
  flood->add_option("--seconds", seconds, "Duration of the flood")
      ->check(CLI::Range(1, 600));
  flood
      ->add_option("--factor", flood_factor,
                   "Highest multiple of the mean demand to run")
      ->check(CLI::Range(1, 100));
  std::int64_t requests = 50'000;
  CLI::App* decisions = app.add_subcommand(
      "decisions", "Scheduler operations per second of thread CPU time");
  decisions->add_option("--seed", seed, "Seed of the arrivals");
  decisions->add_option("--requests", requests, "Requests per size")
      ->check(CLI::Range(1, 10'000'000));
  CLI::App* measure = app.add_subcommand(
      "measure", "Control traffic, CPU time and memory by fleet size");
  CLI11_PARSE(app, argc, argv);
  if (flood->parsed()) {
    baobab::PrintFloods(seed, seconds, flood_factor);
  }
  if (decisions->parsed()) {
    baobab::PrintAllDecisions(requests, seed);
  }
  if (measure->parsed()) {
    baobab::PrintCapacity();
  }
  return 0;
}
