#include "libjobs/advice_book.h"

#include <chrono>

namespace baobab {

namespace {

/** A ticket that expires sooner would be late at the worker. */
constexpr Duration kTicketMargin = std::chrono::milliseconds(150);

/** Before the next question after one without an answer. */
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);

}  // namespace

std::vector<WorkerId> AdviceBook::Open(const StepId& step,
                                       const std::vector<WorkerId>& candidates,
                                       Time now) {
  auto& entry = entries_[step];
  std::vector<WorkerId> asked;
  if (entry.open || now < entry.not_before) {
    return asked;
  }
  for (const auto& it : candidates) {
    if (asked.size() < kMostAsked && !entry.bad.contains(it) &&
        TicketFor(step, it, now).empty()) {
      asked.push_back(it);
    }
  }
  entry.open = !asked.empty();
  return asked;
}

void AdviceBook::Close(
    const StepId& step,
    const std::vector<WorkerId>& asked,
    const std::vector<std::pair<WorkerId, std::string>>& good,
    Duration valid,
    Time now) {
  const auto found = entries_.find(step);
  if (found == entries_.end()) {
    return;
  }
  auto& entry = found->second;
  entry.open = false;
  entry.bad.insert(asked.begin(), asked.end());
  for (const auto& [worker, ticket] : good) {
    entry.bad.erase(worker);
    entry.good[worker] = {ticket, now + valid};
  }
}

void AdviceBook::Fail(const StepId& step, Time now) {
  const auto found = entries_.find(step);
  if (found != entries_.end()) {
    found->second.open = false;
    found->second.not_before = now + kRetryDelay;
  }
}

std::string AdviceBook::TicketFor(const StepId& step,
                                  const WorkerId& worker,
                                  Time now) const {
  const auto found = entries_.find(step);
  if (found == entries_.end()) {
    return {};
  }
  const auto ticket = found->second.good.find(worker);
  return ticket == found->second.good.end() ||
                 now + kTicketMargin > ticket->second.valid_until
             ? std::string()
             : ticket->second.text;
}

void AdviceBook::Refuse(const StepId& step, const WorkerId& worker) {
  const auto found = entries_.find(step);
  if (found != entries_.end()) {
    found->second.good.erase(worker);
  }
}

void AdviceBook::Forget(const JobId& job) {
  std::erase_if(entries_, [&](const auto& it) { return it.first.job == job; });
}

}  // namespace baobab
