#include "baobabfront/status_text.h"

#include <iterator>

#include <fmt/format.h>

namespace baobab {

namespace {

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

std::string FormatSilence(Duration silent) {
  if (silent < Duration(0)) {
    return "never heard";
  }
  return fmt::format("{:.1f}", Milliseconds(silent) / 1000);
}

}  // namespace

std::string FormatStatus(const StatusReport& report) {
  std::string text;
  auto out = std::back_inserter(text);
  fmt::format_to(out, "node {} ({}): {}, log {}\n", report.node.value(),
                 report.incarnation.value(),
                 report.ready ? "ready" : "NOT READY",
                 report.log_fresh ? "fresh" : "STALE");
  fmt::format_to(
      out,
      "  table version {}, log offset {}, view {}, planner {} "
      "(term {})\n",
      report.version.value(), report.next_offset.value(), report.view.value(),
      report.planner.value().empty() ? "none" : report.planner.value(),
      report.term.value());
  if (report.invariant_violations > 0 || report.rejected_records > 0) {
    fmt::format_to(out, "  {} invariant violations, {} void records\n",
                   report.invariant_violations, report.rejected_records);
  }
  if (!report.queues.empty()) {
    fmt::format_to(out,
                   "  {:<20} {:>8} {:>9} {:>9} {:>8} {:>8}  start after ms: "
                   "{:>8} {:>8} {:>8}\n",
                   "queue", "waiting", "in flight", "done", "not run",
                   "unknown", "p50", "p99", "worst");
  }
  for (const auto& it : report.queues) {
    fmt::format_to(out,
                   "  {:<20} {:>8} {:>9} {:>9} {:>8} {:>8}  {:>15} {:>8.1f} "
                   "{:>8.1f} {:>8.1f}\n",
                   it.queue.value(), it.waiting, it.in_flight, it.done,
                   it.not_run, it.unknown, "", Milliseconds(it.start_p50),
                   Milliseconds(it.start_p99), Milliseconds(it.start_worst));
  }
  if (!report.minions.empty()) {
    fmt::format_to(out, "  {:<20} {:<16} {:<8} {:>11} {:>12}\n", "minion",
                   "service", "state", "slots owned", "slots in use");
  }
  for (const auto& it : report.minions) {
    fmt::format_to(out, "  {:<20} {:<16} {:<8} {:>11} {:>12}\n",
                   it.minion.value(), it.service.value(), it.state,
                   it.owned.value(), it.in_use.value());
  }
  if (!report.peers.empty()) {
    fmt::format_to(out, "  {:<20} {:<8} {:>14} {:>14}\n", "peer", "in view",
                   "silent for s", "table version");
  }
  for (const auto& it : report.peers) {
    fmt::format_to(out, "  {:<20} {:<8} {:>14} {:>14}\n", it.node.value(),
                   it.in_view ? "yes" : "no", FormatSilence(it.silent),
                   it.version.value());
  }
  return text;
}

}  // namespace baobab
