// Stand-in of a minion: one process for each life.
// worker ID PORT STORE_PORT SERVICE MACHINE RACK CPU MEM LOG [late_start]
//
// The spec of a task says how it behaves: "ms=N" is done after N ms of work,
// "lasts" runs until it is stopped. LOG gets a line for each order and end,
// with the wall clock in ms. `late_start` is a path: while it exists, the next
// start order gets no answer and is carried out by the process that listens at
// the port N ms later, N being the file's content; the file is removed.
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

using nlohmann::json;
using namespace s3;

namespace {

constexpr std::int64_t kMaxHoldMs = 6000;
constexpr std::int64_t kStopMs = 200;

std::mutex mutex;
std::condition_variable changed;
std::int64_t begin_ms, born;
std::string id, log_path, late_path;
int port = 0;

std::int64_t Clock() {
  return SteadyMs() - begin_ms + 1000;
}

struct Run {
  std::int64_t run = 0;
  std::string spec;
  std::int64_t started = 0;
  std::int64_t stop_at = 0;
  // Work that was done before, by the checkpoint of the start.
  std::int64_t before = 0;
  std::string carried;
};
std::map<std::string, Run> running;
std::map<std::string, std::int64_t> highest;
struct Ended {
  std::int64_t n;
  std::string task;
  std::int64_t run;
  std::string how, saved;
};
std::vector<Ended> ended;
std::int64_t ends = 0, fence = 0, lease = 0;

void Note(const std::string& text) {
  std::ofstream(log_path, std::ios::app)
      << WallMs() << " " << id << " born=" << born << " " + text + "\n";
}

// "saves=N": a checkpoint with each N ms of work, of 16 characters.
std::string Checkpoint(const Run& it) {
  const auto saves = it.spec.find("saves=");
  if (saves == std::string::npos)
    return it.carried;
  const auto each = std::atoll(it.spec.c_str() + saves + 6);
  const auto worked = it.before + Clock() - it.started;
  if (worked < each)
    return it.carried;
  char text[32];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(worked / each * each));
  return text;
}

void End(const std::string& task, const std::string& how) {
  const auto it = running.find(task);
  Note("end " + task + " run=" + std::to_string(it->second.run) + " " + how);
  ended.push_back({++ends, task, it->second.run, how, Checkpoint(it->second)});
  highest[task] = std::max(highest[task], it->second.run);
  running.erase(it);
  changed.notify_all();
}

// "ms=N spread=M": N ms of work and up to M more, by the name of the task.
std::int64_t WorkMs(const std::string& task, const Run& it) {
  const auto ms = it.spec.find("ms=");
  const auto spread = it.spec.find("spread=");
  std::int64_t n = std::atoll(it.spec.c_str() + ms + 3);
  if (spread != std::string::npos) {
    const auto m = std::atoll(it.spec.c_str() + spread + 7);
    n += static_cast<std::int64_t>(std::hash<std::string>()(task) %
                                   static_cast<std::size_t>(m + 1));
  }
  return n;
}

void Work() {
  for (;;) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    std::lock_guard lock(mutex);
    const auto now = Clock();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, it] : running) {
      const auto ms = it.spec.find("ms=");
      if (now > lease) {
        over.emplace_back(task, "lapsed");
      } else if (it.stop_at != 0 && now >= it.stop_at) {
        over.emplace_back(task, "stopped");
      } else if (ms != std::string::npos &&
                 it.before + now - it.started >= WorkMs(task, it)) {
        over.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : over)
      End(task, how);
  }
}

Response Answer(int status, json body) {
  body["clock_ms"] = Clock();
  body["born"] = born;
  return {status, body.dump()};
}

Response Start(const json& body) {
  std::lock_guard lock(mutex);
  const std::string task = body.at("task");
  const std::int64_t run = body.at("run");
  const std::int64_t token = body.value("fencing_token", std::int64_t{0});
  const std::int64_t deadline = body.at("deadline_ms");
  if (token < fence)
    return Answer(409, {{"reason", "fence"}});
  fence = token;
  if (deadline <= Clock())
    return Answer(409, {{"reason", "late"}});
  lease = std::max(lease, std::min(deadline, Clock() + kMaxHoldMs));
  const auto it = running.find(task);
  if (it != running.end() && it->second.run == run)
    return Answer(200, {});
  if (run <= highest[task] || it != running.end()) {
    return Answer(409, {{"reason", "old"}});
  }
  const auto carried = body.value("last_checkpoint", std::string());
  running[task] = {run,
                   body.at("spec"),
                   Clock(),
                   0,
                   std::strtoll(carried.c_str(), nullptr, 16),
                   carried};
  Note("start " + task + " run=" + std::to_string(run));
  return Answer(200, {});
}

