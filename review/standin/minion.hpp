#ifndef REVIEW_STANDIN_MINION_HPP_
#define REVIEW_STANDIN_MINION_HPP_

// Stand-in of a minion, as PROTOCOL.md describes it, and the list of all runs
// by which a case is judged.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store.hpp"

namespace review {

/** One run of a task, as its minion saw it. */
struct Run {
  std::string task;
  std::int64_t number = 0;
  std::string minion;
  std::int64_t started_at = 0;
  /** When it ended; -1 while it is at work. */
  std::int64_t ended_at = -1;
  std::string how;
  /** When last_seen reached its end; -1 before. */
  std::int64_t noted_at = -1;
  /** The lease of the minion lapsed between the end and its note. */
  bool lapsed_between = false;
};

/** All runs on all minions. */
class Runs {
 public:
  std::shared_ptr<Run> Add(Run run) {
    const std::lock_guard lock(mutex_);
    all_.push_back(std::make_shared<Run>(std::move(run)));
    return all_.back();
  }
  std::vector<Run> Copy() {
    const std::lock_guard lock(mutex_);
    std::vector<Run> out;
    for (const auto& it : all_) {
      out.push_back(*it);
    }
    return out;
  }
  /** Number of runs of the job's tasks that ended so. */
  int Count(const std::string& job, const std::string& how) {
    const auto all = Copy();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [&](const auto& it) {
          return it.task.starts_with(job) && it.how == how;
        }));
  }
  int Started(const std::string& job) {
    const auto all = Copy();
    return static_cast<int>(std::count_if(
        all.begin(), all.end(),
        [&](const auto& it) { return it.task.starts_with(job); }));
  }

  /** The rule TWICE: two runs of a task at the same time, or a start after a
   * run has ended `done` and that end was noted. Returns the number of tasks
   * concerned and writes the first ones to the record. */
  int Twice(Record& record) {
    std::map<std::string, std::vector<Run>> by_task;
    for (const auto& it : Copy()) {
      by_task[it.task].push_back(it);
    }
    int tasks = 0;
    for (const auto& [task, runs] : by_task) {
      std::string why;
      for (const auto& a : runs) {
        for (const auto& b : runs) {
          if (b.number == a.number && b.minion == a.minion) {
            continue;
          }
          if (b.started_at >= a.started_at &&
              (a.ended_at < 0 || b.started_at < a.ended_at)) {
            why = Text(a) + " and " + Text(b) + " at the same time";
          } else if (a.how == "done" && b.started_at >= a.ended_at &&
                     a.noted_at >= 0 && !a.lapsed_between) {
            why = Text(b) + " after " + Text(a);
          }
        }
      }
      if (!why.empty() && ++tasks <= 10) {
        record.Line("TWICE: task " + task + ": " + why);
      }
    }
    record.Line("judge: TWICE is broken for " + std::to_string(tasks) + " of " +
                std::to_string(by_task.size()) + " tasks that ran");
    return tasks;
  }

 private:
  static std::string Text(const Run& it) {
    return "run " + std::to_string(it.number) + " on " + it.minion + " (" +
           std::to_string(it.started_at) + " to " +
           std::to_string(it.ended_at) + " ms, " +
           (it.how.empty() ? "at work" : it.how) + ", noted at " +
           std::to_string(it.noted_at) + ")";
  }

  std::mutex mutex_;
  std::vector<std::shared_ptr<Run>> all_;
};

/** What the minions run is written in a job's `spec`: "work MIN MAX" works for
 * MIN to MAX ms, spread over the tasks of a step; "lasts" until it is stopped.
 * With "advised" a start must carry the ticket of the advice service. */
class Minion {
 public:
  static constexpr std::int64_t kMaxHoldMs = 6000;
  static constexpr std::int64_t kStopMs = 100;
  static constexpr std::int64_t kBeatMs = 1500;
  static constexpr int kEndsAtATime = 500;

  Minion(Record& record,
         Runs& runs,
         Store& store,
         std::string machine,
         std::string service,
         int cpu_milli,
         std::string rack,
         std::string kind)
      : record_(record),
        runs_(runs),
        store_(store),
        machine_(std::move(machine)),
        service_(std::move(service)),
        cpu_milli_(cpu_milli),
        rack_(std::move(rack)),
        kind_(std::move(kind)) {
    Begin();
    server_ = std::make_unique<Server>(
        [this](const Request& request) { return Serve(request); });
    std::thread([this] { Beat(); }).detach();
    std::thread([this] { Tick(); }).detach();
  }

  const std::string& machine() const { return machine_; }
  std::string id() {
    const std::lock_guard lock(mutex_);
    return id_;
  }
  std::string service() {
    const std::lock_guard lock(mutex_);
    return service_;
  }
  bool up() {
    const std::lock_guard lock(mutex_);
    return up_;
  }
  Json Machine() {
    const std::lock_guard lock(mutex_);
    return {{"machine", machine_},
            {"pool", service_},
            {"state", up_ ? "up" : "down"},
            {"zone", "z1"},
            {"labels", {kind_, rack_}},
            {"capacity", Capacity()},
            {"id", id_}};
  }

