#include "libsettings/ini_file.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

namespace baobab {

namespace {

/** Each faulty line costs another parse, and a file with more of them is
 * probably not a settings file. */
constexpr std::size_t kMaxReportedFaultyLines = 50;
constexpr std::size_t kMaxFileBytes = 1 << 20;

/** Passes lines to inih and tracks the current line number, which inih does not
 * pass to its handler. */
class InihLineSource {
 public:
  InihLineSource(const std::vector<std::string>& lines, IniFile& file)
      : lines_(lines), file_(file) {}

  /** Number of the current line, from 1. */
  int line() const { return static_cast<int>(next_); }
  /** Longest line that fits into the buffer of inih. */
  int max_line_bytes() const { return max_line_bytes_; }

  /** Reader for ini_parse_stream(); `source` is an InihLineSource. */
  static char* ReadCallback(char* buf, int size, void* source) {
    return static_cast<InihLineSource*>(source)->ReadLine(buf, size);
  }

  /** Handler for ini_parse_stream(); `source` is an InihLineSource. */
  static int AddEntry(void* source,
                      const char* section,
                      const char* name,
                      const char* value) {
    auto& it = *static_cast<InihLineSource*>(source);
    it.file_.entries.push_back({section, name, value, it.line()});
    return 1;
  }

 private:
  char* ReadLine(char* buf, int size) {
    if (next_ == lines_.size()) {
      return nullptr;
    }
    // inih would parse a line that does not fit into its buffer as two lines,
    // so it gets an invalid line instead.
    max_line_bytes_ = size - 2;
    std::string text = lines_[next_++];
    if (text.size() > static_cast<std::size_t>(max_line_bytes_)) {
      text = "longer than the buffer";
    }
    text += '\n';
    std::memcpy(buf, text.c_str(), text.size() + 1);
    return buf;
  }

  const std::vector<std::string>& lines_;
  IniFile& file_;
  std::size_t next_ = 0;
  int max_line_bytes_ = 0;
};

std::vector<IniSection> FindSections(const std::vector<std::string>& lines) {
  std::vector<IniSection> sections;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const auto open = lines[n].find_first_not_of(" \t");
    const auto close = lines[n].find(']');
    if (open != std::string::npos && lines[n][open] == '[' &&
        close != std::string::npos) {
      sections.push_back({lines[n].substr(open + 1, close - open - 1),
                          static_cast<int>(n) + 1});
    }
  }
  return sections;
}

/** Parses the lines and sets max_line_bytes. Returns the number of the first
 * faulty line, or 0 if there is none. */
int ParseLines(const std::vector<std::string>& lines,
               IniFile& file,
               int& max_line_bytes) {
  file.entries.clear();
  InihLineSource source(lines, file);
  const int faulty_line = ini_parse_stream(
      InihLineSource::ReadCallback, &source, InihLineSource::AddEntry, &source);
  max_line_bytes = source.max_line_bytes();
  return std::max(faulty_line, 0);
}

}  // namespace

std::optional<IniFile> ReadIniFile(const std::string& path) {
  std::error_code ec;
  if (!std::filesystem::is_regular_file(path, ec)) {
    return std::nullopt;
  }
  std::ifstream stream(path, std::ios::binary);
  std::vector<std::string> lines;
  std::size_t file_bytes = 0;
  for (std::string line; std::getline(stream, line);) {
    file_bytes += line.size() + 1;
    if (file_bytes > kMaxFileBytes) {
      return std::nullopt;
    }
    // inih works on C strings, which end at the first zero byte.
    std::replace(line.begin(), line.end(), '\0', '?');
    lines.push_back(std::move(line));
  }
  if (stream.bad() || (lines.empty() && !stream.eof())) {
    return std::nullopt;
  }
  IniFile file;
  // inih reports only the first faulty line, so that line is cleared and the
  // file is parsed again.
  int max_line_bytes = 0;
  for (int faulty_line = ParseLines(lines, file, max_line_bytes);
       faulty_line > 0; faulty_line = ParseLines(lines, file, max_line_bytes)) {
    std::string& line = lines[static_cast<std::size_t>(faulty_line) - 1];
    const bool too_long =
        line.size() > static_cast<std::size_t>(max_line_bytes);
    file.faults.push_back(
        {path, faulty_line, "", line.substr(0, 60),
         too_long
             ? "at most " + std::to_string(max_line_bytes) + " bytes in a line"
             : "[section], key = value, or a comment after # or ;"});
    line.clear();
    if (file.faults.size() == kMaxReportedFaultyLines) {
      break;
    }
  }
  file.sections = FindSections(lines);
  return file;
}

}  // namespace baobab
