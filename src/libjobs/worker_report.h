#ifndef SRC_LIBJOBS_WORKER_REPORT_H_
#define SRC_LIBJOBS_WORKER_REPORT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libjobs/job_spec.h"

namespace baobab {

/** Entry of one worker in the platform's list. */
struct WorkerEntry {
  WorkerId id;
  ServiceId service;
  /** Host on which the worker runs. */
  HostId host;
  /** Address as "ip:port". */
  std::string address;
  DataCentreId data_centre;
  /** The worker is about to leave and accepts no new runs. */
  bool draining = false;
  /** Minimum time until a draining worker leaves. */
  Duration leaves_in{0};
  Resources capacity;
  std::vector<std::string> labels;
  /** Start of the process in ms since 1970, which identifies the
   * incarnation. */
  std::int64_t incarnation = 0;
  /** Reading of the worker's clock when it wrote the entry. */
  std::int64_t clock_ms = 0;

  bool HasLabel(std::string_view label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
  }

  bool operator==(const WorkerEntry&) const = default;
};

/** All workers that the platform lists. */
struct WorkerList {
  /** Position of the list in the platform's log; a newer list has a higher one.
   */
  std::uint64_t version = 0;
  std::vector<WorkerEntry> entries;
};

/** How a run ended. */
enum class EndKind {
  kDone,
  /** Failed through its own fault or the worker's. */
  kFailed,
  kStopped,
  kLeaseExpired,
  /** Another member of its gang ended. */
  kGangMemberEnded,
  /** The other members of its gang did not start in time. */
  kGangIncomplete,
};

/** Returns the name for logs. */
constexpr const char* ToString(EndKind kind) {
  constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                    "lapsed", "broken", "alone"};
  return kNames[static_cast<int>(kind)];
}

/** A run that is present at a worker. */
struct ActiveRun {
  TaskId task;
  RunNumber run;
  std::string checkpoint;
  /** Progress of the task; for a long-running task, the share that serves. */
  int percent = 0;
  /** One of two quantities: the tail response time in ms for a task that
   * serves, the CPU usage for any other. */
  std::int64_t load = 0;
};

/** A run that has ended at a worker and is not acknowledged yet. */
struct EndedRun {
  /** Sequence number within one incarnation of the worker, from 1. */
  std::int64_t number = 0;
  TaskId task;
  RunNumber run;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/** A worker's answer to a poll. */
struct WorkerReport {
  std::int64_t incarnation = 0;
  /** Reading of the worker's clock when it answered. */
  std::int64_t clock_ms = 0;
  std::vector<ActiveRun> running;
  /** The oldest unacknowledged ends, in the order of their numbers. */
  std::vector<EndedRun> ended;
  /** Further ends may follow those in `ended`, so that a run which is listed
   * nowhere may have ended. */
  bool has_more_ends = false;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_WORKER_REPORT_H_
