#include "baobabfront/timeline_merge.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>

namespace baobab {

namespace {

using Json = nlohmann::json;

/** Prefixes of subjects whose numbers are unique only within one process. */
constexpr const char* kProcessLocalSubjects[] = {"request/", "loan/", "borrow/",
                                                 "command/"};

bool GetString(const Json& json, const char* name, std::string& value) {
  const auto it = json.find(name);
  if (it == json.end() || !it->is_string()) {
    return false;
  }
  value = it->get_ref<const std::string&>();
  return true;
}

bool GetUnsigned(const Json& json, const char* name, std::uint64_t& value) {
  const auto it = json.find(name);
  if (it == json.end() || !it->is_number_unsigned()) {
    return false;
  }
  value = it->get<std::uint64_t>();
  return true;
}

std::optional<TimelineLine> ParseLine(const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  TimelineLine line;
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t wall_ms = 0;
  if (!json.is_object() || !GetString(json, "node", node) ||
      !GetUnsigned(json, "incarnation", incarnation) ||
      !GetUnsigned(json, "sequence", line.sequence) ||
      !GetUnsigned(json, "clock", line.clock) ||
      !GetUnsigned(json, "wall_ms", wall_ms) ||
      !GetString(json, "kind", line.entry.kind) ||
      !GetString(json, "subject", line.entry.subject) ||
      !GetString(json, "cause", line.entry.cause) ||
      !GetString(json, "detail", line.entry.detail)) {
    return std::nullopt;
  }
  line.node = NodeId(std::move(node));
  line.incarnation = Incarnation(incarnation);
  line.wall_ms = static_cast<std::int64_t>(wall_ms);
  return line;
}

auto SortKey(const TimelineLine& line) {
  return std::tie(line.clock, line.node, line.incarnation, line.sequence);
}

bool IsAbout(const TimelineEntry& entry, const std::string& subject) {
  return entry.subject == subject || entry.cause == subject;
}

bool Matches(const TimelineLine& line, const TimelineFilter& filter) {
  const TimelineEntry& entry = line.entry;
  const bool prefix = filter.subject.ends_with('/');
  return (filter.subject.empty() || entry.subject == filter.subject ||
          (prefix && entry.subject.starts_with(filter.subject))) &&
         (filter.host.empty() || IsAbout(entry, "host/" + filter.host)) &&
         (filter.table_version.empty() ||
          IsAbout(entry, "table/" + filter.table_version)) &&
         (filter.kind.empty() || entry.kind == filter.kind) &&
         (filter.node.empty() || line.node.value() == filter.node);
}

bool IsProcessLocal(const std::string& subject) {
  return std::any_of(
      std::begin(kProcessLocalSubjects), std::end(kProcessLocalSubjects),
      [&subject](const char* it) { return subject.starts_with(it); });
}

/** A subject and, if it is local to a process, that process. */
using SubjectKey = std::tuple<std::string, NodeId, Incarnation>;

SubjectKey MakeSubjectKey(const std::string& subject,
                          const TimelineLine& line) {
  if (IsProcessLocal(subject)) {
    return {subject, line.node, line.incarnation};
  }
  return {subject, NodeId(), Incarnation()};
}

}  // namespace

TimelineFile ReadTimeline(std::istream& stream) {
  TimelineFile file;
  for (std::string text; std::getline(stream, text);) {
    if (auto line = ParseLine(text)) {
      file.lines.push_back(*std::move(line));
    } else if (!text.empty()) {
      ++file.malformed;
    }
  }
  return file;
}

std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> lines) {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const auto& a, const auto& b) { return SortKey(a) < SortKey(b); });
  lines.erase(std::unique(lines.begin(), lines.end()), lines.end());
  return lines;
}

std::vector<TimelineLine> FilterTimeline(const std::vector<TimelineLine>& lines,
                                         const TimelineFilter& filter) {
  constexpr std::size_t kNoCause = -1;
  std::vector<std::size_t> causes(lines.size(), kNoCause);
  std::map<SubjectKey, std::size_t> latest;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const TimelineLine& line = lines[n];
    if (!line.entry.cause.empty()) {
      const auto it = latest.find(MakeSubjectKey(line.entry.cause, line));
      causes[n] = it == latest.end() ? kNoCause : it->second;
    }
    latest[MakeSubjectKey(line.entry.subject, line)] = n;
  }
  // Causes precede their effects, so one backward pass finds whole chains.
  std::vector<bool> selected(lines.size());
  std::vector<TimelineLine> found;
  for (std::size_t n = lines.size(); n-- > 0;) {
    selected[n] = selected[n] || Matches(lines[n], filter);
    if (selected[n]) {
      found.push_back(lines[n]);
      if (causes[n] != kNoCause) {
        selected[causes[n]] = true;
      }
    }
  }
  std::reverse(found.begin(), found.end());
  return found;
}

}  // namespace baobab