  /** The process crashes and sends nothing; the store drops its entry after
   * three heartbeats of silence. After `down_ms` a new minion is there. With a
   * negative time it is lost for good. */
  void Crash(std::int64_t down_ms, const std::string& pool = "") {
    {
      const std::lock_guard lock(mutex_);
      record_.Line("minion " + id_ + " of " + machine_ + " crashes with " +
                   std::to_string(running_.size()) + " runs");
      up_ = false;
      std::thread([this, id = id_] {
        SleepMs(3 * kBeatMs);
        store_.Put("keyed.servers", id, "");
      }).detach();
      for (auto& [task, it] : running_) {
        it.run->ended_at = Now();
        it.run->how = "gone";
      }
      running_.clear();
      changed_.notify_all();
    }
    if (down_ms < 0) {
      return;
    }
    std::thread([this, down_ms, pool] {
      SleepMs(down_ms);
      {
        const std::lock_guard lock(mutex_);
        if (!pool.empty()) {
          service_ = pool;
        }
      }
      Begin();
    }).detach();
  }

  /** Tasks at work, by name. */
  std::set<std::string> Running() {
    const std::lock_guard lock(mutex_);
    std::set<std::string> out;
    for (const auto& [task, it] : running_) {
      out.insert(task);
    }
    return out;
  }
  bool Has(const std::string& task) { return Running().contains(task); }

 private:
  struct Active {
    std::shared_ptr<Run> run;
    std::int64_t begun_at = 0;
    std::int64_t ends_at = -1;
    bool stopping = false;
  };
  struct End {
    std::int64_t number;
    std::shared_ptr<Run> run;
  };

  Json Capacity() const {
    return {{"cpu", cpu_milli_}, {"mem_mb", 262144}, {"gpu", 0}};
  }
  std::int64_t ClockMs() const { return Now() - begun_at_; }

  void Begin() {
    const std::lock_guard lock(mutex_);
    char id[16];
    std::snprintf(id, sizeof(id), "i-%s%05x", machine_.substr(2).c_str(),
                  ++lives_);
    id_ = id;
    up_ = true;
    begun_at_ = Now();
    born_ = WallNow();
    fence_ = 0;
    lease_ = 0;
    last_end_ = 0;
    ends_.clear();
    highest_.clear();
    Register();
  }

  void Register() {
    store_.Put("keyed.servers", id_,
               Json{{"service", service_},
                    {"address", server_ ? server_->address() : "127.0.0.1:1"},
                    {"zone", "z1"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"capacity", Capacity()},
                    {"labels", {kind_, rack_}},
                    {"machine", machine_},
                    {"born", born_},
                    {"clock_ms", ClockMs()},
                    {"seq", ++beats_}}
                   .dump());
  }

  void Beat() {
    while (true) {
      if (!store_.IsDown()) {
        const std::lock_guard lock(mutex_);
        if (up_) {
          Register();
        }
      }
      SleepMs(beats_ < 2 ? 20 : kBeatMs);
    }
  }

  void Finish(std::map<std::string, Active>::iterator it, const char* how) {
    auto& run = it->second.run;
    run->ended_at = Now();
    run->how = how;
    highest_[run->task] = std::max(highest_[run->task], run->number);
    ends_.push_back({++last_end_, run});
    running_.erase(it);
    changed_.notify_all();
  }

  void Tick() {
    while (true) {
      SleepMs(5);
      const std::lock_guard lock(mutex_);
      if (!up_) {
        continue;
      }
      const bool lapsed = ClockMs() > lease_;
      for (auto it = running_.begin(); it != running_.end();) {
        const auto next = std::next(it);
        if (it->second.ends_at >= 0 && Now() >= it->second.ends_at) {
          Finish(it, it->second.stopping ? "stopped" : "done");
        } else if (lapsed) {
          Finish(it, "lapsed");
        }
        it = next;
      }
      if (lapsed) {
        for (auto& it : ends_) {
          it.run->lapsed_between = true;
        }
      }
    }
  }

