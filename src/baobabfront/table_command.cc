#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "baobabfront/apply_edit.h"
#include "baobabfront/commands.h"
#include "baobabfront/control_client.h"
#include "baobabfront/edit_plan.h"
#include "baobabfront/exit_code.h"
#include "baobabfront/utc_time.h"

namespace baobab {

namespace {

struct TableOptions {
  std::vector<std::string> nodes;
  std::vector<std::string> files;
  std::string base;
  std::string author;
  std::optional<std::uint64_t> version;
};

std::string CellName(const CellRef& cell) {
  return cell.sheet + "/" + cell.row + "/" + cell.column;
}

/** Reads and validates a table file; prints faults to standard error. */
std::optional<Table> ReadTable(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    PrintError({"read table", path, "cannot read the file"});
    return std::nullopt;
  }
  auto table = ParseTable(text);
  if (!table) {
    for (const auto& it : table.error()) {
      fmt::print(stderr, "{}: {}: found \"{}\", allowed {}\n", path,
                 CellName(it.cell), it.value, it.rule);
    }
    return std::nullopt;
  }
  return *std::move(table);
}

int ReportError(const Error& error, ExitCode code) {
  PrintError(error);
  return code;
}

/** Returns the current table, or an earlier version reconstructed from the
 * history of `node`. */
Result<Table> ReadTableVersion(const Address& node,
                               const TableReply& current,
                               TableVersion version) {
  if (version == current.version) {
    return current.table;
  }
  const auto history = QueryInOrder<HistoryReply>({node}, "/history");
  if (!history) {
    return tl::unexpected(history.error());
  }
  return TableAtVersion(current, history->reply, version);
}

int GetTable(const TableOptions& options) {
  const auto current =
      QueryInOrder<TableReply>(ParseNodeAddresses(options.nodes), "/table");
  if (!current) {
    return ReportError(current.error(), kExitUnclear);
  }
  const TableVersion version(
      options.version.value_or(current->reply.version.value()));
  const auto table = ReadTableVersion(current->node, current->reply, version);
  if (!table) {
    return ReportError(table.error(), kExitRefused);
  }
  fmt::print("{}", FormatTable(*table));
  fmt::print(stderr, "version {}\n", version.value());
  return kExitDone;
}

int CheckTable(const TableOptions& options) {
  const auto table = ReadTable(options.files.front());
  if (!table) {
    return kExitRefused;
  }
  fmt::print("{}: {} pools, {} teams, {} queues, {} hosts, no faults\n",
             options.files.front(), table->pools.size(), table->teams.size(),
             table->queues.size(), table->hosts.size());
  return kExitDone;
}

int DiffTable(const TableOptions& options) {
  const auto to = ReadTable(options.files.back());
  std::optional<Table> from;
  if (options.files.size() == 2) {
    from = ReadTable(options.files.front());
  } else if (options.nodes.empty()) {
    PrintError({"diff", "", "name two files, or one file and --node"});
    return kExitUsage;
  } else {
    const auto current =
        QueryInOrder<TableReply>(ParseNodeAddresses(options.nodes), "/table");
    if (!current) {
      return ReportError(current.error(), kExitUnclear);
    }
    from = current->reply.table;
  }
  if (!from || !to) {
    return kExitRefused;
  }
  for (const auto& it : DiffTables(*from, *to)) {
    fmt::print("{}\n", ToString(it));
  }
  return kExitDone;
}

/** Reads the table that the operator's edit is based on. `base` is a file name
 * or a version number; an existing file takes precedence. */
std::optional<Table> ReadBaseTable(const std::string& base,
                                   const NodeReply<TableReply>& current) {
  const bool is_version =
      !base.empty() &&
      base.find_first_not_of("0123456789") == std::string::npos &&
      base.size() < 19;
  if (!is_version || std::ifstream(base).good()) {
    return ReadTable(base);
  }
  auto table = ReadTableVersion(current.node, current.reply,
                                TableVersion(std::stoull(base)));
  if (!table) {
    PrintError(table.error());
    return std::nullopt;
  }
  return *std::move(table);
}

int ApplyTable(const TableOptions& options) {
  const auto desired = ReadTable(options.files.front());
  if (!desired) {
    return kExitRefused;
  }
  const auto nodes = ParseNodeAddresses(options.nodes);
  const auto current = QueryInOrder<TableReply>(nodes, "/table");
  if (!current) {
    return ReportError(current.error(), kExitUnclear);
  }
  const auto base = ReadBaseTable(options.base, *current);
  if (!base) {
    return kExitRefused;
  }
  EditPlan plan = PlanEdit(*base, *desired, current->reply.table);
  if (plan.already_applied > 0) {
    fmt::print("{} changed cells already have the wanted value\n",
               plan.already_applied);
  }
  if (plan.changes.empty()) {
    fmt::print("nothing to change; the table is at version {}\n",
               current->reply.version.value());
    return kExitDone;
  }
  for (const auto& it : plan.changes) {
    fmt::print("  {}\n", ToString(it));
  }
  const TableEdit edit{MakeEditId(), options.author, current->reply.version,
                       std::move(plan.changes)};
  // Text that is not valid UTF-8 would be altered by the encoding.
  if (const auto sent = DecodeEdit(EncodeEdit(edit)); !sent || *sent != edit) {
    return ReportError(
        {"make edit", "", "the author or a cell is not valid UTF-8"},
        kExitRefused);
  }
  const ApplyResult result = ApplyEdit(nodes, edit, PostEdit);
  fmt::print("{}", result.text);
  return result.code;
}

int ShowHistory(const TableOptions& options) {
  const auto history =
      QueryInOrder<HistoryReply>(ParseNodeAddresses(options.nodes), "/history");
  if (!history) {
    return ReportError(history.error(), kExitUnclear);
  }
  for (const auto& entry : history->reply.entries) {
    fmt::print("version {} by {}, edited {}, in force everywhere {}\n",
               entry.version.value(), entry.author,
               FormatUtc(entry.edited_wall_ms),
               FormatUtc(entry.in_force_wall_ms));
    for (const auto& it : entry.changes) {
      fmt::print("  {}\n", ToString(it));
    }
  }
  return kExitDone;
}

}  // namespace

