#ifndef REVIEW_STANDIN_DEPLOYMENT_HPP_
#define REVIEW_STANDIN_DEPLOYMENT_HPP_

// A small deployment: store, minions, the platform's calls on machines, and
// nodes of the system as processes of their own.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "minion.hpp"

namespace review {

/** Returns a free port below those that the system gives to clients, so that it
 * is still free when the node opens it. Each process has a range of its own, so
 * that cases that run at the same time don't meet. */
inline int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kRanges = 200;
  constexpr int kPorts = 100;
  static int next = 0;
  while (true) {
    const int port = kFirst + getpid() % kRanges * kPorts + next++ % kPorts;
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, asio::ip::tcp::v4());
    boost::system::error_code ec;
    acceptor.bind({asio::ip::make_address("127.0.0.1"),
                   static_cast<unsigned short>(port)},
                  ec);
    if (!ec) {
      return port;
    }
  }
}

/** A node of the system: `target/baobabfront platform`, as the deploy file
 * starts it, with settings from its template. */
class Node {
 public:
  Node(Record& record,
       std::string name,
       const std::string& folder,
       const std::string& store,
       const std::string& hosts,
       const std::string& advice)
      : record_(record), name_(std::move(name)), folder_(folder) {
    front_ = FreePort();
    const auto local = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const std::map<std::string, std::string> values = {
        {"node", name_},
        {"zone", "z1"},
        {"limits.cpu_share", "0.25"},
        {"listen.front", local(front_)},
        {"listen.ready", local(FreePort())},
        {"listen.control", local(FreePort())},
        {"ip", "127.0.0.1"},
        {"internal_ports.0", std::to_string(FreePort())},
        {"platform.address", store},
        {"cloud_api.address", hosts},
        {"advice", advice},
        {"platform.parts", "32"},
        {"platform.min_ttl_ms", "1000"},
        {"bounds.max_hold_ms", "6000"},
        {"bounds.stop_ms", "900"},
        {"bounds.status_s", "120"},
        {"bounds.grace_s", "6"},
        {"bounds.move_s", "1.5"},
        {"bounds.maintenance_s", "2"},
        {"bounds.lease_ms", "3000"}};
    std::ifstream in("deploy/settings.ini");
    std::stringstream text;
    text << in.rdbuf();
    auto out = text.str();
    for (const auto& [key, value] : values) {
      const auto mark = "{{" + key + "}}";
      for (auto at = out.find(mark); at != std::string::npos;
           at = out.find(mark)) {
        out.replace(at, mark.size(), value);
      }
    }
    std::ofstream(folder_ + "/" + name_ + ".ini") << out;
  }

  int front() const { return front_; }