Response ServeWorker(const Request& r) {
  if (r.path == "/health")
    return {200, "{}"};
  const auto expected = r.Header("x-expect-instance");
  if (!expected.empty() && expected != id)
    return Answer(421, {});
  const auto body = json::parse(r.body);
  if (r.path == "/baobabfront/run-start") {
    std::ifstream late(late_path);
    std::int64_t ms = 0;
    if (!late_path.empty() && late >> ms) {
      late.close();
      ::unlink(late_path.c_str());
      Note("start-held " + std::string(body.at("task")) +
           " run=" + std::to_string(std::int64_t(body.at("run"))));
      // The order stays under way although its sender's connection ends, and
      // although this process may end; the driver of the case carries it.
      std::ofstream(late_path + ".new") << ms << "\n" << r.body;
      ::rename((late_path + ".new").c_str(), (late_path + ".order").c_str());
      return {0, "", true};
    }
    return Start(body);
  }
  if (r.path == "/baobabfront/run-stop") {
    std::lock_guard lock(mutex);
    const std::string task = body.at("task");
    const std::int64_t run = body.at("run");
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < fence)
      return Answer(409, {{"reason", "fence"}});
    fence = token;
    Note("stop " + task + " run=" + std::to_string(run));
    highest[task] = std::max(highest[task], run);
    const auto it = running.find(task);
    if (it != running.end() && it->second.run == run &&
        it->second.stop_at == 0) {
      it->second.stop_at = Clock() + kStopMs;
    }
    return Answer(200, {});
  }
  if (r.path == "/baobabfront/hold") {
    std::unique_lock lock(mutex);
    const std::int64_t token = body.value("fencing_token", std::int64_t{0});
    if (token < fence)
      return Answer(409, {{"reason", "fence"}});
    fence = token;
    const std::int64_t seen = body.value("last_seen", std::int64_t{0});
    std::erase_if(ended, [&](const auto& it) { return it.n <= seen; });
    if (body.contains("deadline_ms")) {
      lease = std::max(lease, std::min(std::int64_t(body["deadline_ms"]),
                                       Clock() + kMaxHoldMs));
    }
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(body.value("wait_ms", 0));
    while (ended.empty() &&
           changed.wait_until(lock, until) == std::cv_status::no_timeout) {
    }
    auto rows = json::array(), over = json::array();
    for (const auto& [task, it] : running) {
      rows.push_back({task, it.run, Checkpoint(it), 100, 0});
    }
    for (std::size_t i = 0; i < ended.size() && i < 500; ++i) {
      const auto& it = ended[i];
      over.push_back({it.n, it.task, it.run, it.how, it.saved});
    }
    return Answer(200, {{"running", rows}, {"ended", over}});
  }
  return Answer(200, {});
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 10)
    return 2;
  id = argv[1];
  port = std::atoi(argv[2]);
  const int store = std::atoi(argv[3]);
  log_path = argv[9];
  late_path = argc > 10 ? argv[10] : "";
  begin_ms = SteadyMs();
  born = WallMs();
  if (!Serve(port, ServeWorker))
    return 2;
  Note("up");
  std::thread(Work).detach();
  for (int seq = 1;; ++seq) {
    const json entry = {{"service", argv[4]},
                        {"address", "127.0.0.1:" + std::to_string(port)},
                        {"zone", "z1"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"seq", seq},
                        {"machine", argv[5]},
                        {"born", born},
                        {"clock_ms", Clock()},
                        {"labels", {"a", argv[6]}},
                        {"capacity",
                         {{"cpu", std::atoll(argv[7])},
                          {"mem_mb", std::atoll(argv[8])},
                          {"gpu", 0}}}};
    s3::Call(store, "POST", "/put?topic=keyed.servers&key=" + id, entry.dump());
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  }
}
