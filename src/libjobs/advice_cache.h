#ifndef SRC_LIBJOBS_ADVICE_CACHE_H_
#define SRC_LIBJOBS_ADVICE_CACHE_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libjobs/job.h"

namespace baobab {

/** Caches the advice service's decisions on which workers may run each step.
 * Limits the workers in one request, since the service takes time for each of
 * them. */
class AdviceCache {
 public:
  static constexpr std::size_t kMaxWorkersPerRequest = 10;

  /** Starts a request and returns the workers among `candidates` that it asks
   * about, in their order. Skips workers that were rejected or have a valid
   * ticket. Returns none while a request for the step is open or its retry is
   * not due. */
  std::vector<WorkerId> BeginRequest(const StepId& step,
                                     const std::vector<WorkerId>& candidates,
                                     Time now);
  /** Records the reply to a request. `approved` holds the workers that may run
   * the step, with their tickets; the others in `asked` are rejected. */
  void FinishRequest(
      const StepId& step,
      const std::vector<WorkerId>& asked,
      const std::vector<std::pair<WorkerId, std::string>>& approved,
      Duration ticket_ttl,
      Time now);
  /** Records that a request got no reply; the next one is delayed. */
  void FailRequest(const StepId& step, Time now);

  /** Returns the ticket for starting the step on `worker` at `now`, or an empty
   * string if there is no valid one. */
  std::string TicketFor(const StepId& step,
                        const WorkerId& worker,
                        Time now) const;
  /** Drops a ticket that `worker` refused. */
  void RejectTicket(const StepId& step, const WorkerId& worker);
  /** Drops all entries of the job's steps. */
  void Forget(const JobId& job);

 private:
  struct Ticket {
    std::string text;
    Time valid_until;
  };
  struct Entry {
    bool request_open = false;
    /** No request is sent earlier than this. */
    Time retry_at;
    std::set<WorkerId> rejected;
    std::map<WorkerId, Ticket> approved;
  };

  std::map<StepId, Entry> entries_;
};

}  // namespace baobab

#endif  // SRC_LIBJOBS_ADVICE_CACHE_H_
