#ifndef SRC_LIBNET_PROBER_H_
#define SRC_LIBNET_PROBER_H_

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "libnet/post_event.h"
#include "libtelemetry/telemetry.h"

namespace baobab {

/** Health checker: probes minions with GET /healthz and posts ProbeFinished. */
class Prober {
 public:
  static constexpr Duration kTimeout = std::chrono::seconds(1);

  Prober(int threads, Metrics& metrics, PostEvent post);
  /** Calls Stop(). */
  ~Prober();
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  /** Queues a probe, unless one for this minion is queued or running. */
  void Execute(const ProbeMinion& probe);

  /** Discards queued probes and waits for the running ones. */
  void Stop();

 private:
  void Run();

  Metrics& metrics_;
  PostEvent post_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::deque<ProbeMinion> queue_;
  /** Minions with a queued or running probe. */
  std::set<MinionId> pending_;
  std::vector<std::thread> threads_;
};

}  // namespace baobab

#endif  // SRC_LIBNET_PROBER_H_
