#ifndef SRC_LIBJOBS_ADVICE_CACHE_H_
#define SRC_LIBJOBS_ADVICE_CACHE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libjobs/job.h"

namespace baobab {

/** A step of an occurrence. */
struct StepId {
  JobId job;
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const StepId&) const = default;
};

/** What the advice service said of the workers that may run each step. Answers
 * steps that only some workers may run: few workers are asked about at a time,
 * as the service takes time for each. */
class AdviceCache {
 public:
  /** Most workers in one question. */
  static constexpr std::size_t kMaxWorkersPerRequest = 10;

  /** The workers of `candidates` to ask about now, in their order; none while
   * a question for the step is open. */
  std::vector<WorkerId> BeginRequest(const StepId& step,
                                     const std::vector<WorkerId>& candidates,
                                     Time now);
  /** `good` are the workers that may run the step, with their tickets. */
  void FinishRequest(
      const StepId& step,
      const std::vector<WorkerId>& asked,
      const std::vector<std::pair<WorkerId, std::string>>& approved,
      Duration ticket_ttl,
      Time now);
  /** The question got no answer. */
  void FailRequest(const StepId& step, Time now);

  /** The ticket for a start now; empty if there is none that is valid. */
  std::string TicketFor(const StepId& step,
                        const WorkerId& worker,
                        Time now) const;
  /** The worker did not take the ticket. */
  void RejectTicket(const StepId& step, const WorkerId& worker);
  void Forget(const JobId& job);

 private:
  struct Ticket {
    std::string text;
    Time valid_until;
  };
  struct Entry {
    bool request_open = false;
    Time retry_at;
    std::set<WorkerId> rejected;
    std::map<WorkerId, Ticket> approved;
  };

  std::map<StepId, Entry> entries_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADVICE_CACHE_H_
