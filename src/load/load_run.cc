#include "load/load_run.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace baobab::load {

std::vector<CallRecord> RunLoad(const LoadOptions& options) {
  const Balancer balancer(options.targets);
  const Caller caller(options.caller, options.queues, balancer);
  const auto start = std::chrono::steady_clock::now();
  std::mutex mutex;
  std::vector<CallRecord> records;
  std::vector<std::vector<PlannedRequest>> plans;
  for (std::size_t n = 0; n < options.queues.size(); ++n) {
    plans.push_back(PlanRequests(options.queues[n], n, options.duration,
                                 options.seed, options.run_name));
  }
  std::vector<std::atomic<std::size_t>> next(plans.size());
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < plans.size(); ++n) {
    const auto& plan = plans[n];
    const auto max_callers = std::min<std::size_t>(
        static_cast<std::size_t>(options.queues[n].max_callers), plan.size());
    for (std::size_t i = 0; i < max_callers; ++i) {
      threads.emplace_back([&, n] {
        for (std::size_t at = next[n]++; at < plan.size(); at = next[n]++) {
          std::this_thread::sleep_until(start + plan[at].at);
          CallRecord record = caller.Run(plan[at], start);
          std::lock_guard lock(mutex);
          records.push_back(std::move(record));
        }
      });
    }
  }
  for (auto& it : threads) {
    it.join();
  }
  return records;
}

}  // namespace baobab::load
