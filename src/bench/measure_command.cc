#include "bench/measure_command.h"

#include <cmath>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "libbench/bench.h"

namespace baobab {

namespace {

struct Point {
  double size = 0;
  double value = 0;
};

/** Fits value = base + slope * size by least squares and formats the result. */
std::string LinearFit(const std::vector<Point>& points) {
  double size = 0;
  double value = 0;
  for (const Point& it : points) {
    size += it.size / static_cast<double>(points.size());
    value += it.value / static_cast<double>(points.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& it : points) {
    covariance += (it.size - size) * (it.value - value);
    variance += (it.size - size) * (it.size - size);
  }
  const double slope = covariance / variance;
  const double base = value - slope * size;
  double residual = 0;
  for (const Point& it : points) {
    residual = std::max(residual, std::abs(it.value - base - slope * it.size));
  }
  return fmt::format("{:.4g} + {:.4g} n, largest residual {:.3g}", base, slope,
                     residual);
}

/** Measures the cases of one varied size and prints the results and linear fits
 * of bytes, CPU share and memory. */
void PrintSlope(const std::string& name,
                const std::vector<std::pair<int, CapacityCase>>& cases) {
  std::vector<Point> bytes_per_second;
  std::vector<Point> core_share;
  std::vector<Point> memory;
  for (const auto& [size, load] : cases) {
    const CapacityResult result = MeasureCapacity(load);
    fmt::print(
        "{:10} {:5} {:8.2f} {:9.0f} {:9.0f} {:8.3f} {:8.3f} {:9.1f} {:8.2f}\n",
        name, size, result.messages, result.bytes_per_second,
        result.max_bytes_per_second, 100 * result.core_share,
        100 * result.max_core_share, result.memory / 1024, result.appends);
    std::fflush(stdout);
    bytes_per_second.push_back(
        {static_cast<double>(size), result.bytes_per_second});
    core_share.push_back({static_cast<double>(size), 100 * result.core_share});
    memory.push_back({static_cast<double>(size), result.memory / 1024});
  }
  fmt::print("  bytes/s = {}\n  core % = {}\n  KB = {}\n",
             LinearFit(bytes_per_second), LinearFit(core_share),
             LinearFit(memory));
}

/** Copies `base` once for each size and lets `change` set that size. */
template <typename Change>
std::vector<std::pair<int, CapacityCase>> MakeCases(
    const std::vector<int>& sizes,
    const CapacityCase& base,
    const Change& change) {
  std::vector<std::pair<int, CapacityCase>> cases;
  for (const int size : sizes) {
    CapacityCase load = base;
    change(load, size);
    cases.emplace_back(size, load);
  }
  return cases;
}

/** The target size of the fleet. */
CapacityCase TargetFleet() {
  CapacityCase target;
  target.data_centres = 9;
  target.nodes_per_data_centre = 9;
  target.services = 36;
  target.minions = 820;
  target.queues = 86;
  target.teams = 43;
  target.pools = 36;
  target.hosts = 820;
  target.measured_time = std::chrono::seconds(20);
  return target;
}

void PrintFoldCosts() {
  fmt::print(
      "\nfold: table edits in one node\n{:>6} {:>6} {:>10} {:>12} {:>14}\n",
      "hosts", "edits", "us/edit", "snapshot B", "cold start ms");
  for (const int hosts : {50, 200, 400, 820}) {
    for (const int edits : {100, 300, 1000, 3000}) {
      const FoldCost cost = MeasureFold(hosts, edits);
      fmt::print("{:6} {:6} {:10.1f} {:12.0f} {:14.1f}\n", hosts, edits,
                 cost.microseconds_per_edit, cost.snapshot_bytes,
                 cost.cold_start_ms);
      std::fflush(stdout);
    }
  }
}

}  // namespace

void PrintCapacity() {
  fmt::print(
      "capacity: reducers on a paused clock; 9 nodes, 50 minions, 10 queues "
      "unless varied; no random numbers\n");
  fmt::print("{:10} {:>5} {:>8} {:>9} {:>9} {:>8} {:>8} {:>9} {:>8}\n",
             "varied", "size", "msg/s", "B/s", "B/s most", "core %", "most %",
             "KB state", "append/s");
  const CapacityCase base;
  // Nine nodes per data centre, as in the target fleet.
  PrintSlope("nodes", MakeCases({3, 9, 27, 81}, base, [](auto& load, int size) {
               load.data_centres = size >= 9 ? size / 9 : 1;
               load.nodes_per_data_centre = size >= 9 ? 9 : size;
             }));
  PrintSlope("minions",
             MakeCases({50, 100, 200, 400, 820}, base,
                       [](auto& load, int size) { load.minions = size; }));
  PrintSlope("queues",
             MakeCases({10, 40, 100, 400}, base,
                       [](auto& load, int size) { load.queues = size; }));
  PrintSlope("hosts",
             MakeCases({50, 100, 200, 400, 820}, base,
                       [](auto& load, int size) { load.hosts = size; }));
  PrintSlope("uneven/s",
             MakeCases({50, 200, 500, 1000}, base, [](auto& load, int size) {
               load.first_node_requests_per_second = size;
             }));
  PrintSlope("leaving",
             MakeCases({2, 5, 10, 20}, base, [](auto& load, int size) {
               load.leaving_minions = size;
             }));
  PrintSlope("target",
             MakeCases({1, 2}, TargetFleet(), [](auto& load, int size) {
               // In the second case, a rack of four minions leaves.
               load.leaving_minions = size == 1 ? 0 : 4;
             }));
  PrintFoldCosts();
}

}  // namespace baobab
