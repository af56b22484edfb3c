// Starts the project's program, the stand-ins and callers as processes on
// loopback addresses, and ends them all.
#ifndef REVIEW_STANDIN_3_WORLD_H_
#define REVIEW_STANDIN_3_WORLD_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <fstream>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace s3 {

using nlohmann::json;

struct Machine {
  std::string name, service, rack;
  std::int64_t cpu = 64000, mem_mb = 262144;
  int port = 0;
  int lives = 0;
  pid_t pid = 0;
  std::string worker;
};

struct Node {
  std::string name;
  int caller = 0, ready = 0, control = 0, peer = 0;
  pid_t pid = 0;
};

class World {
 public:
  // `tools` holds the stand-ins; `record` is the record of the case.
  World(std::string program, std::string tools, const std::string& record)
      : program_(std::move(program)),
        tools_(std::move(tools)),
        record_(record) {
    char name[] = "/tmp/review-3-XXXXXX";
    dir = ::mkdtemp(name);
    begin_ = WallMs();
  }
  ~World() {
    for (const auto pid : pids_)
      ::kill(pid, SIGKILL);
    for (const auto pid : pids_)
      ::waitpid(pid, nullptr, 0);
    if (!std::getenv("KEEP")) {
      for (const auto& it : files_)
        ::unlink(it.c_str());
      ::rmdir(dir.c_str());
    } else {
      std::cerr << dir << "\n";
    }
  }

