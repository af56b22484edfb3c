#ifndef TESTS_SOAK_FINDINGS_H_
#define TESTS_SOAK_FINDINGS_H_

#include <cstdio>
#include <mutex>
#include <set>
#include <string>

#include "record.hpp"

namespace baobab {

/** Broken rules, each with the job, task or node concerned. */
class Findings {
 public:
  explicit Findings(review::Record& record) : record_(record) {}

  /** Adds a finding unless this rule was already broken for `subject`. */
  void Add(const std::string& rule,
           const std::string& subject,
           const std::string& text) {
    const std::lock_guard lock(mutex_);
    if (!subjects_.emplace(rule, subject).second) {
      return;
    }
    record_.Line("FINDING " + rule + " " + subject + ": " + text);
    std::printf("%8.3f FINDING %s %s: %s\n",
                static_cast<double>(review::Now()) / 1000.0, rule.c_str(),
                subject.c_str(), text.c_str());
    std::fflush(stdout);
  }

  std::size_t size() {
    const std::lock_guard lock(mutex_);
    return subjects_.size();
  }

 private:
  review::Record& record_;
  std::mutex mutex_;
  std::set<std::pair<std::string, std::string>> subjects_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_FINDINGS_H_
