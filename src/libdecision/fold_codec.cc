#include "libdecision/fold_codec.h"

#include <nlohmann/json.hpp>

namespace baobab {
namespace {

using nlohmann::json;

// Version of the snapshot text; other versions are refused.
constexpr int kFoldFormatVersion = 1;

json FromChange(const CellChange& it) {
  return {it.cell.sheet, it.cell.row, it.cell.column, it.old_value,
          it.new_value};
}

CellRef ToCell(const json& it) {
  return {it.at(0), it.at(1), it.at(2)};
}

json FromHistory(const std::vector<HistoryEntry>& history) {
  json out = json::array();
  for (const auto& it : history) {
    json changes = json::array();
    for (const auto& change : it.changes) {
      changes.push_back(FromChange(change));
    }
    out.push_back({it.version.value(), it.author, changes, it.edited_wall_ms,
                   it.in_force_wall_ms});
  }
  return out;
}

std::vector<HistoryEntry> ToHistory(const json& in) {
  std::vector<HistoryEntry> history;
  for (const auto& it : in) {
    HistoryEntry entry{
        TableVersion(it.at(0)), it.at(1), {}, it.at(3), it.at(4)};
    for (const auto& change : it.at(2)) {
      entry.changes.push_back({ToCell(change), change.at(3), change.at(4)});
    }
    history.push_back(std::move(entry));
  }
  return history;
}

// Groups the cells by version, since one edit may write thousands of cells.
json FromAuthors(const std::map<CellRef, CellAuthor>& authors) {
  std::map<std::uint64_t, json> groups;
  for (const auto& [cell, it] : authors) {
    auto& group = groups[it.version.value()];
    if (group.is_null()) {
      group = {it.version.value(), it.author, json::array()};
    }
    group[2].push_back({cell.sheet, cell.row, cell.column});
  }
  json out = json::array();
  for (auto& [version, group] : groups) {
    out.push_back(std::move(group));
  }
  return out;
}

std::map<CellRef, CellAuthor> ToAuthors(const json& in) {
  std::map<CellRef, CellAuthor> authors;
  for (const auto& group : in) {
    for (const auto& cell : group.at(2)) {
      authors[ToCell(cell)] = {group.at(1), TableVersion(group.at(0))};
    }
  }
  return authors;
}

json FromEdits(const std::map<EditId, EditDecision>& edits) {
  json out = json::array();
  for (const auto& [id, it] : edits) {
    out.push_back({id.value(), it.offset.value(), static_cast<int>(it.verdict),
                   it.version.value(), it.reason});
  }
  return out;
}

Result<std::map<EditId, EditDecision>> ToEdits(const json& in) {
  std::map<EditId, EditDecision> edits;
  for (const auto& it : in) {
    const int verdict = it.at(2);
    if (verdict < 0 || verdict > static_cast<int>(EditVerdict::kFaulty)) {
      return tl::make_unexpected(
          Error{"decode fold", "",
                "unknown edit verdict " + std::to_string(verdict)});
    }
    edits[EditId(it.at(0))] = {Offset(it.at(1)),
                               static_cast<EditVerdict>(verdict),
                               TableVersion(it.at(3)), it.at(4)};
  }
  return edits;
}

json FromWriters(const std::map<NodeId, WriterState>& writers) {
  json out = json::array();
  for (const auto& [node, it] : writers) {
    out.push_back({node.value(), it.incarnation.value(), it.last.value(),
                   it.last_offset.value()});
  }
  return out;
}

std::map<NodeId, WriterState> ToWriters(const json& in) {
  std::map<NodeId, WriterState> writers;
  for (const auto& it : in) {
    writers[NodeId(it.at(0))] = {Incarnation(it.at(1)),
                                 RecordSequence(it.at(2)), Offset(it.at(3))};
  }
  return writers;
}

json FromView(const View& view) {
  json nodes = json::array();
  for (const auto& it : view.nodes) {
    nodes.push_back({it.id.value(), it.data_centre.value()});
  }
  return {{"number", view.number.value()}, {"nodes", nodes}};
}

View ToView(const json& in) {
  View view{ViewNumber(in.at("number")), {}};
  for (const auto& it : in.at("nodes")) {
    view.nodes.push_back({NodeId(it.at(0)), DataCentreId(it.at(1))});
  }
  return view;
}

Result<FoldState> ToState(const json& in) {
  if (in.at("format") != kFoldFormatVersion) {
    return tl::make_unexpected(
        Error{"decode fold", "", "unknown format " + in.at("format").dump()});
  }
  auto table = ParseTable(in.at("table").get_ref<const std::string&>());
  if (!table) {
    const auto& fault = table.error().front();
    return tl::make_unexpected(
        Error{"decode fold", fault.cell.sheet + "/" + fault.cell.row,
              "the table breaks the rule \"" + fault.rule + "\""});
  }
  auto edits = ToEdits(in.at("edits"));
  if (!edits) {
    return tl::make_unexpected(edits.error());
  }
  FoldState state;
  state.next_offset = Offset(in.at("next_offset"));
  state.table = std::move(*table);
  state.version = TableVersion(in.at("version"));
  state.in_force = TableVersion(in.at("in_force"));
  state.history = ToHistory(in.at("history"));
  state.authors = ToAuthors(in.at("authors"));
  state.edits = std::move(*edits);
  state.writers = ToWriters(in.at("writers"));
  state.view = ToView(in.at("view"));
  const json& planner = in.at("planner");
  state.planner = {Term(planner.at(0)),
                   {NodeId(planner.at(1)), Incarnation(planner.at(2))}};
  const json& snapshot = in.at("snapshot");
  state.snapshot = {Offset(snapshot.at(0)), snapshot.at(1),
                    Offset(snapshot.at(2)), snapshot.at(3), snapshot.at(4)};
  state.rejected_counts = in.at("void_counts");
  return state;
}

}  // namespace

std::string EncodeFold(const FoldState& state) {
  const auto& lease = state.planner;
  const auto& snapshot = state.snapshot;
  const json out = {
      {"format", kFoldFormatVersion},
      {"next_offset", state.next_offset.value()},
      {"table", FormatTable(state.table)},
      {"version", state.version.value()},
      {"in_force", state.in_force.value()},
      {"history", FromHistory(state.history)},
      {"authors", FromAuthors(state.authors)},
      {"edits", FromEdits(state.edits)},
      {"writers", FromWriters(state.writers)},
      {"view", FromView(state.view)},
      {"planner",
       {lease.term.value(), lease.holder.node.value(),
        lease.holder.incarnation.value()}},
      {"snapshot",
       {snapshot.covers.value(), snapshot.writing_id,
        snapshot.writing_covers.value(), snapshot.next_part, snapshot.parts}},
      {"void_counts", state.rejected_counts},
  };
  // ASCII, so that the text can be split at any byte. Names come from peers and
  // operators, so invalid UTF-8 is replaced rather than refused.
  return out.dump(-1, ' ', true, json::error_handler_t::replace);
}

Result<FoldState> DecodeFold(std::string_view text) {
  try {
    return ToState(json::parse(text));
  } catch (const json::exception& it) {
    return tl::make_unexpected(Error{"decode fold", "", it.what()});
  }
}

}  // namespace baobab