  std::optional<Response> Serve(const Request& request) {
    std::unique_lock lock(mutex_);
    if (!up_) {
      return std::nullopt;
    }
    const auto path = PathOf(request);
    if (path == "/health") {
      return Answer(200);
    }
    const Json body = Json::parse(request.body());
    const auto reply = [&](int status, Json out) {
      out["clock_ms"] = ClockMs();
      out["born"] = born_;
      return Answer(status, out.dump());
    };
    const auto wanted = std::string(request["X-Expect-Instance"]);
    if (!wanted.empty() && wanted != id_) {
      return reply(421, Json::object());
    }
    const auto token = body.value("fencing_token", std::int64_t{0});
    if (token < fence_) {
      return reply(409, {{"reason", "fence"}});
    }
    fence_ = token;
    const auto extend = [&] {
      if (body.contains("deadline_ms")) {
        lease_ =
            std::max(lease_, std::min(body["deadline_ms"].get<std::int64_t>(),
                                      ClockMs() + kMaxHoldMs));
      }
    };
    if (path == "/baobabfront/run-start") {
      return Start(body, reply, extend);
    }
    if (path == "/baobabfront/run-stop") {
      const std::string task = body.at("task");
      const std::int64_t number = body.at("run");
      const auto it = running_.find(task);
      if (it != running_.end() && it->second.run->number == number) {
        if (!it->second.stopping) {
          it->second.stopping = true;
          it->second.ends_at = Now() + kStopMs;
        }
      } else {
        highest_[task] = std::max(highest_[task], number);
      }
      return reply(200, Json::object());
    }
    if (path == "/baobabfront/pace") {
      return reply(200, Json::object());
    }
    if (path == "/baobabfront/hold") {
      const std::int64_t seen = body.value("last_seen", std::int64_t{0});
      std::erase_if(ends_, [&](const auto& it) {
        if (it.number <= seen) {
          it.run->noted_at = Now();
        }
        return it.number <= seen;
      });
      extend();
      const auto life = id_;
      const auto last = last_end_;
      const auto until = Clock::now() + std::chrono::milliseconds(body.value(
                                            "wait_ms", std::int64_t{0}));
      if (ends_.empty()) {
        changed_.wait_until(lock, until, [&] {
          return last_end_ > last || id_ != life || !up_;
        });
      }
      if (!up_ || id_ != life) {
        return std::nullopt;
      }
      Json running = Json::array();
      for (const auto& [task, it] : running_) {
        running.push_back({task, it.run->number, "", Percent(it), 0});
      }
      Json ended = Json::array();
      for (const auto& it : ends_) {
        if (ended.size() < kEndsAtATime) {
          ended.push_back(
              {it.number, it.run->task, it.run->number, it.run->how, ""});
        }
      }
      if (ends_.size() > kEndsAtATime && !many_) {
        many_ = true;
        record_.Line("minion " + id_ + ": " + std::to_string(ends_.size()) +
                     " ends are not taken note of; a report lists 500 of them");
      }
      return reply(200, {{"running", running}, {"ended", ended}});
    }
    return Answer(404);
  }

  static int Percent(const Active& it) {
    const auto passed = Now() - it.begun_at;
    if (it.ends_at < 0) {
      return passed > 500 ? 100 : 0;
    }
    return static_cast<int>(std::min<std::int64_t>(
        99,
        100 * passed / std::max<std::int64_t>(1, it.ends_at - it.begun_at)));
  }

  template <typename R, typename E>
  std::optional<Response> Start(const Json& body,
                                const R& reply,
                                const E& extend) {
    const std::string task = body.at("task");
    const std::int64_t number = body.at("run");
    const auto old = running_.find(task);
    if (old != running_.end() && old->second.run->number == number) {
      return reply(200, Json::object());
    }
    if (highest_.contains(task) && number <= highest_[task]) {
      extend();
      return reply(409, {{"reason", "old"}});
    }
    if (body.at("deadline_ms").get<std::int64_t>() <= ClockMs()) {
      return reply(409, {{"reason", "late"}});
    }
    const std::string spec = body.at("spec");
    if (spec.find("advised") != std::string::npos &&
        body.value("ticket", "") !=
            "t-" + task.substr(0, task.rfind('.')) + "-" + id_) {
      return reply(409, {{"reason", "ticket"}});
    }
    extend();
    Active active;
    active.begun_at = Now();
    if (long least = 0, most = 0;
        std::sscanf(spec.c_str(), "work %ld %ld", &least, &most) == 2) {
      const auto index = std::stol(task.substr(task.rfind('.') + 1));
      active.ends_at =
          Now() + least + (most - least) * ((index * 37) % 100) / 100;
    }
    active.run = runs_.Add({task, number, id_, Now()});
    if (old != running_.end()) {
      running_.erase(old);
    }
    running_[task] = active;
    return reply(200, Json::object());
  }

  Record& record_;
  Runs& runs_;
  Store& store_;
  const std::string machine_;
  std::string service_;
  const int cpu_milli_;
  const std::string rack_;
  const std::string kind_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::string id_;
  int lives_ = 0;
  bool up_ = false;
  bool many_ = false;
  std::int64_t begun_at_ = 0;
  std::int64_t born_ = 0;
  std::int64_t fence_ = 0;
  /** End of the lease on the minion's clock. */
  std::int64_t lease_ = 0;
  std::int64_t last_end_ = 0;
  std::atomic<int> beats_ = 0;
  std::deque<End> ends_;
  std::map<std::string, Active> running_;
  /** Highest run of a task that was stopped or ended here. */
  std::map<std::string, std::int64_t> highest_;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_MINION_HPP_
