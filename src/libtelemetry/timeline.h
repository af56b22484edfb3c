#ifndef SRC_LIBTELEMETRY_TIMELINE_H_
#define SRC_LIBTELEMETRY_TIMELINE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libdecision/decision.h"

namespace baobab {

/** Writes the events of one process as JSON lines. Thread-safe. */
class Timeline {
 public:
  /** Appends to the file; an empty path keeps nothing. */
  Timeline(const std::string& path,
           const NodeId& node,
           Incarnation incarnation);
  ~Timeline();
  Timeline(const Timeline&) = delete;
  Timeline& operator=(const Timeline&) = delete;

  /** Advances the Lamport clock and writes the entry. */
  void Write(const TimelineEntry& entry, std::int64_t wall_ms);

  /** Raises the Lamport clock to that of a received message. */
  void Witness(std::uint64_t clock);

  /** The clock to send with a message. */
  std::uint64_t clock() const;

  /** Entries that were not kept because the file could not be written. */
  std::uint64_t dropped_entries() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace baobab

#endif  // SRC_LIBTELEMETRY_TIMELINE_H_