void AddTableCommand(CLI::App& app, CommandAction& action) {
  auto* table = app.add_subcommand("table", "Read and edit the fleet's table.");
  table->require_subcommand(1);
  auto options = std::make_shared<TableOptions>();
  const auto run = [&action, options](int (*command)(const TableOptions&)) {
    return [&action, options, command] {
      action = [options, command] { return command(*options); };
    };
  };

  auto* get = table->add_subcommand(
      "get",
      "Print the table as CSV, and its version to standard error. Several "
      "--node are tried in turn.");
  AddNodeOption(*get, options->nodes)->required();
  get->add_option("--version-number", options->version,
                  "Print this earlier version instead; the history must still "
                  "reach back to it");
  get->callback(run(GetTable));

  auto* check = table->add_subcommand(
      "check", "Print all faults of a table file. Needs no node.");
  check->add_option("FILE", options->files, "CSV file")
      ->required()
      ->expected(1);
  check->callback(run(CheckTable));

  auto* diff = table->add_subcommand(
      "diff",
      "Print the cells that differ between two files, or between the fleet's "
      "table and a file. Exit code 0 also if there are differences.");
  diff->add_option("FILES", options->files, "FROM TO, or TO with --node")
      ->required()
      ->expected(1, 2);
  AddNodeOption(*diff, options->nodes);
  diff->callback(run(DiffTable));

  auto* apply = table->add_subcommand(
      "apply",
      "Submit the changes between a base and a file, and wait up to 14 s until "
      "they are in force on all nodes. Edits of other cells by other operators "
      "stay; an edit of the same cell is a conflict and changes nothing. "
      "Several --node are tried in turn with the same edit.");
  apply->add_option("FILE", options->files, "CSV file with the wanted table")
      ->required()
      ->expected(1);
  apply
      ->add_option("--base", options->base,
                   "What you started from: the file as `table get` printed it, "
                   "or its version number")
      ->required();
  apply->add_option("--author", options->author, "Your name, for the history")
      ->required();
  AddNodeOption(*apply, options->nodes)->required();
  apply->callback(run(ApplyTable));

  auto* history = table->add_subcommand(
      "history",
      "Print recent edits with author, time (UTC) and cells. Snapshots drop "
      "the oldest. Several --node are tried in turn.");
  AddNodeOption(*history, options->nodes)->required();
  history->callback(run(ShowHistory));
}

}  // namespace baobab