  void Start() {
    const auto settings = folder_ + "/" + name_ + ".ini";
    const auto log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      // The node ends with this process, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      for (int other = 3; other < 1024; ++other) {
        close(other);
      }
      setenv("BAOBABFRONT_CONFIG", settings.c_str(), 1);
      execl("target/baobabfront", "target/baobabfront", "platform", nullptr);
      _exit(127);
    }
    record_.Line("node " + name_ + ": started, front port " +
                 std::to_string(front_));
  }

  void Signal(int signal) {
    if (pid_ > 0) {
      record_.Line("node " + name_ + ": signal " + std::to_string(signal));
      kill(pid_, signal);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /** Returns whether the process has ended by itself. */
  bool HasEnded() {
    return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_;
  }

 private:
  Record& record_;
  const std::string name_;
  const std::string folder_;
  int front_ = 0;
  pid_t pid_ = -1;
};

class Deployment {
 public:
  explicit Deployment(const std::string& record_path)
      : record(record_path),
        store(record),
        hosts_([this](const Request& request) { return ServeHosts(request); }),
        advice_(
            [this](const Request& request) { return ServeAdvice(request); }) {
    char folder[] = "/tmp/review-XXXXXX";
    folder_ = mkdtemp(folder);
    trouble = std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE")
                                                 : "1") != "0";
    record.Line(trouble ? "case with the disruption"
                        : "case without the disruption");
  }
  /** Ends all nodes and removes the temporary folder. */
  void Close() {
    for (auto& it : nodes) {
      it->Kill();
    }
    if (std::getenv("KEEP") == nullptr) {
      const auto command = "rm -rf " + folder_;
      if (std::system(command.c_str()) != 0) {
        record.Line("the temporary folder could not be removed");
      }
    }
  }

  static std::string MachineName(std::size_t n) {
    char name[16];
    std::snprintf(name, sizeof(name), "m-%05zx", 0x10a0 + n);
    return name;
  }
  void AddMinions(const std::string& service,
                  int count,
                  int cpu_milli,
                  const std::set<int>& of_kind_b = {}) {
    for (int i = 0; i < count; ++i) {
      const auto n = minions.size();
      minions.push_back(std::make_unique<Minion>(
          record, runs, store, MachineName(n), service, cpu_milli,
          "r" + std::to_string(n / 4), of_kind_b.contains(i) ? "b" : "a"));
    }
  }
  void StartNodes(int count) {
    for (int i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<Node>(
          record, "n" + std::to_string(i + 1), folder_, store.address(),
          hosts_.address(), advice_.address()));
      nodes.back()->Start();
    }
  }

  /** A route of a configuration. */
  struct Route {
    std::string name;
    std::string prefix;
    std::string service;
    /** The queue's policy allows only minions that the advice service names. */
    bool advised = false;
  };
  void Configure(int version,
                 const std::vector<std::string>& services,
                 const std::vector<Route>& routes) {
    Json list = Json::array();
    std::string text;
    for (const auto& it : routes) {
      list.push_back({{"name", it.name},
                      {"host", "shop.example"},
                      {"path_prefix", it.prefix},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_latency_ms", 2500},
                      {"priority", 0},
                      {"service", it.service},
                      {"max_attempts", 3},
                      {"stretch", 3.0}});
      if (it.advised) {
        list.back()["advice"] = {
            {"decision_ms", 20}, {"per_worker_ms", 1}, {"valid_ms", 3000}};
      }
      text += " " + it.name + "=" + it.prefix + "->" + it.service;
    }
    Json known = Json::array();
    for (const auto& it : services) {
      known.push_back({{"name", it}, {"enforces_capacity", false}});
    }
    store.Put("keyed.op", "config",
              Json{{"version", version},
                   {"routes", list},
                   {"services", known},
                   {"limits",
                    {{"max_body_bytes", 262144}, {"max_header_bytes", 16384}}}}
                  .dump());
    record.Line("operator: configuration " + std::to_string(version) + ":" +
                text);
  }

  /** Calls a node as a client does; writes what is asked and answered. */
  Reply Ask(std::size_t node,
            const std::string& method,
            const std::string& path,
            const std::string& body = "",
            bool quiet = false) {
    const auto begin = Now();
    const auto reply = Call(nodes[node % nodes.size()]->front(), method, path,
                            "shop.example", body, 3000);
    if (!quiet) {
      record.Line("client: " + method + " " + path + " at n" +
                  std::to_string(node % nodes.size() + 1) + " -> " +
                  std::to_string(reply.status) + " " +
                  reply.body.substr(0, 100) + " after " +
                  std::to_string(Now() - begin) + " ms");
    }
    return reply;
  }

  /** Submits until the job is accepted, as clients do, for up to `for_ms`. */
  bool Submit(std::size_t node,
              const std::string& path,
              const std::string& body,
              std::int64_t for_ms) {
    const auto until = Now() + for_ms;
    while (Now() < until) {
      if (Ask(node++, "POST", path, body).status == 200) {
        return true;
      }
      SleepMs(300);
    }
    return false;
  }

  /** Waits until a job of one task is accepted and done on each route. */
  bool AwaitService(const std::vector<Route>& routes) {
    SleepMs(2000);
    int n = 0;
    for (const auto& it : routes) {
      char id[17];
      std::snprintf(id, sizeof(id), "aaaa%012x", ++n);
      const auto path = it.prefix + id;
      if (!Submit(0, path, JobBody("work 50 50", 1, 1000, 1000), 15000)) {
        return false;
      }
      const auto until = Now() + 10000;
      while (Ask(0, "GET", path, "", true).body.find("completed") ==
             std::string::npos) {
        if (Now() > until) {
          return false;
        }
        SleepMs(100);
      }
    }
    record.Line("all routes serve");
    return true;
  }

  static std::string JobBody(const std::string& spec,
                             int count,
                             int cpu,
                             int estimate_ms,
                             bool lasts = false) {
    Json step = {{"count", count},
                 {"cpu", cpu},
                 {"mem_mb", 16},
                 {"estimate_ms", estimate_ms}};
    if (lasts) {
      step["long_running"] = true;
      step["may_miss"] = 1;
    }
    return Json{{"spec", spec}, {"steps", Json::array({step})}}.dump();
  }

  /** Ends with the exit status of the case. */
  int Verdict(bool broken, const std::string& rule) {
    for (auto& it : nodes) {
      if (it->HasEnded()) {
        record.Line("judge: a node has ended by itself");
      }
    }
    record.Line(broken ? "verdict: " + rule + " is broken"
                       : "verdict: " + rule + " held");
    return broken ? 1 : 0;
  }
  int Impossible(const std::string& why) {
    record.Line("verdict: the case could not run: " + why);
    return 2;
  }

  Record record;
  Runs runs;
  Store store;
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<std::unique_ptr<Node>> nodes;
  bool trouble = true;

 private:
  std::optional<Response> ServeHosts(const Request& request) {
    if (PathOf(request) == "/baobabfront/machines") {
      Json list = Json::array();
      for (const auto& it : minions) {
        list.push_back(it->Machine());
      }
      return Answer(200,
                    Json{{"machines", list}, {"next_token", nullptr}}.dump());
    }
    const Json body = Json::parse(request.body());
    for (const auto& it : minions) {
      if (it->machine() != body.value("machine", "")) {
        continue;
      }
      if (!it->up()) {
        return Answer(409, R"({"reason":"busy"})");
      }
      if (PathOf(request) == "/baobabfront/machine-move") {
        record.Line("machines: " + it->machine() + " moves to " +
                    body.value("pool", ""));
        it->Crash(1500, body.value("pool", ""));
        return Answer(200);
      }
    }
    return Answer(400);
  }

  std::optional<Response> ServeAdvice(const Request& request) {
    const std::lock_guard lock(advice_mutex_);
    const Json body = Json::parse(request.body());
    const std::string step = body.at("step");
    Json good = Json::array();
    for (const auto& it : body.at("workers")) {
      good.push_back({it, "t-" + step + "-" + it.get<std::string>()});
    }
    SleepMs(20 + static_cast<std::int64_t>(good.size()));
    record.Line("advice: step " + step + ", " + std::to_string(good.size()) +
                " minions may run it");
    return Answer(200, Json{{"good", good}, {"valid_ms", 3000}}.dump());
  }

  std::string folder_;
  Server hosts_;
  std::mutex advice_mutex_;
  Server advice_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_DEPLOYMENT_HPP_