  // Writes a line to the record, with the seconds since the start.
  void Note(const std::string& text, std::int64_t at = 0) {
    std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ",
                  static_cast<double>((at ? at : WallMs()) - begin_) / 1000);
    record_ << time << text << std::endl;
  }

  std::string File(const std::string& name) {
    std::lock_guard lock(mutex_);
    files_.insert(dir + "/" + name);
    return dir + "/" + name;
  }

  pid_t Spawn(std::vector<std::string> words,
              const std::string& log,
              const std::string& variable = "") {
    const auto out = File(log);
    std::vector<char*> argv;
    for (auto& it : words)
      argv.push_back(it.data());
    argv.push_back(nullptr);
    const auto pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      const int null = ::open("/dev/null", O_RDONLY);
      ::dup2(null, 0);
      if (!variable.empty())
        ::putenv(const_cast<char*>(variable.c_str()));
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    std::lock_guard lock(mutex_);
    pids_.insert(pid);
    return pid;
  }

  void End(pid_t& pid, int signal = SIGKILL) {
    ::kill(pid, signal);
    ::waitpid(pid, nullptr, 0);
    std::lock_guard lock(mutex_);
    pids_.erase(pid);
    pid = 0;
  }

  bool IsUp(pid_t pid) {
    return pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == 0;
  }

  void StartPlatform() {
    store = FreePort();
    cloud = FreePort();
    machines_ = File("machines.json");
    WriteMachines();
    Spawn({tools_ + "/platform", std::to_string(store), std::to_string(cloud),
           machines_},
          "platform.log");
    for (int i = 0; i < 200 && Call(store, "GET", "/figures").status != 200;
         ++i) {
      Sleep(20);
    }
  }

  void WriteMachines() {
    auto rows = json::array();
    for (const auto& it : machines) {
      rows.push_back(
          {{"machine", it.name},
           {"pool", it.service},
           {"state", it.pid ? "up" : "down"},
           {"zone", "z1"},
           {"labels", {"a", it.rack}},
           {"capacity", {{"cpu", it.cpu}, {"mem_mb", it.mem_mb}, {"gpu", 0}}},
           {"id", it.worker}});
    }
    std::ofstream(machines_ + ".new")
        << json{{"machines", rows}, {"next_token", nullptr}}.dump();
    ::rename((machines_ + ".new").c_str(), machines_.c_str());
  }

  void PutConfig(const json& config) {
    Call(store, "POST", "/put?topic=keyed.op&key=config", config.dump());
  }

  // Starts the next life of the machine's minion. `same_id`: under the id that
  // it had.
  void StartWorker(Machine& machine, bool same_id = false) {
    if (machine.port == 0)
      machine.port = FreePort();
    if (!same_id || machine.worker.empty()) {
      machine.worker =
          "i-" + machine.name + "-" + std::to_string(++machine.lives);
    }
    machine.pid = Spawn(
        {tools_ + "/worker", machine.worker, std::to_string(machine.port),
         std::to_string(store), machine.service, machine.name, machine.rack,
         std::to_string(machine.cpu), std::to_string(machine.mem_mb),
         File("workers.txt"), File("late")},
        machine.name + ".log");
    WriteMachines();
  }

  void CrashWorker(Machine& machine) {
    Note("minion " + machine.worker + " crashes");
    End(machine.pid);
  }

  void StartNode(Node& node) {
    if (node.caller == 0) {
      node.caller = FreePort();
      node.ready = FreePort();
      node.control = FreePort();
      node.peer = FreePort();
    }
    const auto settings = File(node.name + ".ini");
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    std::ofstream(settings)
        << "[node]\nid = " << node.name << "\ndata_centre = z1\ncores = 0.25\n"
        << "[listen]\ncaller = " << at(node.caller)
        << "\nready = " << at(node.ready) << "\ncontrol = " << at(node.control)
        << "\npeer = " << at(node.peer) << "\n[platform]\nstore = " << at(store)
        << "\nhosts = " << at(cloud) << "\nadvice = " << at(cloud)
        << "\nshards = 32\nleast_member_lifetime_ms = 1000\n[bounds]\n"
        << "longest_lease_ms = 6000\nlongest_stop_ms = 900\n"
        << "status_kept_s = 120\ngrace_s = 6\nmove_s = 1.5\n"
        << "maintenance_s = 2\nplanner_lease_ms = 3000\n";
    static std::set<std::string> variables;
    node.pid = Spawn({program_, "platform"}, node.name + ".log",
                     *variables.insert("BAOBABFRONT_CONFIG=" + settings).first);
  }

  // Starts all; returns whether the nodes are ready and serve a job.
  bool Start(int node_count, const json& config) {
    StartPlatform();
    PutConfig(config);
    for (auto& it : machines)
      StartWorker(it);
    for (int i = 0; i < node_count; ++i) {
      nodes.emplace_back();
      nodes.back().name = "node-" + std::to_string(i + 1);
    }
    for (auto& it : nodes)
      StartNode(it);
    for (auto& it : nodes) {
      for (int i = 0;
           Call(it.ready, "GET", "/baobabfront/readiness").status != 200; ++i) {
        if (i > 500)
          return false;
        Sleep(20);
      }
    }
    int n = 0;
    for (const auto& it : config.at("routes")) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0xfeed00 + n++);
      if (!Run(it.at("path_prefix"), id, 15'000))
        return false;
    }
    Sleep(500);
    return true;
  }

  // Hands in a small job and waits until it is completed.
  bool Run(const std::string& prefix, const std::string& id, int ms) {
    const json spec = {
        {"spec", "ms=50"},
        {"steps",
         {{{"count", 1}, {"cpu", 100}, {"mem_mb", 64}, {"estimate_ms", 50}}}}};
    const auto until = SteadyMs() + ms;
    bool accepted = false;
    for (int i = 0; SteadyMs() < until; ++i) {
      const auto& node = nodes[static_cast<std::size_t>(i) % nodes.size()];
      if (!accepted) {
        accepted =
            Call(node.caller, "POST", prefix + id, spec.dump(), host).status ==
            200;
      } else if (State(node, prefix, id) == "completed") {
        return true;
      }
      Sleep(100);
    }
    return false;
  }

  // Hands a job in like a client: again at another node after no answer, 502 or
  // 504, and after the time that a refusal names. Returns the last status.
  int Submit(const std::string& prefix,
             const std::string& id,
             const json& spec,
             int tries = 5) {
    int status = 0;
    for (int i = 0; i < tries; ++i) {
      const auto& node = nodes[next_++ % nodes.size()];
      status = Call(node.caller, "POST", prefix + id, spec.dump(), host).status;
      Note("submit " + id + " at " + node.name + ": " + std::to_string(status));
      if (status == 200 || status == 404 || status == 400)
        break;
      Sleep(status == 503 || status == 429 ? 1000 : 200);
    }
    return status;
  }

  // Returns the state, or the status as text.
  std::string State(const Node& node,
                    const std::string& prefix,
                    const std::string& id) {
    const auto answer = Call(node.caller, "GET", prefix + id, "", host);
    if (answer.status != 200)
      return std::to_string(answer.status);
    return json::parse(answer.body).value("state", "");
  }

  static void Sleep(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }

  // Lines of the minions: wall ms, id, born, words.
  struct Line {
    std::int64_t at;
    std::string worker, born, word, task, rest;
  };
  std::vector<Line> WorkerLines() {
    std::vector<Line> lines;
    std::ifstream in(dir + "/workers.txt");
    std::string text;
    while (std::getline(in, text)) {
      std::istringstream words(text);
      Line it;
      words >> it.at >> it.worker >> it.born >> it.word >> it.task;
      std::getline(words, it.rest);
      lines.push_back(it);
    }
    return lines;
  }
  // Copies the lines of the minions into the record, and counts those of the
  // job `counted`.
  void NoteWorkerLines(const std::string& counted = "") {
    std::map<std::string, int> counts;
    for (const auto& it : WorkerLines()) {
      if (!counted.empty() && it.task.rfind(counted, 0) == 0) {
        ++counts[it.word];
      } else {
        Note(
            it.worker + " " + it.born + " " + it.word + " " + it.task + it.rest,
            it.at);
      }
    }
    for (const auto& [word, n] : counts) {
      Note("job " + counted + " at the minions: " + word + " " +
           std::to_string(n));
    }
  }

  void AddMachine(int number,
                  const std::string& service,
                  const std::string& rack) {
    Machine machine;
    machine.name = "m-" + std::to_string(number);
    machine.service = service;
    machine.rack = rack;
    machines.push_back(machine);
  }

  std::string dir;
  std::string host = "calls.example";
  int store = 0, cloud = 0;
  std::vector<Machine> machines;
  std::vector<Node> nodes;

 private:
  const std::string program_, tools_;
  std::ofstream record_;
  std::mutex mutex_;
  std::int64_t begin_ = 0;
  std::set<pid_t> pids_;
  std::set<std::string> files_;
  std::string machines_;
  std::size_t next_ = 0;
};

// A configuration with one queue for each service.
inline json ConfigOf(const std::vector<std::string>& services,
                     int max_attempts = 3) {
  auto routes = json::array(), list = json::array();
  for (const auto& it : services) {
    routes.push_back({{"name", "r-" + it},
                      {"host", "calls.example"},
                      {"path_prefix", "/" + it + "/"},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_latency_ms", 600},
                      {"priority", 0},
                      {"service", it},
                      {"max_attempts", max_attempts},
                      {"stretch", 1.6}});
    list.push_back({{"name", it}, {"enforces_capacity", false}});
  }
  return {{"version", 7},
          {"routes", routes},
          {"services", list},
          {"limits", json::object()}};
}

}  // namespace s3

#endif  // REVIEW_STANDIN_3_WORLD_H_
