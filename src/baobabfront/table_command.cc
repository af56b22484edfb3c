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

std::string Shown(const CellRef& cell) {
  return cell.sheet + "/" + cell.row + "/" + cell.column;
}

/** Reads and checks a table file; faults go to standard error. */
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
                 Shown(it.cell), it.value, it.rule);
    }
    return std::nullopt;
  }
  return *std::move(table);
}

int Fail(const Error& error, ExitCode code) {
  PrintError(error);
  return code;
}

/** The present table, or that of an earlier version. */
Result<Table> ReadVersion(const Address& node,
                          const TableReply& present,
                          TableVersion version) {
  if (version == present.version) {
    return present.table;
  }
  const auto history = AskInTurn<HistoryReply>({node}, "/history");
  if (!history) {
    return tl::unexpected(history.error());
  }
  return TableAt(present, history->reply, version);
}

int GetTable(const TableOptions& options) {
  const auto present =
      AskInTurn<TableReply>(ParseNodes(options.nodes), "/table");
  if (!present) {
    return Fail(present.error(), kExitUnclear);
  }
  const TableVersion version(
      options.version.value_or(present->reply.version.value()));
  const auto table = ReadVersion(present->node, present->reply, version);
  if (!table) {
    return Fail(table.error(), kExitRefused);
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
    const auto present =
        AskInTurn<TableReply>(ParseNodes(options.nodes), "/table");
    if (!present) {
      return Fail(present.error(), kExitUnclear);
    }
    from = present->reply.table;
  }
  if (!from || !to) {
    return kExitRefused;
  }
  for (const auto& it : DiffTables(*from, *to)) {
    fmt::print("{}\n", ToString(it));
  }
  return kExitDone;
}

/** The table that the operator started from: a file, or a version. */
std::optional<Table> ReadBase(const std::string& base,
                              const NodeReply<TableReply>& present) {
  const bool is_version =
      !base.empty() &&
      base.find_first_not_of("0123456789") == std::string::npos &&
      base.size() < 19;
  if (!is_version || std::ifstream(base).good()) {
    return ReadTable(base);
  }
  auto table =
      ReadVersion(present.node, present.reply, TableVersion(std::stoull(base)));
  if (!table) {
    PrintError(table.error());
    return std::nullopt;
  }
  return *std::move(table);
}

int ApplyTable(const TableOptions& options) {
  const auto wanted = ReadTable(options.files.front());
  if (!wanted) {
    return kExitRefused;
  }
  const auto nodes = ParseNodes(options.nodes);
  const auto present = AskInTurn<TableReply>(nodes, "/table");
  if (!present) {
    return Fail(present.error(), kExitUnclear);
  }
  const auto base = ReadBase(options.base, *present);
  if (!base) {
    return kExitRefused;
  }
  EditPlan plan = PlanEdit(*base, *wanted, present->reply.table);
  if (plan.already > 0) {
    fmt::print("{} changed cells already have the wanted value\n",
               plan.already);
  }
  if (plan.changes.empty()) {
    fmt::print("nothing to change; the table is at version {}\n",
               present->reply.version.value());
    return kExitDone;
  }
  for (const auto& it : plan.changes) {
    fmt::print("  {}\n", ToString(it));
  }
  const TableEdit edit{MakeEditId(), options.author, present->reply.version,
                       std::move(plan.changes)};
  // Text that is not UTF-8 would reach the log in another form.
  if (const auto sent = DecodeEdit(EncodeEdit(edit)); !sent || *sent != edit) {
    return Fail({"make edit", "", "the author or a cell is not valid UTF-8"},
                kExitRefused);
  }
  const ApplyResult result = ApplyEdit(nodes, edit, PostEdit);
  fmt::print("{}", result.text);
  return result.code;
}

int ShowHistory(const TableOptions& options) {
  const auto history =
      AskInTurn<HistoryReply>(ParseNodes(options.nodes), "/history");
  if (!history) {
    return Fail(history.error(), kExitUnclear);
  }
  for (const auto& entry : history->reply.entries) {
    fmt::print("version {} by {}, edited {}, in force everywhere {}\n",
               entry.version.value(), entry.author,
               UtcText(entry.edited_wall_ms), UtcText(entry.in_force_wall_ms));
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
