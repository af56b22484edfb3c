#ifndef SRC_LIBJOBS_STORED_JOB_H_
#define SRC_LIBJOBS_STORED_JOB_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libjobs/job.h"

namespace baobab {

/** A record of a shard. The store keeps the newest one of each key. */
struct StoredRecord {
  std::string key;
  /** Empty if the key is dropped. */
  std::string value;

  bool operator==(const StoredRecord&) const = default;
};

/** Keys of the two records of a job: what was accepted, and how far it is. */
std::string AcceptanceKey(const JobId& id);
std::string ProgressKey(const JobId& id);

/** MessagePack forms of the two records. */
std::string EncodeAcceptance(const Job& job);
std::string EncodeProgress(const Job& job);

struct LoadedJobs {
  std::map<JobId, Job> jobs;
  /** Records that could not be read, by key and reason. */
  std::vector<std::string> faults;
};

/** Builds the jobs of a shard from the newest record of each key. Tasks that
 * may run are kInherited. */
LoadedJobs DecodeJobs(const std::vector<StoredRecord>& records);

}  // namespace baobab

#endif  // SRC_LIBJOBS_STORED_JOB_H_
