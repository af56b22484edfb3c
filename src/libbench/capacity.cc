#include "libbench/capacity.h"

#include <malloc.h>

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "libbench/control_plane.h"
#include "libbench/thread_time.h"
#include "libdecision/fold_codec.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr Duration kElectionTime = std::chrono::seconds(40);
constexpr Duration kSettleTime = std::chrono::seconds(30);

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

std::vector<NodeUsage> Usages(const ControlPlane& plane) {
  std::vector<NodeUsage> usages;
  for (int n = 0; n < plane.size(); ++n) {
    usages.push_back(plane.usage(n));
  }
  return usages;
}

/** Runs the control plane for the measured time, with requests arriving at the
 * first node if the case has any. */
void RunMeasuredTime(ControlPlane& plane, const CapacityCase& load) {
  if (load.first_node_requests_per_second == 0) {
    plane.Run(load.measured_time);
    return;
  }
  const Duration gap =
      Duration(std::chrono::seconds(1)) / load.first_node_requests_per_second;
  const Time end = plane.now() + load.measured_time;
  Time next = plane.now();
  for (std::uint64_t id = 1; plane.now() < end;) {
    for (; next <= plane.now(); next += gap, ++id) {
      plane.Post(0,
                 RequestArrived{RequestId(id),
                                QueueId(fmt::format("q{}", id % load.services)),
                                false, "", Bytes(100)});
    }
    plane.Run(std::chrono::milliseconds(1));
  }
}

}  // namespace

CapacityResult MeasureCapacity(const CapacityCase& load) {
  const double heap = HeapBytes();
  ControlPlaneOptions options;
  options.data_centres = load.data_centres;
  options.nodes_per_data_centre = load.nodes_per_data_centre;
  options.services = load.services;
  options.minions = load.minions;
  ControlPlane plane(options);
  plane.Run(kElectionTime);
  plane.SubmitTable(0, CommandId(1),
                    MakeBenchTable(load.services, load.queues, load.teams,
                                   load.pools, load.hosts));
  plane.Run(kSettleTime);
  plane.ClearEffects();

  CapacityResult result;
  const double nodes = plane.size();
  // Includes the messages in transit, a few per node.
  result.memory = (HeapBytes() - heap) / nodes;
  const std::vector<NodeUsage> before = Usages(plane);
  const std::size_t appends = plane.appends();
  for (int n = 0; n < load.leaving_minions; ++n) {
    plane.SignalLeaving(MinionId(fmt::format("m{}", n)));
  }
  RunMeasuredTime(plane, load);
  const double seconds =
      std::chrono::duration<double>(load.measured_time).count();
  const std::vector<NodeUsage> after = Usages(plane);
  for (std::size_t n = 0; n < after.size(); ++n) {
    const double bytes_per_second =
        static_cast<double>((after[n].sent - before[n].sent).value()) / seconds;
    const double core_share =
        std::chrono::duration<double>(after[n].processor_time -
                                      before[n].processor_time)
            .count() /
        seconds;
    result.messages +=
        static_cast<double>(after[n].messages - before[n].messages) / seconds /
        nodes;
    result.bytes_per_second += bytes_per_second / nodes;
    result.max_bytes_per_second =
        std::max(result.max_bytes_per_second, bytes_per_second);
    result.core_share += core_share / nodes;
    result.max_core_share = std::max(result.max_core_share, core_share);
  }
  result.appends = static_cast<double>(plane.appends() - appends) / seconds;
  return result;
}

FoldCost MeasureFold(int hosts, int edits) {
  const Table table = MakeBenchTable(10, 86, 43, 36, hosts);
  std::vector<std::string> records;
  std::uint64_t sequence = 0;
  const auto add = [&](std::vector<CellChange> changes) {
    Record record;
    record.writer = {NodeId("n0"), Incarnation(1)};
    record.sequence = RecordSequence(++sequence);
    TableEdit edit;
    edit.id = EditId(fmt::format("e{}", sequence));
    edit.author = "bench";
    edit.changes = std::move(changes);
    record.body = std::move(edit);
    records.push_back(EncodeRecord(record));
  };
  add(DiffTables(Table{}, table));
  for (int n = 0; n < edits; ++n) {
    add({{{"queues", "q0", "weight"},
          std::to_string(1 + n % 100),
          std::to_string(1 + (n + 1) % 100)}});
  }

  FoldCost cost;
  LogFold fold;
  const auto started = ThreadCpuTime();
  std::chrono::nanoseconds first{0};
  for (std::size_t n = 0; n < records.size(); ++n) {
    fold.Apply({Offset(n), DecodeRecord(records[n])});
    if (n == 0) {
      first = ThreadCpuTime() - started;
    }
  }
  const auto total = ThreadCpuTime() - started;
  cost.cold_start_ms = std::chrono::duration<double, std::milli>(total).count();
  cost.microseconds_per_edit =
      std::chrono::duration<double, std::micro>(total - first).count() / edits;
  cost.snapshot_bytes = static_cast<double>(EncodeFold(fold.state()).size());
  return cost;
}

}  // namespace baobab
