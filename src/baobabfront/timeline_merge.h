#ifndef SRC_BAOBABFRONT_TIMELINE_MERGE_H_
#define SRC_BAOBABFRONT_TIMELINE_MERGE_H_

#include <cstddef>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

/** An entry of a time line file. */
struct TimelineLine {
  std::uint64_t clock = 0;
  NodeId node;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  std::int64_t wall_ms = 0;
  TimelineEntry entry;

  bool operator==(const TimelineLine&) const = default;
};

struct TimelineFile {
  std::vector<TimelineLine> lines;
  /** Lines that are no entry, such as the last one of a killed process. */
  std::size_t malformed = 0;
};

TimelineFile ReadTimeline(std::istream& stream);

/** Orders by Lamport clock, then node, incarnation and sequence, so that no
 * entry comes before one it depends on; drops repeated entries. */
std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> lines);

/** Empty members match everything; all others must match. */
struct TimelineFilter {
  /** "request/7", or "request/" for all subjects that start so. */
  std::string subject;
  /** Entries about the host or caused by it. */
  std::string host;
  /** Entries about the table version or caused by it. */
  std::string table_version;
  std::string kind;
  /** Entries written by this node. */
  std::string node;
};

/** The matching entries of merged lines, and for each the entry that its cause
 * names, and so on. A cause is the latest earlier entry with that subject; of a
 * request, whose numbers repeat on each node, only one of the same process. */
std::vector<TimelineLine> FilterTimeline(const std::vector<TimelineLine>& lines,
                                         const TimelineFilter& filter);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_TIMELINE_MERGE_H_
