#ifndef TESTS_SOAK_SOAK_NODE_H_
#define TESTS_SOAK_SOAK_NODE_H_

#include <csignal>
#include <cstdint>
#include <string>

#include "deployment.hpp"
#include "relay.h"

namespace baobab {

/** A node's process, which is stopped, killed, paused and started again. It
 * reaches the store through a relay. Not thread-safe: a process is bound to the
 * thread that starts it. */
class SoakNode {
 public:
  /** Time from SIGTERM to SIGKILL. */
  static constexpr std::int64_t kGraceMs = 6000;

  SoakNode(review::Record& record,
           const std::string& name,
           const std::string& folder,
           int store_port,
           const std::string& hosts,
           const std::string& advice,
           std::uint64_t seed)
      : name_(name),
        relay_(record, name, seed),
        node_(record, name, folder, relay_.address(), hosts, advice) {
    relay_.SetTargetPort(store_port);
    Start();
  }

  const std::string& name() const { return name_; }
  int port() const { return node_.front(); }
  /** The connection to the store. */
  Relay& relay() { return relay_; }

  void Start() {
    node_.Start();
    is_running_ = true;
  }

  /** Sends SIGTERM, and SIGKILL after the grace time. The process is started
   * again `restart_ms` after it has ended, at the next `Tick`. */
  void Stop(std::int64_t restart_ms) {
    if (is_running_ && kill_at_ < 0) {
      node_.Signal(SIGTERM);
      kill_at_ = review::Now() + kGraceMs;
      restart_ms_ = restart_ms;
    }
  }

  void Kill(std::int64_t restart_ms) {
    if (is_running_) {
      node_.Signal(SIGKILL);
      node_.Kill();
      restart_ms_ = restart_ms;
      SetEnded();
    }
  }

  /** Pauses overlap. */
  void Pause() {
    if (is_running_ && pauses_++ == 0) {
      node_.Signal(SIGSTOP);
    }
  }
  void Resume() {
    // A process that was started after the pause is not paused.
    if (pauses_ > 0 && --pauses_ == 0) {
      node_.Signal(SIGCONT);
    }
  }

  /** Continues what is due. Returns false if the process has ended without a
   * signal. */
  bool Tick() {
    if (is_running_ && node_.HasEnded()) {
      const bool was_stopped = kill_at_ >= 0;
      if (!was_stopped) {
        restart_ms_ = 0;
      }
      SetEnded();
      return was_stopped;
    }
    if (is_running_ && kill_at_ >= 0 && review::Now() > kill_at_) {
      Kill(restart_ms_);
    }
    if (!is_running_ && review::Now() >= restart_at_) {
      Start();
    }
    return true;
  }

 private:
  void SetEnded() {
    is_running_ = false;
    kill_at_ = -1;
    pauses_ = 0;
    restart_at_ = review::Now() + restart_ms_;
  }

  const std::string name_;
  Relay relay_;
  review::Node node_;
  bool is_running_ = false;
  int pauses_ = 0;
  /** When SIGKILL follows SIGTERM; -1 if the process is not being stopped. */
  std::int64_t kill_at_ = -1;
  std::int64_t restart_ms_ = 0;
  std::int64_t restart_at_ = 0;
};

}  // namespace baobab

#endif  // TESTS_SOAK_SOAK_NODE_H_
