// One machine with its minion, as PROTOCOL.md describes it. A run is a timer;
// its length stands in the job's spec: "ms=NUMBER", or "lasts".
#ifndef REVIEW_STANDIN_2_MINION_H_
#define REVIEW_STANDIN_2_MINION_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "record.h"
#include "store.h"

namespace review2 {

/** A run of a task at one life of a minion. */
struct Run {
  std::string task;
  std::int64_t number = 0;
  std::string minion;
  std::int64_t born = 0;
  std::int64_t begin_ms = 0;
  /** -1 while it is at work. */
  std::int64_t end_ms = -1;
  /** How it ended, as the minion lists it; "crash" if it was lost with it. */
  std::string how = {};
  /** Whether the caller has taken note of the end. */
  bool noted = false;
};

/** All runs of all minions, as they saw them. */
class Runs {
 public:
  std::size_t Begin(Run run) {
    std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
  }
  void End(std::size_t index, const std::string& how) {
    std::lock_guard lock(mutex_);
    auto& run = runs_[index];
    if (run.end_ms < 0) {
      run.end_ms = SteadyMs();
      run.how = how;
    }
  }
  void Note(std::size_t index) {
    std::lock_guard lock(mutex_);
    runs_[index].noted = true;
  }
  std::vector<Run> Copy() const {
    std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

/** What the stand-ins know of jobs and of gangs whose members run on several
 * minions. */
class Book {
 public:
  struct Gang {
    std::map<std::string, bool> present;
    std::size_t size = 0;
    /** When all members were present; 0 before. */
    std::int64_t begin_ms = 0;
    std::int64_t resumes_ms = 0;
    /** "broken" or "done" once the run is over. */
    std::string over;
  };

  void AddJob(const std::string& id, const Json& job) {
    std::lock_guard lock(mutex_);
    jobs_[id] = job;
  }
  /** Returns the step of the task, or null. */
  Json StepOf(const std::string& task) {
    std::lock_guard lock(mutex_);
    const auto it = jobs_.find(task.substr(0, task.find('.')));
    if (it == jobs_.end()) {
      return {};
    }
    const auto last = task.rfind('.');
    const auto step = task.rfind('.', last - 1);
    return it->second.at("steps").at(
        std::stoul(task.substr(step + 1, last - step - 1)));
  }
  std::shared_ptr<Gang> GangOf(const std::string& task, std::int64_t run) {
    std::lock_guard lock(mutex_);
    auto& gang =
        gangs_[task.substr(0, task.rfind('.')) + "#" + std::to_string(run)];
    if (!gang) {
      gang = std::make_shared<Gang>();
    }
    return gang;
  }
  std::mutex& gang_mutex() { return gang_mutex_; }

 private:
  std::mutex mutex_;
  std::mutex gang_mutex_;
  std::map<std::string, Json> jobs_;
  std::map<std::string, std::shared_ptr<Gang>> gangs_;
};

struct MinionOptions {
  std::string id;
  std::string service;
  std::string machine;
  std::string rack;
  std::int64_t cpu = 64000;
  std::int64_t mem_mb = 262144;
  std::string zone = "zone-1";
};

class Minion {
 public:
  enum class Fate { kAnswer, kLate, kCut };
  static constexpr std::int64_t kMaxHoldMs = 6000;
  static constexpr std::int64_t kStopMs = 60;
  static constexpr std::int64_t kHeartbeatMs = 1500;
  static constexpr std::int64_t kStartupMs = 700;
  static constexpr std::int64_t kGangWaitMs = 3000;
  static constexpr std::int64_t kCheckpointMs = 2000;
  static constexpr std::int64_t kRestoreMs = 250;
  /** Way there and back between zones; all nodes are in zone-1. */
  static constexpr std::int64_t kBetweenZonesUs = 1800;

  Minion(MinionOptions options,
         Store& store,
         Runs& runs,
         Book& book,
         Record& record)
      : options_(std::move(options)),
        store_(store),
        runs_(runs),
        book_(book),
        record_(record) {
    std::thread([this] { Tick(); }).detach();
  }

  const MinionOptions& options() const { return options_; }
  int port() const { return port_; }
  std::int64_t born() const { return born_; }

  /** Decides on an order that has arrived, before it is carried out. If it is
   * late, it gets no answer and is carried out after `late_ms`; if the minion
   * is cut off, it gets no answer and is never carried out. */
  std::function<Fate(const Request&, std::int64_t* late_ms)> on_order;

  /** Starts a life of the minion, or joins one that began `age_ms` ago; its
   * first entry is written at once. */
  void Start(std::int64_t age_ms = 0) {
    {
      std::lock_guard lock(mutex_);
      life_ = std::make_shared<Life>();
      life_->began_ms = SteadyMs() - age_ms;
      born_ = WallMs() - age_ms;
    }
    do {
      const int port =
          server_.Start(port_, [this](const Request& it) { return Serve(it); });
      if (port != 0) {
        port_ = port;
        break;
      }
      SleepMs(20);
    } while (true);
    up_ = true;
    record_.Line("minion %s starts, machine %s, born %lld", options_.id.c_str(),
                 options_.machine.c_str(), static_cast<long long>(born_));
    Heartbeat();
  }

  /** The process is killed: all that it ran and knew is lost. */
  void Crash() {
    up_ = false;
    server_.Stop();
    std::lock_guard lock(mutex_);
    if (!life_) {
      return;
    }
    for (auto& [task, run] : life_->running) {
      record_.Line("minion %s crashes under %s run %lld", options_.id.c_str(),
                   task.c_str(), static_cast<long long>(run.number));
      runs_.End(run.index, "crash");
      BreakGang(run);
    }
    life_.reset();
    changed_.notify_all();
    record_.Line("minion %s is down", options_.id.c_str());
  }

  bool IsUp() const { return up_; }
  bool IsRunning(const std::string& task) {
    std::lock_guard lock(mutex_);
    return life_ && life_->running.count(task) > 0;
  }
  std::size_t RunCount() {
    std::lock_guard lock(mutex_);
    return life_ ? life_->running.size() : 0;
  }

  /** The entry as the minion writes it. */
  Json Entry() {
    std::lock_guard lock(mutex_);
    return {{"service", options_.service},
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity",
             {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
            {"labels", {"a", options_.rack}},
            {"machine", options_.machine},
            {"born", born_.load()},
            {"clock_ms", life_ ? SteadyMs() - life_->began_ms + 1 : 1},
            {"seq", ++seq_}};
  }

 private:
  struct Active {
    std::int64_t number = 0;
    std::size_t index = 0;
    std::int64_t begin_ms = 0;
    /** 0 if it lasts. */
    std::int64_t length_ms = 0;
    /** When the stop takes effect; 0 if none was ordered. */
    std::int64_t stops_at_ms = 0;
    /** Work that was done before, and the newest checkpoint. */
    std::int64_t resumed_ms = 0;
    std::string saved = {};
    bool checkpoints = false;
    std::shared_ptr<Book::Gang> gang = {};
  };
  struct Ended {
    std::int64_t n = 0;
    std::string task;
    std::int64_t number = 0;
    std::string how;
    std::size_t index = 0;
    std::string saved = {};
  };
  struct Life {
    std::int64_t began_ms = 0;
    std::int64_t token = 0;
    std::int64_t lease_ms = 0;
    std::int64_t next_end = 1;
    std::map<std::string, Active> running;
    std::vector<Ended> ended;
    /** Highest run of a task that was stopped or has ended. */
    std::map<std::string, std::int64_t> shut_out;
  };

  void Heartbeat() {
    heartbeat_at_ms_ = SteadyMs();
    written_ = true;
    store_.Put("keyed.servers", options_.id, Entry().dump());
  }

  void EndRun(Life& life,
              std::map<std::string, Active>::iterator it,
              const std::string& how) {
    runs_.End(it->second.index, how);
    record_.Line("minion %s: %s run %lld ends %s", options_.id.c_str(),
                 it->first.c_str(), static_cast<long long>(it->second.number),
                 how.c_str());
    auto& shut_out = life.shut_out[it->first];
    shut_out = std::max(shut_out, it->second.number);
    if (it->second.checkpoints && how == "stopped") {
      Save(it->second, WorkDone(it->second));
    }
    life.ended.push_back({life.next_end++, it->first, it->second.number, how,
                          it->second.index, it->second.saved});
    if (how != "done") {
      BreakGang(it->second);
    }
    life.running.erase(it);
    changed_.notify_all();
  }

  void BreakGang(const Active& run) {
    if (run.gang) {
      std::lock_guard lock(book_.gang_mutex());
      if (run.gang->over.empty()) {
        run.gang->over = "broken";
      }
    }
  }

  /** Returns the work that the run has done, in ms. */
  std::int64_t WorkDone(const Active& run) {
    auto begin = run.begin_ms;
    if (run.gang) {
      std::lock_guard lock(book_.gang_mutex());
      if (run.gang->begin_ms == 0) {
        return run.resumed_ms;
      }
      begin = run.gang->begin_ms;
    }
    const auto restore = run.resumed_ms > 0 ? kRestoreMs : 0;
    return run.resumed_ms +
           std::max<std::int64_t>(0, SteadyMs() - begin - restore);
  }

  static void Save(Active& run, std::int64_t work) {
    if (work > 0) {
      run.saved = "c" + std::to_string(work);
    }
  }

  /** Returns how the run ends now; empty if it goes on. */
  std::string EndOf(Active& run, std::int64_t now, std::int64_t clock) {
    if (clock > life_->lease_ms) {
      return "lapsed";
    }
    if (run.stops_at_ms != 0 && now >= run.stops_at_ms) {
      return "stopped";
    }
    const auto work = WorkDone(run);
    if (run.checkpoints && work / kCheckpointMs * kCheckpointMs >
                               run.resumed_ms / kCheckpointMs * kCheckpointMs) {
      Save(run, work / kCheckpointMs * kCheckpointMs);
    }
    if (run.gang) {
      std::lock_guard lock(book_.gang_mutex());
      auto& gang = *run.gang;
      if (!gang.over.empty()) {
        return gang.over;
      }
      if (gang.begin_ms == 0) {
        return now - run.begin_ms > kGangWaitMs ? "alone" : "";
      }
      if (run.length_ms > 0 && work >= run.length_ms) {
        gang.over = "done";
        return "done";
      }
      return "";
    }
    return run.length_ms > 0 && work >= run.length_ms ? "done" : "";
  }

  void Tick() {
    for (;;) {
      SleepMs(5);
      const auto now = SteadyMs();
      if (up_ && now - heartbeat_at_ms_ >= kHeartbeatMs) {
        Heartbeat();
      } else if (!up_ && written_ &&
                 now - heartbeat_at_ms_ >= 3 * kHeartbeatMs) {
        // The store removes the entry after three intervals of silence.
        written_ = false;
        store_.Put("keyed.servers", options_.id, "");
      }
      std::lock_guard lock(mutex_);
      if (!life_) {
        continue;
      }
      const auto clock = now - life_->began_ms + 1;
      for (auto it = life_->running.begin(); it != life_->running.end();) {
        const auto current = it++;
        if (const auto how = EndOf(current->second, now, clock); !how.empty()) {
          EndRun(*life_, current, how);
        }
      }
    }
  }

  Reply Serve(const Request& request) {
    std::int64_t late_ms = 0;
    const auto fate = on_order ? on_order(request, &late_ms) : Fate::kAnswer;
    if (fate == Fate::kCut) {
      Reply none;
      none.silent = true;
      return none;
    }
    if (fate == Fate::kLate) {
      std::thread([this, request, late_ms] {
        SleepMs(late_ms);
        if (up_) {
          record_.Line("minion %s: a held-up call %s arrives: %s",
                       options_.id.c_str(), request.path.c_str(),
                       request.body.substr(0, 300).c_str());
          const auto reply = Handle(request);
          record_.Line("minion %s: its result would be %d %s",
                       options_.id.c_str(), reply.status,
                       reply.body.substr(0, 200).c_str());
        }
      }).detach();
      Reply none;
      none.silent = true;
      return none;
    }
    if (options_.zone != "zone-1") {
      std::this_thread::sleep_for(std::chrono::microseconds(kBetweenZonesUs));
    }
    return Handle(request);
  }

  Reply Handle(const Request& request) {
    if (request.method == "GET") {
      return {200, "{}"};
    }
    if (const auto expected = request.Header("x-expect-instance");
        !expected.empty() && expected != options_.id) {
      return {421, "{}"};
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      return {400, "{}"};
    }
    const auto name = request.path.substr(request.path.rfind('/') + 1);
    std::unique_lock lock(mutex_);
    const auto life = life_;
    if (!life) {
      Reply none;
      none.silent = true;
      return none;
    }
    const auto clock = [&life] { return SteadyMs() - life->began_ms + 1; };
    const auto refuse = [&](const char* reason) {
      return Reply{409, Json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
    };
    const auto token = body.value("fencing_token", std::int64_t{0});
    if (token < life->token) {
      return refuse("fence");
    }
    life->token = token;
    if (name == "run-start") {
      return StartRun(*life, body, clock(), refuse);
    }
    if (name == "run-stop") {
      const auto task = body.at("task").get<std::string>();
      const auto number = body.at("run").get<std::int64_t>();
      auto& shut_out = life->shut_out[task];
      shut_out = std::max(shut_out, number);
      const auto it = life->running.find(task);
      if (it != life->running.end() && it->second.number <= number &&
          it->second.stops_at_ms == 0) {
        it->second.stops_at_ms = SteadyMs() + kStopMs;
      }
      record_.Line("minion %s: stop of %s run %lld", options_.id.c_str(),
                   task.c_str(), static_cast<long long>(number));
      return {200, Json{{"clock_ms", clock()}}.dump()};
    }
    if (name == "pace") {
      return {200, Json{{"clock_ms", clock()}}.dump()};
    }
    if (name != "hold") {
      return {404, "{}"};
    }
    const auto seen = body.value("last_seen", std::int64_t{0});
    for (auto it = life->ended.begin();
         it != life->ended.end() && it->n <= seen;) {
      runs_.Note(it->index);
      it = life->ended.erase(it);
    }
    Extend(*life, body, clock());
    const auto wait =
        std::min<std::int64_t>(2000, body.value("wait_ms", std::int64_t{0}));
    changed_.wait_for(lock, std::chrono::milliseconds(wait),
                      [&] { return life != life_ || !life->ended.empty(); });
    if (life != life_) {
      Reply none;
      none.silent = true;
      return none;
    }
    Json running = Json::array();
    for (const auto& [task, run] : life->running) {
      const auto age = SteadyMs() - run.begin_ms;
      const auto percent =
          run.length_ms > 0
              ? std::min<std::int64_t>(99, age * 100 / run.length_ms)
              : (age >= kStartupMs ? 100 : 0);
      running.push_back({task, run.number, run.saved, percent, 1000});
    }
    Json ended = Json::array();
    for (const auto& it : life->ended) {
      if (ended.size() == 500) {
        break;
      }
      ended.push_back({it.n, it.task, it.number, it.how, it.saved});
    }
    return {200, Json{{"clock_ms", clock()},
                      {"born", born_.load()},
                      {"running", running},
                      {"ended", ended}}
                     .dump()};
  }

  static void Extend(Life& life, const Json& body, std::int64_t clock) {
    if (body.contains("deadline_ms")) {
      life.lease_ms = std::max(
          life.lease_ms, std::min(body.at("deadline_ms").get<std::int64_t>(),
                                  clock + kMaxHoldMs));
    }
  }

  template <typename Refuse>
  Reply StartRun(Life& life,
                 const Json& body,
                 std::int64_t clock,
                 const Refuse& refuse) {
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    const auto spec = body.at("spec").get<std::string>();
    if (body.value("deadline_ms", std::int64_t{0}) <= clock) {
      return refuse("late");
    }
    Extend(life, body, clock);
    const auto it = life.running.find(task);
    if (it != life.running.end() && it->second.number == number) {
      return {200, Json{{"clock_ms", clock}}.dump()};
    }
    const auto shut_out = life.shut_out.find(task);
    if ((shut_out != life.shut_out.end() && number <= shut_out->second) ||
        it != life.running.end()) {
      return refuse("old");
    }
    Active run;
    run.number = number;
    run.begin_ms = SteadyMs();
    const auto at = spec.find("ms=");
    run.length_ms =
        at == std::string::npos ? 0 : std::stoll(spec.substr(at + 3));
    run.index = runs_.Begin({task, number, options_.id, born_, run.begin_ms});
    run.saved = body.value("last_checkpoint", "");
    if (!run.saved.empty()) {
      run.resumed_ms = std::stoll(run.saved.substr(1));
    }
    if (const auto step = book_.StepOf(task); step.is_object()) {
      run.checkpoints = step.value("checkpoints", false);
      if (step.value("gang", false)) {
        run.gang = book_.GangOf(task, number);
        std::lock_guard lock(book_.gang_mutex());
        auto& gang = *run.gang;
        gang.present[task] = true;
        gang.size = step.value("count", std::size_t{1});
        if (gang.present.size() == gang.size) {
          gang.begin_ms = SteadyMs();
        }
      }
    }
    life.running[task] = run;
    record_.Line("minion %s: %s run %lld starts, token %lld, checkpoint \"%s\"",
                 options_.id.c_str(), task.c_str(),
                 static_cast<long long>(number),
                 static_cast<long long>(life.token), run.saved.c_str());
    return {200, Json{{"clock_ms", clock}}.dump()};
  }

  const MinionOptions options_;
  Store& store_;
  Runs& runs_;
  Book& book_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::shared_ptr<Life> life_;
  std::atomic<std::int64_t> born_{0};
  std::atomic<bool> up_{false};
  std::atomic<bool> written_{false};
  std::atomic<std::int64_t> heartbeat_at_ms_{0};
  std::int64_t seq_ = 0;
  Server server_;
  int port_ = FreePort();
};

}  // namespace review2

#endif  // REVIEW_STANDIN_2_MINION_H_
