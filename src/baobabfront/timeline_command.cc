#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "baobabfront/commands.h"
#include "baobabfront/control_client.h"
#include "baobabfront/exit_code.h"
#include "baobabfront/timeline_merge.h"
#include "baobabfront/utc_time.h"

namespace baobab {

namespace {

struct TimelineOptions {
  std::vector<std::string> files;
  TimelineFilter filter;
};

int ShowTimeline(const TimelineOptions& options) {
  std::vector<TimelineLine> lines;
  int code = kExitDone;
  for (const auto& path : options.files) {
    std::ifstream stream(path);
    TimelineFile file = ReadTimeline(stream);
    if (!stream.eof()) {
      PrintError({"read time line", path, "cannot read the file"});
      code = kExitRefused;
      continue;
    }
    if (file.malformed > 0) {
      PrintError({"read time line", path,
                  std::to_string(file.malformed) + " lines are no entries"});
      code = kExitRefused;
    }
    lines.insert(lines.end(), std::make_move_iterator(file.lines.begin()),
                 std::make_move_iterator(file.lines.end()));
  }
  for (const auto& it :
       FilterTimeline(MergeTimelines(std::move(lines)), options.filter)) {
    fmt::print("{} {:>8} {:<12} {:<22} {}{}{}\n", FormatUtc(it.wall_ms),
               it.clock, it.node.value(), it.entry.kind, it.entry.subject,
               it.entry.cause.empty() ? "" : " because of " + it.entry.cause,
               it.entry.detail.empty() ? "" : ": " + it.entry.detail);
  }
  return code;
}

}  // namespace

void AddTimelineCommand(CLI::App& app, CommandAction& action) {
  auto* timeline = app.add_subcommand(
      "timeline",
      "Merge time line files of nodes in causal order and print wall time "
      "(UTC), logical clock, node, kind, subject, cause and detail. The "
      "entries that led to a matching entry are printed too. Exit code 1 if a "
      "file or a line of it cannot be read; the rest is printed.");
  auto options = std::make_shared<TimelineOptions>();
  timeline->add_option("FILES", options->files, "Files named by timeline_path")
      ->required();
  timeline->add_option(
      "--subject", options->filter.subject,
      "What it is about: request/7, minion/m3, queue/booking, view/4, or "
      "request/ for all requests");
  timeline->add_option("--host", options->filter.host,
                       "Entries about this host or caused by it");
  timeline->add_option("--table-version", options->filter.table_version,
                       "Entries about this table version or caused by it");
  timeline->add_option("--kind", options->filter.kind,
                       "Such as request-refused, view-changed, minion-out");
  timeline->add_option("--node-id", options->filter.node,
                       "Entries written by this node");
  timeline->callback([&action, options] {
    action = [options] { return ShowTimeline(*options); };
  });
}

}  // namespace baobab
