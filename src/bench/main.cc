#include <fmt/format.h>
#include <CLI/CLI.hpp>

#include "libbench/flood.h"

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

void PrintFloods(std::uint64_t seed, int seconds, double most_factor) {
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
    for (const double factor : {1.0, 5.0, 20.0, 100.0}) {
      for (const bool even : {true, false}) {
        for (const PolicyName& it : kPolicies) {
          if (factor > most_factor) {
            continue;
          }
          FloodCase flood;
          flood.policy = it.policy;
          flood.urgent_floods = urgent;
          flood.factor = factor;
          flood.even = even;
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
              it.name, urgent ? "urgent" : "batch", factor,
              even ? "even" : "uneven", 100 * result.WorstOtherGoodput(),
              100 * flooded, Milliseconds(result.UrgentP99()),
              Milliseconds(result.UrgentWorst()), refused, result.overruns,
              result.backlog_peak.value(), result.messages, result.violations);
          std::fflush(stdout);
        }
      }
    }
  }
}

}  // namespace
}  // namespace baobab

int main(int argc, char** argv) {
  CLI::App app("Measurements of baobabfront");
  app.require_subcommand(1);
  std::uint64_t seed = 7;
  int seconds = 20;
  double factor = 100;
  CLI::App* flood = app.add_subcommand(
      "flood", "One queue floods a simulated fleet; compares policies");
  flood->add_option("--seed", seed, "Seed of arrivals and slot times");
  flood->add_option("--seconds", seconds, "Length of the flood")
      ->check(CLI::Range(1, 600));
  flood->add_option("--factor", factor, "Highest factor to run")
      ->check(CLI::Range(1, 100));
  CLI11_PARSE(app, argc, argv);
  if (flood->parsed()) {
    baobab::PrintFloods(seed, seconds, factor);
  }
  return 0;
}
