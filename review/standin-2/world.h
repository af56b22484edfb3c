// A small deployment: the store, the list of machines, minions, and nodes of
// the project as processes of their own, started as deploy/system.toml says.
#ifndef REVIEW_STANDIN_2_WORLD_H_
#define REVIEW_STANDIN_2_WORLD_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "minion.h"

namespace review2 {

/** One node of the project. */
struct Node {
  std::string name;
  std::string settings;
  std::string log;
  int caller = 0;
  int ready = 0;
  int control = 0;
  pid_t pid = -1;
};

class World {
 public:
  static constexpr char kHost[] = "pule25.example";
  static constexpr char kQueuePath[] = "/puxa400/";
  static constexpr char kService[] = "quotes";

  /** `root` is the repository, `folder` a temporary one. */
  World(std::string root, std::string folder, const std::string& record_path)
      : record(record_path),
        root_(std::move(root)),
        folder_(std::move(folder)) {
    ::signal(SIGPIPE, SIG_IGN);
    SteadyMs();
    store.Start();
    cloud_port_ =
        cloud_.Start(0, [this](const Request& it) { return ServeCloud(it); });
  }

  /** Adds a machine with its minion, which starts at once. */
  Minion& AddMinion(const std::string& id,
                    const std::string& rack,
                    std::int64_t age_ms = 0,
                    const std::string& zone = "zone-1") {
    MinionOptions options;
    options.id = id;
    options.service = kService;
    options.machine = "m-" + id;
    options.rack = rack;
    options.zone = zone;
    minions.push_back(
        std::make_unique<Minion>(options, store, runs, book, record));
    minions.back()->Start(age_ms);
    return *minions.back();
  }

  void WriteConfig(int version) {
    Json route = {{"name", "r-1"},
                  {"host", kHost},
                  {"path_prefix", kQueuePath},
                  {"kind", "non_idempotent"},
                  {"timeout_ms", 3000},
                  {"target_latency_ms", 2500},
                  {"service", kService},
                  {"max_attempts", 3},
                  {"stretch", 2.0}};
    Json service = {{"name", kService}, {"enforces_capacity", false}};
    store.Put("keyed.op", "config",
              Json{{"version", version},
                   {"routes", {route}},
                   {"services", {service}},
                   {"limits", Json::object()}}
                  .dump());
  }

  void AddNode() {
    Node node;
    node.name = "edge-" + std::to_string(nodes.size() + 1);
    node.settings = folder_ + "/" + node.name + ".ini";
    node.log = folder_ + "/" + node.name + ".log";
    node.caller = FreePort();
    node.ready = FreePort();
    node.control = FreePort();
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const std::map<std::string, std::string> values = {
        {"node", node.name},
        {"zone", "zone-1"},
        {"limits.cpu_share", "0.25"},
        {"listen.front", at(node.caller)},
        {"listen.ready", at(node.ready)},
        {"listen.control", at(node.control)},
        {"ip", "127.0.0.1"},
        {"internal_ports.0", std::to_string(FreePort())},
        {"platform.address", at(store.port())},
        {"cloud_api.address", at(cloud_port_)},
        {"advice", ""},
        {"platform.parts", "32"},
        {"platform.min_ttl_ms", "1000"},
        {"bounds.max_hold_ms", "6000"},
        {"bounds.stop_ms", "900"},
        {"bounds.status_s", "120"},
        {"bounds.grace_s", "6"},
        {"bounds.move_s", "1.5"},
        {"bounds.maintenance_s", "2"},
        {"bounds.lease_ms", "3000"}};
    std::stringstream text;
    text << std::ifstream(root_ + "/deploy/settings.ini").rdbuf();
    auto filled = text.str();
    for (const auto& [name, value] : values) {
      const auto mark = "{{" + name + "}}";
      for (std::size_t i; (i = filled.find(mark)) != std::string::npos;) {
        filled.replace(i, mark.size(), value);
      }
    }
    std::ofstream(node.settings) << filled;
    nodes.push_back(node);
    StartNode(nodes.back());
  }

  void StartNode(Node& node) {
    node.pid = ::fork();
    if (node.pid == 0) {
      const int log =
          ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("BAOBABFRONT_CONFIG", node.settings.c_str(), 1);
      if (::chdir(root_.c_str()) == 0) {
        ::execl("target/baobabfront", "target/baobabfront", "platform",
                static_cast<char*>(nullptr));
      }
      ::_exit(127);
    }
    record.Line("node %s starts", node.name.c_str());
  }

  void Signal(Node& node, int signal) {
    record.Line("node %s gets signal %d", node.name.c_str(), signal);
    ::kill(node.pid, signal);
    if (signal == SIGKILL) {
      ::waitpid(node.pid, nullptr, 0);
      node.pid = -1;
    }
  }

  /** Returns whether the process of the node has ended by itself. */
  bool HasEnded(Node& node) {
    return node.pid > 0 && ::waitpid(node.pid, nullptr, WNOHANG) == node.pid;
  }

