// Parses CSV text to a table. Each line is one row: quoted text cannot span
// lines.

#include <set>
#include <utility>

#include "libtable/grid.h"

namespace baobab {
namespace {

/** Splits one CSV line into cells; returns the rule that it violates, if any.
 */
std::optional<std::string> SplitLine(std::string_view line, RowCells& cells) {
  std::size_t i = 0;
  while (true) {
    std::string cell;
    if (i < line.size() && line[i] == '"') {
      ++i;
      while (true) {
        if (i == line.size()) {
          return "quoted text: ends with a quote on the same line";
        }
        if (line[i] == '"') {
          if (i + 1 == line.size() || line[i + 1] != '"') {
            ++i;
            break;
          }
          ++i;
        }
        cell += line[i++];
      }
      if (i < line.size() && line[i] != ',') {
        return "quoted text: followed by a comma or the end of the line";
      }
    } else {
      while (i < line.size() && line[i] != ',') {
        if (line[i] == '"') {
          return "cell with a quote: quoted as a whole";
        }
        cell += line[i++];
      }
    }
    cells.push_back(std::move(cell));
    if (i == line.size()) {
      return std::nullopt;
    }
    ++i;
  }
}

/** Parses the sheets line by line and collects all faults. */
class Parser {
 public:
  tl::expected<Table, CellFaults> Parse(std::string_view text) {
    // Spreadsheet programs write a byte order mark before UTF-8 text.
    if (text.starts_with("\xEF\xBB\xBF")) {
      text.remove_prefix(3);
    }
    while (!text.empty()) {
      const auto end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
      if (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      ++line_number_;
      ParseLine(line);
    }
    FinishSheet();
    for (const auto& it : SheetSchemas()) {
      if (!seen_sheets_.contains(it.name)) {
        faults_.push_back({{std::string(it.name), "", ""},
                           "",
                           "sheet: present, even without rows"});
      }
    }
    return CheckGrid(grid_, std::move(faults_));
  }

 private:
  void ParseLine(std::string_view line) {
    if (line.empty() || line.front() == '#') {
      return;
    }
    if (line.front() == '[') {
      StartSheet(line);
    } else if (!in_sheet_) {
      AddLineFault("", line, "row: after a line with a sheet's name, [pools]");
    } else if (sheet_) {
      ParseRow(line);
    }
  }

  void StartSheet(std::string_view line) {
    FinishSheet();
    in_sheet_ = true;
    sheet_.reset();
    columns_.clear();
    if (!line.ends_with(']')) {
      AddLineFault("", line, "sheet line: [name]");
      return;
    }
    const auto name = line.substr(1, line.size() - 2);
    sheet_ = FindSheet(name);
    if (!sheet_) {
      AddLineFault(std::string(name), line,
                   "sheet: pools, teams, queues or hosts");
    } else if (!seen_sheets_.insert(CurrentSchema().name).second) {
      AddLineFault(std::string(name), line, "sheet: present once");
      sheet_.reset();
    }
  }

  void FinishSheet() {
    if (sheet_ && columns_.empty() && !header_faulty_) {
      AddLineFault(std::string(CurrentSchema().name), "",
                   "header: names all columns");
    }
    header_faulty_ = false;
  }

  void ParseRow(std::string_view line) {
    if (header_faulty_) {
      return;
    }
    RowCells cells;
    if (const auto rule = SplitLine(line, cells)) {
      AddLineFault(std::string(CurrentSchema().name), line, *rule);
      header_faulty_ = columns_.empty();
    } else if (columns_.empty()) {
      ParseHeader(cells);
    } else if (cells.size() != columns_.size()) {
      AddLineFault(std::string(CurrentSchema().name), line,
                   "cells in a row: " + std::to_string(columns_.size()) +
                       ", now " + std::to_string(cells.size()));
    } else {
      AddRow(std::move(cells));
    }
  }

  void ParseHeader(const RowCells& cells) {
    std::set<std::size_t> present_columns;
    for (const auto& it : cells) {
      const auto column = FindColumn(*sheet_, it);
      if (!column) {
        AddHeaderFault(it, "column: one of the sheet's columns");
      } else if (!present_columns.insert(*column).second) {
        AddHeaderFault(it, "column: present once");
      } else {
        columns_.push_back(*column);
      }
    }
    const auto& sheet_columns = CurrentSchema().columns;
    for (std::size_t i = 0; i < sheet_columns.size(); ++i) {
      if (!present_columns.contains(i)) {
        AddHeaderFault(std::string(sheet_columns[i]), "column: present");
      }
    }
  }

  void AddRow(RowCells cells) {
    RowCells cells_by_column(cells.size());
    for (std::size_t i = 0; i < cells.size(); ++i) {
      cells_by_column[columns_[i]] = std::move(cells[i]);
    }
    const std::string key = cells_by_column.front();
    if (!grid_.Rows(*sheet_).emplace(key, std::move(cells_by_column)).second) {
      faults_.push_back(
          {{std::string(CurrentSchema().name), key,
            std::string(CurrentSchema().columns.front())},
           key,
           "row: present once, again in line " + std::to_string(line_number_)});
    }
  }

  void AddHeaderFault(const std::string& column, std::string rule) {
    faults_.push_back({{std::string(CurrentSchema().name),
                        "line " + std::to_string(line_number_), column},
                       column,
                       std::move(rule)});
    header_faulty_ = true;
  }

  void AddLineFault(std::string sheet,
                    std::string_view line,
                    std::string rule) {
    faults_.push_back(
        {{std::move(sheet), "line " + std::to_string(line_number_), ""},
         std::string(line),
         std::move(rule)});
  }

  const SheetSchema& CurrentSchema() const {
    return SheetSchemas()[static_cast<std::size_t>(*sheet_)];
  }

  Grid grid_;
  CellFaults faults_;
  std::size_t line_number_ = 0;
  std::set<std::string_view> seen_sheets_;
  bool in_sheet_ = false;
  /** Current sheet; empty while rows of an unknown or repeated sheet are
   * skipped. */
  std::optional<Sheet> sheet_;
  /** For each column of the header its index in the schema of the sheet; empty
   * before the header. */
  std::vector<std::size_t> columns_;
  bool header_faulty_ = false;
};

}  // namespace

tl::expected<Table, CellFaults> ParseTable(std::string_view text) {
  return Parser().Parse(text);
}

}  // namespace baobab
