#include "libnet/prober.h"

#include <utility>

#include "libnet/http_call.h"

namespace baobab {

Prober::Prober(int threads, Metrics& metrics, PostEvent post)
    : metrics_(metrics), post_(std::move(post)) {
  for (int n = 0; n < threads; ++n) {
    threads_.emplace_back([this] { Run(); });
  }
}

Prober::~Prober() {
  Stop();
}

void Prober::Execute(const ProbeMinion& probe) {
  {
    const std::lock_guard lock(mutex_);
    if (!pending_.insert(probe.minion).second) {
      metrics_.Count("probes_skipped");
      return;
    }
    queue_.push_back(probe);
  }
  changed_.notify_one();
}

void Prober::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& it : threads_) {
    if (it.joinable()) {
      it.join();
    }
  }
}

void Prober::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [&] { return stopping_ || !queue_.empty(); });
    if (stopping_) {
      return;
    }
    const ProbeMinion probe = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();

    ProbeFinished finished{probe.minion, false, false};
    if (const auto endpoint = ParseEndpoint(probe.address)) {
      HttpRequest request;
      request.target = "/healthz";
      if (const auto answer =
              CallOnce(*endpoint, request, kTimeout, kTimeout)) {
        finished.ok = answer->status == 200;
        finished.leaving = FindHeader(answer->headers, "Baobab-Leaving") == "1";
      }
    }
    metrics_.Count(finished.ok ? "probes_ok" : "probes_failed");
    post_(finished);

    lock.lock();
    pending_.erase(probe.minion);
  }
}

}  // namespace baobab