  void StopNodes() {
    for (auto& it : nodes) {
      if (it.pid > 0) {
        ::kill(it.pid, SIGKILL);
        ::waitpid(it.pid, nullptr, 0);
        it.pid = -1;
      }
    }
  }

  /** Waits until all nodes are ready and the queue has a count; false if that
   * takes longer than `limit_ms`. */
  bool AwaitReady(std::int64_t limit_ms) {
    const auto until = SteadyMs() + limit_ms;
    while (SteadyMs() < until) {
      bool all = true;
      for (const auto& it : nodes) {
        all = all &&
              Call(it.ready, "GET", "/baobabfront/readiness", "x", "", 500)
                      .status == 200 &&
              Call(it.caller, "GET", kQueuePath, kHost, "", 500).status == 200;
      }
      if (all) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

  Answer Submit(Node& node, const std::string& id, const Json& job) {
    book.AddJob(id, job);
    const auto answer =
        Call(node.caller, "POST", kQueuePath + id, kHost, job.dump(), 3000);
    record.Line("POST %s at %s -> %d %s", id.c_str(), node.name.c_str(),
                answer.status, answer.body.c_str());
    return answer;
  }

  /** Submits until a node accepts the job, as a client does that was told to
   * come back. */
  bool SubmitUntilAccepted(const std::string& id,
                           const Json& job,
                           std::int64_t limit_ms) {
    const auto until = SteadyMs() + limit_ms;
    for (std::size_t i = 0; SteadyMs() < until; ++i) {
      if (Submit(nodes[i % nodes.size()], id, job).status == 200) {
        return true;
      }
      SleepMs(300);
    }
    return false;
  }

  Answer State(Node& node, const std::string& id) {
    return Call(node.caller, "GET", kQueuePath + id, kHost, "", 3000);
  }

  /** Returns the state that the first node to answer with one shows. */
  std::string StateText(const std::string& id) {
    for (auto& it : nodes) {
      const auto answer = State(it, id);
      if (answer.status == 200) {
        const auto json = Json::parse(answer.body, nullptr, false);
        return json.is_object() ? json.value("state", "") : "";
      }
      if (answer.status == 410) {
        return "410";
      }
    }
    return "";
  }

  /** Returns pairs of runs of one task that were at work at the same time. */
  std::vector<std::pair<Run, Run>> RunsAtTheSameTime() const {
    std::vector<std::pair<Run, Run>> found;
    const auto all = runs.Copy();
    const auto now = SteadyMs();
    for (std::size_t i = 0; i < all.size(); ++i) {
      for (std::size_t k = i + 1; k < all.size(); ++k) {
        const auto end = [now](const Run& it) {
          return it.end_ms < 0 ? now : it.end_ms;
        };
        if (all[i].task == all[k].task &&
            std::max(all[i].begin_ms, all[k].begin_ms) <
                std::min(end(all[i]), end(all[k]))) {
          found.emplace_back(all[i], all[k]);
        }
      }
    }
    return found;
  }

  /** Writes the pairs, and returns their number. */
  int ReportTwice() {
    const auto pairs = RunsAtTheSameTime();
    for (const auto& [a, b] : pairs) {
      const auto text = [](const Run& it) {
        return "run " + std::to_string(it.number) + " on " + it.minion + " (" +
               std::to_string(it.begin_ms) + " to " +
               (it.end_ms < 0 ? "the end" : std::to_string(it.end_ms)) +
               " ms, " + (it.how.empty() ? "at work" : it.how) + ")";
      };
      record.Line("TWICE: %s: %s and %s", a.task.c_str(), text(a).c_str(),
                  text(b).c_str());
    }
    return static_cast<int>(pairs.size());
  }

  Record record;
  Store store;
  Runs runs;
  Book book;
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<Node> nodes;

 private:
  Reply ServeCloud(const Request& request) {
    if (request.method == "GET") {
      Json machines = Json::array();
      for (const auto& it : minions) {
        machines.push_back({{"machine", it->options().machine},
                            {"pool", it->options().service},
                            {"state", it->IsUp() ? "up" : "down"},
                            {"zone", "zone-1"},
                            {"labels", {"a", it->options().rack}},
                            {"capacity",
                             {{"cpu", it->options().cpu},
                              {"mem_mb", it->options().mem_mb},
                              {"gpu", 0}}},
                            {"id", it->options().id}});
      }
      return {200,
              Json{{"machines", machines}, {"next_token", nullptr}}.dump()};
    }
    // One pool and no wave: no order is due.
    record.Line("order to a machine: %s %s", request.path.c_str(),
                request.body.c_str());
    return {400, "{}"};
  }

  const std::string root_;
  const std::string folder_;
  Server cloud_;
  int cloud_port_ = 0;
};

}  // namespace review2

#endif  // REVIEW_STANDIN_2_WORLD_H_
