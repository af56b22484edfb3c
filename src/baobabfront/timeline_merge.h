#ifndef SRC_BAOBABFRONT_TIMELINE_MERGE_H_
#define SRC_BAOBABFRONT_TIMELINE_MERGE_H_

#include <cstddef>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "libdecision/decision.h"

namespace baobab {

/** One line of a timeline file: an entry with its origin and logical time. */
struct TimelineLine {
  /** Lamport clock of the node when it wrote the entry. */
  std::uint64_t clock = 0;
  NodeId node;
  Incarnation incarnation;
  /** Number of the entry within its process. */
  std::uint64_t sequence = 0;
  /** Wall clock in milliseconds since 1970. */
  std::int64_t wall_ms = 0;
  TimelineEntry entry;

  bool operator==(const TimelineLine&) const = default;
};

/** Contents of a timeline file. */
struct TimelineFile {
  std::vector<TimelineLine> lines;
  /** Number of lines that cannot be parsed, such as the truncated last line of
   * a killed process. */
  std::size_t malformed = 0;
};

/** Reads a timeline file; skips and counts malformed lines. */
TimelineFile ReadTimeline(std::istream& stream);

/** Sorts lines by Lamport clock, then node, incarnation and sequence, so that
 * no entry precedes one that it depends on. Removes duplicates. */
std::vector<TimelineLine> MergeTimelines(std::vector<TimelineLine> lines);

/** Conditions on entries, all of which must match. An empty member matches
 * every entry. */
struct TimelineFilter {
  /** A subject such as "request/7", or a prefix that ends with "/". */
  std::string subject;
  /** Matches entries whose subject or cause is this host. */
  std::string host;
  /** Matches entries whose subject or cause is this table version. */
  std::string table_version;
  std::string kind;
  /** Id of the node that wrote the entry. */
  std::string node;
};

/**
 * Returns the entries of merged lines that match the filter, together with the
 * chain of entries that caused them. The cause of an entry is the latest
 * earlier entry with that subject. For subjects that each process numbers
 * itself, such as requests, it must also come from the same process.
 */
std::vector<TimelineLine> FilterTimeline(const std::vector<TimelineLine>& lines,
                                         const TimelineFilter& filter);

}  // namespace baobab

#endif  // SRC_BAOBABFRONT_TIMELINE_MERGE_H_
