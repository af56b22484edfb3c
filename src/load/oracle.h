#ifndef SRC_LOAD_ORACLE_H_
#define SRC_LOAD_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/caller.h"

namespace baobab::load {

/** Execution counts of all minions. */
struct Executions {
  /** Number of executions by test id. */
  std::map<std::string, int> counts;
  /** Number of requests that minions refused because all slots were in use. */
  int overruns = 0;
  /** Maximum number of requests that ran at the same time on one minion. */
  int max_running = 0;
};

/** Waits up to `settle` until the minions run no requests, then reads their
 * execution counts. Error: a minion does not respond. */
Result<Executions> ReadExecutions(const std::vector<std::string>& minions,
                                  std::chrono::milliseconds settle);

/** Test oracle: checks the outcomes reported to callers against the executions
 * that the minions counted. */
class Oracle {
 public:
  /** `stopped` holds the addresses of nodes whose responses may be lost or cut,
   * since the test kills them. */
  Oracle(const std::vector<CallRecord>& records,
         const Executions& executions,
         const std::set<std::string>& stopped);

  /** Counts of violations by kind; all must be 0. */
  const std::map<std::string, int>& forbidden() const { return forbidden_; }
  /** Descriptions of the first 10 violations. */
  const std::vector<std::string>& examples() const { return examples_; }
  /** True if there are no violations. */
  bool ok() const;

 private:
  void CheckRecord(const CallRecord& record,
                   const Executions& executions,
                   const std::set<std::string>& stopped);
  void AddViolation(const std::string& kind,
                    const CallRecord& record,
                    const CallAttempt& attempt);

  std::map<std::string, int> forbidden_;
  std::vector<std::string> examples_;
};

/** Summarizes each queue: counts of outcomes and reasons, goodput, latency. */
nlohmann::json Summarize(const std::vector<QueueLoad>& queues,
                         const std::vector<CallRecord>& records,
                         std::chrono::seconds duration);

}  // namespace baobab::load

#endif  // SRC_LOAD_ORACLE_H_
