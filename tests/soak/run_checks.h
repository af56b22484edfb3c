#ifndef TESTS_SOAK_RUN_CHECKS_H_
#define TESTS_SOAK_RUN_CHECKS_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "findings.h"
#include "minion.hpp"

namespace baobab {

/** Checks the runs that the workers have seen. */
class RunChecks {
 public:
  RunChecks(review::Runs& runs, Findings& findings)
      : runs_(runs), findings_(findings) {}

  /** No two runs of a task at once, and none after an acknowledged `done`. */
  void Check() {
    for (const auto& [task, runs] : ByTask()) {
      for (std::size_t i = 0; i + 1 < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
          CheckPair(task, runs[i], runs[j]);
        }
      }
    }
  }

  /** Returns how many of a job's tasks have a run that ended `done`. */
  int CountDone(const std::string& job) {
    int n = 0;
    for (const auto& [task, runs] : ByTask()) {
      n += task.starts_with(job) &&
           std::any_of(runs.begin(), runs.end(),
                       [](const auto& it) { return it.how == "done"; });
    }
    return n;
  }

  /** Returns how many runs of a task have ended with their worker's process. */
  int CountCrashes(const std::string& task) {
    const auto all = runs_.Copy();
    return static_cast<int>(std::count_if(
        all.begin(), all.end(),
        [&](const auto& it) { return it.task == task && it.how == "gone"; }));
  }

  /** Writes all runs of the tasks that ran more than once. */
  void WriteRepeats(review::Record& record) {
    for (const auto& [task, runs] : ByTask()) {
      for (const auto& it : runs) {
        if (runs.size() > 1) {
          record.Line("repeat: " + task + " " + Text(it));
        }
      }
    }
  }

 private:
  using RunsByTask = std::map<std::string, std::vector<review::Run>>;

  RunsByTask ByTask() {
    RunsByTask out;
    for (const auto& it : runs_.Copy()) {
      out[it.task].push_back(it);
    }
    for (auto& [task, runs] : out) {
      std::stable_sort(runs.begin(), runs.end(),
                       [](const auto& a, const auto& b) {
                         return a.started_at < b.started_at;
                       });
    }
    return out;
  }

  void CheckPair(const std::string& task,
                 const review::Run& first,
                 const review::Run& second) {
    if (first.ended_at < 0 || second.started_at < first.ended_at) {
      findings_.Add("two-runs-at-once", task,
                    Text(first) + " and " + Text(second));
    } else if (first.how == "done" && first.noted_at >= 0 &&
               !first.lapsed_between) {
      findings_.Add("start-after-done", task,
                    Text(second) + " after " + Text(first));
    }
  }

  static std::string Text(const review::Run& it) {
    return "run " + std::to_string(it.number) + " on " + it.minion + " (" +
           std::to_string(it.started_at) + " to " +
           (it.ended_at < 0 ? "now" : std::to_string(it.ended_at)) + " ms, " +
           (it.ended_at < 0 ? "at work" : it.how) + ", acknowledged at " +
           std::to_string(it.noted_at) + " ms)";
  }

  review::Runs& runs_;
  Findings& findings_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_RUN_CHECKS_H_
