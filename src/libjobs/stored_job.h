#ifndef SRC_LIBJOBS_STORED_JOB_H_
#define SRC_LIBJOBS_STORED_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libjobs/job.h"
#include "libjobs/lost_runs.h"

namespace baobab {

/** A record of a shard. The store keeps the newest value of each key. */
struct StoredRecord {
  std::string key;
  /** Empty to delete the key. */
  std::string value;

  bool operator==(const StoredRecord&) const = default;
};

/** Decision of the cell of a job's id that another cell of the pool decides on
 * the job. It is stored before that cell sees the job, so that a repeated
 * request cannot be accepted twice. */
struct Delegation {
  ShardId cell{};
  /** Wall clock in ms since 1970. */
  std::int64_t decided_wall_ms = 0;
  /** Wall clock of the first request for the job. */
  std::int64_t submitted_wall_ms = 0;
  bool stored = false;
  /** How often the job was handed over, with this time; 0 if it was delegated
   * before it was accepted. */
  int hand_overs = 0;
};

std::string DelegationKey(const JobId& id);
std::string EncodeDelegation(const Delegation& delegation);

/** Return the keys of the records of a job: its specification as accepted, its
 * progress, and a part of its progress. */
std::string AcceptanceKey(const JobId& id);
std::string ProgressKey(const JobId& id);
std::string ProgressPartKey(const JobId& id, int part);

/** Number of tasks of which a progress record has rows. A row takes about 50
 * bytes, or a few hundred with a long checkpoint, and the store limits the size
 * of a record. */
inline constexpr int kTasksPerRecord = 128;

/** Returns whether the job may have more tasks than one progress record has
 * rows. Its rows then are in parts, each of which is stored only if it has
 * changed. */
bool HasProgressParts(const Job& job);

/** Encode the records as MessagePack. `lost_runs` may have runs of other
 * jobs. */
std::string EncodeAcceptance(const Job& job);
std::string EncodeProgress(const Job& job, const LostRuns& lost_runs = {});
std::map<int, std::string> EncodeProgressParts(const Job& job,
                                               const std::set<int>& parts,
                                               const LostRuns& lost_runs = {});
/** Returns the parts of the progress that have rows, with a digest of what
 * EncodeProgressParts() depends on; empty if it has no parts. */
std::map<int, std::uint64_t> ProgressDigests(const Job& job);
/** Returns all records of the job, its acceptance last. */
std::vector<StoredRecord> EncodeJob(const Job& job, const LostRuns& lost_runs);

/** Key and value of the record of how long the leases of former owners may
 * still run at a worker, from when it is stored. No lease is granted to the
 * worker while there is such a record. */
std::string LeaseWaitKey(const WorkerId& id);
std::string EncodeLeaseWait(Duration wait);

/** Start of a run that got no answer, and may still be carried out. */
struct UnansweredStart {
  TaskId task;
  RunNumber run;
  /** Time until which it may arrive, from when it is stored. */
  Duration left{0};
  /** Its owner may have ended before it sent the start. */
  bool maybe_unsent = false;

  bool operator==(const UnansweredStart&) const = default;
};

/** Key and value of the record of a worker's starts without an answer. */
std::string UnansweredStartsKey(const WorkerId& id);
std::string EncodeUnansweredStarts(const std::vector<UnansweredStart>& starts);

/** Key and value of the record of the highest placement that is settled with
 * all before it: the start of its run was answered or never sent, or is among
 * those without an answer. Any other start may still be under way when the next
 * owner loads the shard. */
std::string SettledPlacementsKey();
std::string EncodeSettledPlacements(PlacementNumber settled);

/** Key and value of the record of how often owners have ended with an
 * unexpected error while they worked on the job. It counts for this release
 * only. */
std::string JobFailuresKey(const JobId& id);
std::string EncodeJobFailures(int failures);

/** The jobs decoded from the records of a shard. */
struct LoadedJobs {
  std::map<JobId, Job> jobs;
  std::map<JobId, Delegation> delegations;
  /** Runs of the jobs that were lost with workers of unknown fate; the time
   * when they were lost is not stored. */
  std::vector<LostRuns::Run> lost_runs;
  /** Time for which leases of former owners may run from now on, by worker. */
  std::map<WorkerId, Duration> lease_waits;
  /** Starts without an answer, by worker. */
  std::map<WorkerId, std::vector<UnansweredStart>> unanswered_starts;
  /** The highest placement that is settled with all before it. */
  PlacementNumber settled_placements;
  /** How often owners of this release have failed at a job. */
  std::map<JobId, int> job_failures;
  /** Records that could not be decoded, as "key: reason". */
  std::vector<std::string> faults;
};

/** Decodes the jobs of a shard from the newest record of each key. Tasks whose
 * run may be present at a worker become kInherited. */
LoadedJobs DecodeJobs(const std::vector<StoredRecord>& records);

}  // namespace baobab

#endif  // SRC_LIBJOBS_STORED_JOB_H_
