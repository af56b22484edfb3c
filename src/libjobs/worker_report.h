#ifndef SRC_LIBJOBS_WORKER_REPORT_H_
#define SRC_LIBJOBS_WORKER_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libjobs/job_spec.h"

namespace baobab {

/** What the platform's list says of one worker. */
struct WorkerEntry {
  WorkerId id;
  ServiceId service;
  /** Host on which the worker runs. */
  HostId host;
  /** "ip:port". */
  std::string address;
  DataCentreId data_centre;
  bool draining = false;
  /** Least time until a draining worker leaves. */
  Duration leaves_in{0};
  Resources capacity;
  std::vector<std::string> labels;
  /** Start of this life of the worker, in ms since 1970. */
  std::int64_t incarnation = 0;
  /** The worker's own clock when it wrote the entry. */
  std::int64_t clock_ms = 0;

  bool operator==(const WorkerEntry&) const = default;
};

enum class EndKind {
  kDone,
  /** By its own fault or the worker's. */
  kFailed,
  kStopped,
  /** Its lease expired. */
  kLeaseExpired,
  /** Another member of its gang ended. */
  kGangMemberEnded,
  /** The other members of its gang did not come in time. */
  kGangIncomplete,
};

/** Name for logs. */
constexpr const char* ToString(EndKind kind) {
  constexpr const char* kNames[] = {"done",   "failed", "stopped",
                                    "lapsed", "broken", "alone"};
  return kNames[static_cast<int>(kind)];
}

/** A run that is present at a worker. */
struct RunningRun {
  TaskId task;
  RunNumber run;
  std::string checkpoint;
  /** Progress of a task that ends; share at work of one that lasts. */
  int percent = 0;
  /** Response time tail in ms of a task that serves, CPU use otherwise. */
  std::int64_t load = 0;
};

/** A run that has ended at a worker and was not yet acknowledged. */
struct EndedRun {
  /** Rises with each end of one life of the worker, from 1. */
  std::int64_t number = 0;
  TaskId task;
  RunNumber run;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;
};

/** All that a worker says of its runs. */
struct WorkerReport {
  std::int64_t incarnation = 0;
  std::int64_t clock_ms = 0;
  std::vector<RunningRun> running;
  std::vector<EndedRun> ended;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_WORKER_REPORT_H_
