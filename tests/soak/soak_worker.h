#ifndef TESTS_SOAK_SOAK_WORKER_H_
#define TESTS_SOAK_SOAK_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "minion.hpp"
#include "relay.h"

namespace baobab {

/** A worker whose connections to the store and to the nodes can fail
 * separately, and whose process ends and starts again under the same id and
 * address. Each process is an object of its own that registers in a store of
 * its own, from which its entry is copied to the platform's store while the
 * worker reaches that. Never destroyed. */
class SoakWorker {
 public:
  /** Silence after which the platform removes an entry. */
  static constexpr std::int64_t kEntryLifetimeMs = 3 * review::Minion::kBeatMs;

  SoakWorker(review::Record& record,
             review::Runs& runs,
             review::Store& store,
             std::string machine,
             int cpu_milli,
             std::string rack,
             std::uint64_t seed)
      : record_(record),
        runs_(runs),
        store_(store),
        machine_(std::move(machine)),
        cpu_milli_(cpu_milli),
        rack_(std::move(rack)),
        relay_(record, machine_, seed) {
    StartProcess();
    std::thread([this] { CopyEntries(); }).detach();
  }

  const std::string& machine() const { return machine_; }
  /** The entry in the list of hosts. */
  review::Json Host() { return CurrentProcess().minion.Machine(); }
  /** The connection from the nodes. */
  Relay& relay() { return relay_; }

  /** Tasks at work. */
  std::set<std::string> Running() { return CurrentProcess().minion.Running(); }

  /** Ends the process, with all runs on it. Crashes overlap. */
  void Crash(const TargetLoss& loss) {
    if (crashes_++ == 0) {
      relay_.LoseTarget(loss);
      CurrentProcess().minion.Crash(-1);
    }
  }
  void Restart() {
    if (--crashes_ == 0) {
      StartProcess();
    }
  }

  /** Cuts the worker off from the store. Cuts overlap. */
  void CutFromStore() { ++cuts_; }
  void RejoinStore() { --cuts_; }

  /** Whether the entry expires while the store is down. */
  void SetExpiresInOutage(bool expires) { expires_in_outage_ = expires; }

  bool listed() const { return listed_; }

 private:
  struct Process {
    explicit Process(SoakWorker& worker)
        : registry(worker.record_),
          minion(worker.record_,
                 worker.runs_,
                 registry,
                 worker.machine_,
                 "payments",
                 worker.cpu_milli_,
                 worker.rack_,
                 "a") {}

    review::Store registry;
    review::Minion minion;
  };

  void StartProcess() {
    const std::lock_guard lock(mutex_);
    processes_.push_back(std::make_unique<Process>(*this));
    record_.Line("worker " + processes_.back()->minion.id() + ": process " +
                 std::to_string(processes_.size()) + " starts");
  }

  Process& CurrentProcess() {
    const std::lock_guard lock(mutex_);
    return *processes_.back();
  }

  void CopyEntries() {
    const Process* process = nullptr;
    std::size_t from = 0;
    while (true) {
      auto& current = CurrentProcess();
      if (&current != process) {
        process = &current;
        from = 0;
      }
      const auto address = current.registry.address();
      const int port = std::stoi(address.substr(address.find(':') + 1));
      const auto reply = review::Call(
          port, "GET",
          "/baobabfront/log-read?topic=keyed.servers&part=0&wait_ms=100&from=" +
              std::to_string(from),
          "registry", "", 2000);
      if (!current.minion.up()) {
        ExpireEntry();
        continue;
      }
      // The end and the first offset precede the records.
      constexpr std::size_t kHeaderBytes = 16;
      for (std::size_t at = kHeaderBytes; at + 4 < reply.body.size(); ++from) {
        std::size_t size = 0;
        for (int i = 0; i < 4; ++i) {
          size = size << 8 | static_cast<unsigned char>(reply.body[at + i]);
        }
        const std::size_t key_size =
            static_cast<unsigned char>(reply.body[at + 4]);
        CopyEntry(reply.body.substr(at + 5, key_size),
                  reply.body.substr(at + 5 + key_size, size - 1 - key_size));
        at += 4 + size;
      }
      ExpireEntry();
    }
  }

  void CopyEntry(const std::string& id, const std::string& value) {
    if (value.empty()) {
      return;
    }
    auto entry = review::Json::parse(value);
    const std::string address = entry.at("address");
    const int port = std::stoi(address.substr(address.find(':') + 1));
    // The first entry precedes the worker's listener.
    if (port == 1) {
      return;
    }
    relay_.SetTargetPort(port);
    if (cuts_ > 0 || store_.IsDown()) {
      return;
    }
    entry["address"] = relay_.address();
    store_.Put("keyed.servers", id, entry.dump());
    heard_at_ = review::Now();
    if (!listed_) {
      record_.Line("worker " + id + ": listed");
    }
    id_ = id;
    listed_ = true;
  }

  void ExpireEntry() {
    if (store_.IsDown() && !expires_in_outage_) {
      heard_at_ = review::Now();
    }
    if (listed_ && review::Now() - heard_at_ > kEntryLifetimeMs) {
      store_.Put("keyed.servers", id_, "");
      record_.Line("worker " + id_ + ": entry has expired");
      listed_ = false;
    }
  }

  review::Record& record_;
  review::Runs& runs_;
  review::Store& store_;
  const std::string machine_;
  const int cpu_milli_;
  const std::string rack_;
  Relay relay_;
  std::mutex mutex_;
  /** All processes so far; the threads of the former ones never end. */
  std::vector<std::unique_ptr<Process>> processes_;
  int crashes_ = 0;
  std::atomic<int> cuts_ = 0;
  std::atomic<bool> expires_in_outage_ = false;
  std::atomic<bool> listed_ = false;
  std::int64_t heard_at_ = 0;
  std::string id_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_SOAK_WORKER_H_
