#ifndef TESTS_SOAK_SOAK_WORKER_H_
#define TESTS_SOAK_SOAK_WORKER_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "minion.hpp"
#include "relay.h"

namespace baobab {

/** A worker whose connections to the store and to the nodes can fail
 * separately. It registers in a store of its own, from which its entry is
 * copied to the platform's store while it reaches that. Never destroyed. */
class SoakWorker {
 public:
  /** Silence after which the platform removes an entry. */
  static constexpr std::int64_t kEntryLifetimeMs = 3 * review::Minion::kBeatMs;

  SoakWorker(review::Record& record,
             review::Runs& runs,
             review::Store& store,
             const std::string& machine,
             int cpu_milli,
             const std::string& rack,
             std::uint64_t seed)
      : record_(record),
        store_(store),
        registry_(record),
        relay_(seed),
        minion_(record,
                runs,
                registry_,
                machine,
                "payments",
                cpu_milli,
                rack,
                "a") {
    std::thread([this] { CopyEntries(); }).detach();
  }

  review::Minion& minion() { return minion_; }
  /** The connection from the nodes. */
  Relay& relay() { return relay_; }

  /** Cuts the worker off from the store. Cuts overlap. */
  void CutFromStore() { ++cuts_; }
  void RejoinStore() { --cuts_; }

  /** Whether the entry expires while the store is down. */
  void SetExpiresInOutage(bool expires) { expires_in_outage_ = expires; }

  bool listed() const { return listed_; }

 private:
  void CopyEntries() {
    const auto address = registry_.address();
    const int port = std::stoi(address.substr(address.find(':') + 1));
    std::size_t from = 0;
    while (true) {
      const auto reply = review::Call(
          port, "GET",
          "/baobabfront/log-read?topic=keyed.servers&part=0&wait_ms=100&from=" +
              std::to_string(from),
          "registry", "", 2000);
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
    if (value.empty() || cuts_ > 0 || store_.IsDown()) {
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
  review::Store& store_;
  review::Store registry_;
  Relay relay_;
  review::Minion minion_;
  std::atomic<int> cuts_ = 0;
  std::atomic<bool> expires_in_outage_ = false;
  std::atomic<bool> listed_ = false;
  std::int64_t heard_at_ = 0;
  std::string id_;
};

}  // namespace baobab

#endif  // TESTS_SOAK_SOAK_WORKER_H_
