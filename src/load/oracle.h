#ifndef SRC_LOAD_ORACLE_H_
#define SRC_LOAD_ORACLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/caller.h"

namespace baobab::load {

/** How often each test id was executed, over all minions. */
struct Executions {
  std::map<std::string, int> counts;
  /** Requests that minions refused because their slots were in use. */
  int overruns = 0;
  int most_running = 0;
};

/** Waits up to `settle` until no minion runs a request and reads their counts.
 * Errors: a minion gives no answer. */
Result<Executions> ReadExecutions(const std::vector<std::string>& minions,
                                  std::chrono::milliseconds settle);

/** Compares what callers were told with what minions executed. */
class Oracle {
 public:
  /** Answers of the nodes in `stopped` may be lost or cut. */
  Oracle(const std::vector<CallRecord>& records,
         const Executions& executions,
         const std::set<std::string>& stopped);

  /** Counts by name; these must be 0. */
  const std::map<std::string, int>& forbidden() const { return forbidden_; }
  /** Up to 10 texts on forbidden cases. */
  const std::vector<std::string>& examples() const { return examples_; }
  bool ok() const;

 private:
  void Compare(const CallRecord& record,
               const Executions& executions,
               const std::set<std::string>& stopped);
  void Note(const std::string& kind,
            const CallRecord& record,
            const CallAttempt& attempt);

  std::map<std::string, int> forbidden_;
  std::vector<std::string> examples_;
};

/** Per queue: counts of verdicts and reasons, goodput and latency. */
nlohmann::json Summarize(const std::vector<QueueLoad>& queues,
                         const std::vector<CallRecord>& records,
                         std::chrono::seconds duration);

}  // namespace baobab::load

#endif  // SRC_LOAD_ORACLE_H_
