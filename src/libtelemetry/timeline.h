#ifndef SRC_LIBTELEMETRY_TIMELINE_H_
#define SRC_LIBTELEMETRY_TIMELINE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libdecision/decision.h"

namespace baobab {

/** Writes the time line, the events of a process, to a file of JSON lines in
 * the background. Thread-safe. */
class Timeline {
 public:
  /** Appends to the file at `path`; with an empty path no entry is written. */
  Timeline(const std::string& path,
           const NodeId& node,
           Incarnation incarnation);
  ~Timeline();
  Timeline(const Timeline&) = delete;
  Timeline& operator=(const Timeline&) = delete;

  /** Advances the Lamport clock and adds the entry with its wall time. */
  void Write(const TimelineEntry& entry, std::int64_t wall_ms);

  /** Raises the Lamport clock to the clock of a received message. */
  void MergeClock(std::uint64_t clock);

  /** Returns the Lamport clock, to send with a message. */
  std::uint64_t clock() const;

  /** Number of entries dropped because the file could not be written. */
  std::uint64_t dropped_entries() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBTELEMETRY_TIMELINE_H_
