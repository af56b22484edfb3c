#include "libtelemetry/timeline.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstring>
#include <mutex>
#include <string_view>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "libtelemetry/log.h"

namespace baobab {

namespace {

constexpr std::chrono::seconds kFlushInterval{1};
/** Buffered bytes at which the writer wakes before the interval ends. */
constexpr std::size_t kFlushThresholdBytes = 64 * 1024;
/** Buffered bytes at which entries are dropped, so that a full or stalled disk
 * does not exhaust the memory of the node. */
constexpr std::size_t kMaxBufferBytes = 1024 * 1024;

}  // namespace

class Timeline::Impl {
 public:
  Impl(const std::string& path, const NodeId& node, Incarnation incarnation)
      : path_(path), node_(node), incarnation_(incarnation) {
    if (path.empty()) {
      return;
    }
    fd_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd_ < 0) {
      Log(LogLevel::kError, "node", "time line file {} cannot be opened: {}",
          path, std::strerror(errno));
      return;
    }
    writer_ = std::thread([this] { RunWriter(); });
  }

  ~Impl() {
    if (fd_ < 0) {
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    writer_.join();
    close(fd_);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Write(const TimelineEntry& entry, std::int64_t wall_ms) {
    bool wake = false;
    {
      const std::lock_guard lock(mutex_);
      ++clock_;
      if (path_.empty()) {
        return;
      }
      if (fd_ < 0 || buffer_.size() >= kMaxBufferBytes) {
        ++dropped_entries_;
        ++unreported_dropped_entries_;
        return;
      }
      if (unreported_dropped_entries_ > 0) {
        Append({"entries-dropped", "node/" + node_.value(), "",
                std::to_string(unreported_dropped_entries_) +
                    " entries were dropped because the file could not be "
                    "written"},
               wall_ms);
        unreported_dropped_entries_ = 0;
        ++clock_;
      }
      Append(entry, wall_ms);
      wake = buffer_.size() >= kFlushThresholdBytes;
    }
    if (wake) {
      wake_.notify_one();
    }
  }

  void MergeClock(std::uint64_t clock) {
    const std::lock_guard lock(mutex_);
    clock_ = std::max(clock_, clock);
  }

  std::uint64_t clock() const {
    const std::lock_guard lock(mutex_);
    return clock_;
  }

  std::uint64_t dropped_entries() const {
    const std::lock_guard lock(mutex_);
    return dropped_entries_;
  }

 private:
  /** Adds an entry to the buffer as a JSON line. */
  void Append(const TimelineEntry& entry, std::int64_t wall_ms) {
    nlohmann::ordered_json json = {
        {"node", node_.value()},    {"incarnation", incarnation_.value()},
        {"sequence", ++sequence_},  {"clock", clock_},
        {"wall_ms", wall_ms},       {"kind", entry.kind},
        {"subject", entry.subject}, {"cause", entry.cause},
        {"detail", entry.detail}};
    buffer_ += json.dump(-1, ' ', false,
                         nlohmann::ordered_json::error_handler_t::replace);
    buffer_ += '\n';
  }

  /** Body of the writer thread. */
  void RunWriter() {
    std::unique_lock lock(mutex_);
    for (bool last_round = false; !last_round;) {
      wake_.wait_for(lock, kFlushInterval, [this] {
        return stopping_ ||
               (!write_failing_ && buffer_.size() >= kFlushThresholdBytes);
      });
      last_round = stopping_;
      const std::string data = buffer_;
      lock.unlock();
      const std::size_t written = WriteAll(data);
      lock.lock();
      // Unwritten bytes stay in the buffer, so that a partly written line is
      // completed when the disk has space again.
      buffer_.erase(0, written);
    }
    const auto lost_entries = std::count(buffer_.begin(), buffer_.end(), '\n');
    if (lost_entries > 0) {
      dropped_entries_ += lost_entries;
      Log(LogLevel::kError, "node",
          "time line file {}: lost {} entries at exit", path_, lost_entries);
    }
  }

  /** Writes until an error occurs; returns the number of bytes written. */
  std::size_t WriteAll(std::string_view data) {
    std::size_t written = 0;
    while (written < data.size()) {
      const ssize_t n =
          write(fd_, data.data() + written, data.size() - written);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        if (!write_failing_.exchange(true)) {
          Log(LogLevel::kWarning, "node",
              "time line file {} cannot be written: {}", path_,
              std::strerror(errno));
        }
        return written;
      }
      written += static_cast<std::size_t>(n);
    }
    if (!data.empty()) {
      write_failing_ = false;
    }
    return written;
  }

  const std::string path_;
  const NodeId node_;
  const Incarnation incarnation_;
  int fd_ = -1;
  std::thread writer_;
  std::atomic<bool> write_failing_ = false;

  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::string buffer_;
  std::uint64_t clock_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_entries_ = 0;
  std::uint64_t unreported_dropped_entries_ = 0;
};

Timeline::Timeline(const std::string& path,
                   const NodeId& node,
                   Incarnation incarnation)
    : impl_(std::make_unique<Impl>(path, node, incarnation)) {}

Timeline::~Timeline() = default;

void Timeline::Write(const TimelineEntry& entry, std::int64_t wall_ms) {
  impl_->Write(entry, wall_ms);
}

void Timeline::MergeClock(std::uint64_t clock) {
  impl_->MergeClock(clock);
}

std::uint64_t Timeline::clock() const {
  return impl_->clock();
}

std::uint64_t Timeline::dropped_entries() const {
  return impl_->dropped_entries();
}

}  // namespace baobab
