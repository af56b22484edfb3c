#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "libjobs/pool_engine.h"

// Jobs at which owners end with an unexpected error. The records of such a job
// would end each next owner too, and with it all other jobs of the shard.

namespace baobab {

namespace {

/** Number of owners that have to fail at a job before it is set aside. One may
 * have failed for a reason that is gone with its process. */
constexpr int kMaxJobFailures = 2;

}  // namespace

void PoolEngine::NoteSubject(const JobId& job, int occurrence, int step) {
  subject_.job = job;
  subject_.occurrence = occurrence;
  subject_.step = step;
}

int PoolEngine::FailuresAt(const JobId& job) const {
  const auto it = job_failures_.find(job);
  return it == job_failures_.end() ? 0 : it->second;
}

bool PoolEngine::IsSetAside(const JobId& job) const {
  return FailuresAt(job) >= kMaxJobFailures;
}

void PoolEngine::EndWhatIsDone(Job& job) {
  std::vector<int> finished;
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      auto& tasks = occurrence.steps[step];
      const auto done = std::find_if(
          tasks.begin(), tasks.end(),
          [](const auto& it) { return it.phase == TaskPhase::kDone; });
      for (auto& it : tasks) {
        if (job.spec.steps[step].gang && done != tasks.end() &&
            it.phase == TaskPhase::kWaiting && it.run == done->run) {
          job.MarkDone(occurrence, static_cast<int>(step), it);
        }
        if (it.phase == TaskPhase::kWaiting &&
            !job.spec.steps[step].long_running &&
            it.failures >= job.max_attempts) {
          EndJob(job, JobEnd::kFailed, "attempts-used");
          return;
        }
      }
    }
    if (occurrence.progress.IsFinished()) {
      finished.push_back(number);
    }
  }
  for (const int number : finished) {
    ++job.finished;
    job.occurrences.erase(number);
    staged_.dirty.insert(job.id);
  }
  if (job.finished == job.OccurrenceCount()) {
    EndJob(job, JobEnd::kCompleted, "all-tasks-done");
  }
}

}  // namespace baobab
