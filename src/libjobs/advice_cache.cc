#include "libjobs/advice_cache.h"

#include <chrono>

namespace baobab {

namespace {

/** Minimum remaining validity of a ticket that is used; with less it could
 * expire before the start reaches the worker. */
constexpr Duration kTicketMargin = std::chrono::milliseconds(150);

/** Delay before the next request after one without a reply. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

}  // namespace

std::vector<WorkerId> AdviceCache::BeginRequest(
    const StepId& step,
    const std::vector<WorkerId>& candidates,
    Time now) {
  auto& entry = entries_[step];
  std::vector<WorkerId> asked;
  if (entry.request_open || now < entry.retry_at) {
    return asked;
  }
  for (const auto& it : candidates) {
    if (asked.size() < kMaxWorkersPerRequest && !entry.rejected.contains(it) &&
        TicketFor(step, it, now).empty()) {
      asked.push_back(it);
    }
  }
  entry.request_open = !asked.empty();
  return asked;
}

void AdviceCache::FinishRequest(
    const StepId& step,
    const std::vector<WorkerId>& asked,
    const std::vector<std::pair<WorkerId, std::string>>& approved,
    Duration ticket_ttl,
    Time now) {
  const auto found = entries_.find(step);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  entry.request_open = false;
  entry.rejected.insert(asked.begin(), asked.end());
  for (const auto& [worker, ticket] : approved) {
    entry.rejected.erase(worker);
    entry.approved[worker] = {ticket, now + ticket_ttl};
  }
}

void AdviceCache::FailRequest(const StepId& step, Time now) {
  const auto found = entries_.find(step);
  if (found != entries_.end()) {
    found->second.request_open = false;
    found->second.retry_at = now + kRetryDelay;
  }
}

std::string AdviceCache::TicketFor(const StepId& step,
                                   const WorkerId& worker,
                                   Time now) const {
  const auto found = entries_.find(step);
  if (found == entries_.end()) {
    return {};
  }
  const auto ticket = found->second.approved.find(worker);
  return ticket == found->second.approved.end() ||
                 now + kTicketMargin > ticket->second.valid_until
             ? std::string()
             : ticket->second.text;
}

void AdviceCache::RejectTicket(const StepId& step, const WorkerId& worker) {
  const auto found = entries_.find(step);
  if (found != entries_.end()) {
    found->second.approved.erase(worker);
  }
}

void AdviceCache::Forget(const JobId& job) {
  std::erase_if(entries_, [&](const auto& it) { return it.first.job == job; });
}

}  // namespace baobab
