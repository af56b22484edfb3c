#ifndef TESTS_PROCESS_CLUSTER_H_
#define TESTS_PROCESS_CLUSTER_H_

#include <arpa/inet.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "free_port.h"
#include "libwire/wire.h"
#include "process_fixture.h"

namespace baobab {

/** Waits until `holds` returns true; returns false after `time`. */
inline bool WaitUntil(std::chrono::milliseconds time,
                      const std::function<bool()>& holds) {
  const auto deadline = std::chrono::steady_clock::now() + time;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

/** Sends a GET request to a local port and returns the JSON response; null if
 * none arrives within 2 s. */
inline nlohmann::json GetJson(int port, const std::string& path) {
  httplib::Client client("127.0.0.1", port);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(std::chrono::seconds(2));
  const auto answer = client.Get(path);
  const auto json =
      nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
  return json.is_discarded() ? nlohmann::json() : json;
}

/** Runs nodes, minions of one service and the platform stand-ins as processes
 * on this machine. The queues are "urgent" and "batch". */
class Cluster {
 public:
  static constexpr int kNodes = 3;
  static constexpr int kMinions = 6;

  /** With `relay`, the nodes reach the first minion through a relay. */
  explicit Cluster(bool relay = false)
      : log_("log", {"standins", "log"}),
        hosts_("hosts", {"standins", "hosts"}),
        minions_("minions",
                 {"standins", "minions", "--id", "m", "--service", "svc",
                  "--count", std::to_string(kMinions)}),
        log_port_(log_.ReadPorts()[0]),
        hosts_port_(hosts_.ReadPorts()[0]),
        minion_ports_(minions_.ReadPorts()) {
    if (relay) {
      relay_ = std::make_unique<Process>(
          "relay",
          std::vector<std::string>{"standins", "relay", "--target-port",
                                   std::to_string(minion_ports_[0])});
      relay_ports_ = relay_->ReadPorts();
    }
    PutHosts();
    for (int n = 0; n < kNodes; ++n) {
      caller_ports_.push_back(FreePort());
      control_ports_.push_back(FreePort());
      peer_ports_.push_back(FreePort());
    }
    for (int n = 0; n < kNodes; ++n) {
      nodes_.push_back(nullptr);
      StartNode(n);
    }
  }

  /** Starts a node, or restarts it after its process has ended. */
  void StartNode(int n) {
    const std::string name = "n" + std::to_string(n + 1);
    const auto file = TestDirectory() / (name + ".ini");
    std::ofstream(file) << NodeSettingsText(n);
    nodes_[n] = std::make_unique<Process>(
        name, std::vector<std::string>{"baobabfront", "node", "--settings",
                                       file.string()});
  }

  /** Waits until all nodes are in the view, sets the table, and waits until all
   * nodes accept requests. */
  void WaitReady() {
    ASSERT_TRUE(WaitUntil(std::chrono::seconds(20),
                          [this] {
                            const auto status = Status(0);
                            int in_view = 0;
                            for (const auto& it : status.value(
                                     "peers", nlohmann::json::array())) {
                              in_view += it.value("in_view", false) ? 1 : 0;
                            }
                            return status.value("view", 0) > 0 &&
                                   in_view == kNodes - 1;
                          }))
        << "no view of all nodes: " << Status(0).dump();
    const auto table = ParseTable(TableText());
    ASSERT_TRUE(table.has_value());
    TableEdit edit;
    edit.id = EditId("first");
    edit.author = "test";
    edit.changes = DiffTables(Table{}, *table);
    const auto reply = SubmitEdit(0, edit);
    ASSERT_EQ(reply.value("state", ""), "in-force") << reply.dump();
    for (int n = 0; n < kNodes; ++n) {
      ASSERT_TRUE(
          WaitUntil(std::chrono::seconds(5), [&] { return IsReady(n); }))
          << "not ready: " << Status(n).dump();
    }
  }

  /** Submits an edit to a node; returns its reply, or an empty object if there
   * is none. */
  nlohmann::json SubmitEdit(int n, const TableEdit& edit) const {
    httplib::Client client("127.0.0.1", control_ports_[n]);
    client.set_read_timeout(std::chrono::seconds(25));
    const auto answer =
        client.Post("/table", EncodeEdit(edit), "application/json");
    const auto json =
        nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
  }

  /** Returns a node's status, or an empty object if there is no response. */
  nlohmann::json Status(int n) const {
    const auto status = GetJson(control_ports_[n], "/status");
    return status.is_object() ? status : nlohmann::json::object();
  }

  /** Whether the health check of a load balancer succeeds. */
  bool IsReady(int n) const {
    httplib::Client client("127.0.0.1", caller_ports_[n]);
    client.set_read_timeout(std::chrono::seconds(1));
    const auto answer = client.Get("/healthz");
    return answer && answer->status == 200;
  }

  /** Starts load on both queues through all nodes. */
  std::unique_ptr<LoadProcess> StartLoad(
      int seconds,
      std::vector<std::string> more = {}) const {
    more.insert(more.end(),
                {"--duration-s", std::to_string(seconds), "--queue",
                 "urgent:rate=150,run-ms=20,keys=0.3,callers=128", "--queue",
                 "batch:rate=120,run-ms=150,keys=0.3,callers=128"});
    return std::make_unique<LoadProcess>("load", caller_ports_, minion_ports_,
                                         more);
  }

  /** Returns how many requests a minion has executed so far. */
  int ExecutionsOf(int minion) const {
    int sum = 0;
    const auto report = GetJson(minion_ports_[minion], "/executions");
    for (const auto& it : report.at("executions")) {
      sum += it.get<int>();
    }
    return sum;
  }

  Process& node(int n) { return *nodes_[n]; }
  std::string caller_address(int n) const {
    return LocalAddress(caller_ports_[n]);
  }
  int log_port() const { return log_port_; }
  int minion_port(int n) const { return minion_ports_[n]; }
  int relay_control_port() const { return relay_ports_.at(1); }

 private:
  void PutHosts() const {
    auto list = nlohmann::json::array();
    for (int n = 0; n < kMinions; ++n) {
      const int port =
          n == 0 && relay_ ? relay_ports_.at(0) : minion_ports_.at(n);
      list.push_back({{"id", "m-" + std::to_string(n)},
                      {"kind", "minion"},
                      {"host", "h" + std::to_string(n)},
                      {"service", "svc"},
                      {"address", LocalAddress(port)},
                      {"rack", "r1"},
                      {"data_centre", "dc1"},
                      {"state", "live"}});
    }
    for (int n = 0; n < kNodes; ++n) {
      list.push_back({{"id", "n" + std::to_string(n + 1)},
                      {"kind", "entry"},
                      {"address", "127.0.0.1"},
                      {"rack", "r1"},
                      {"data_centre", "dc1"},
                      {"state", "live"}});
    }
    httplib::Client client("127.0.0.1", hosts_port_);
    client.Put("/hosts", nlohmann::json{{"hosts", list}}.dump(),
               "application/json");
  }

  std::string NodeSettingsText(int n) const {
    std::ostringstream text;
    text << "[node]\nid = n" << n + 1 << "\ndata_centre = dc1\n[listen]\n"
         << "caller = " << LocalAddress(caller_ports_[n])
         << "\ncontrol = " << LocalAddress(control_ports_[n])
         << "\npeer = " << LocalAddress(peer_ports_[n])
         << "\n[platform]\nlog_service = " << LocalAddress(log_port_)
         << "\nhost_list = " << LocalAddress(hosts_port_) << "\n[peers]\n";
    for (int i = 0; i < kNodes; ++i) {
      if (i != n) {
        text << "n" << i + 1 << " = dc1 " << LocalAddress(peer_ports_[i])
             << "\n";
      }
    }
    // Shorter than the default of 30 s, so that timeouts derived from it expire
    // within the test.
    text << "[limits]\nrequest_timeout_ms = 3000\n[observe]\ntimeline_path = "
         << (TestDirectory() / ("n" + std::to_string(n + 1) + ".timeline"))
                .string()
         << "\n";
    return text.str();
  }

  static std::string TableText() {
    std::string text =
        "[pools]\npool,weight,limit,min_hosts,availability_budget\n"
        "p,1,100,0,10\n"
        "[teams]\nteam,quota\nt,400\n"
        "[queues]\n"
        "queue,service,team,pool,urgency,weight,limit,deadline_ms\n"
        "urgent,svc,t,p,urgent,80,100,2000\n"
        "batch,svc,t,p,batch,20,100,60000\n"
        "[hosts]\nhost,rack,data_centre,pool,maintenance\n";
    for (int n = 0; n < kMinions; ++n) {
      text += "h" + std::to_string(n) + ",r1,dc1,p,\n";
    }
    return text;
  }

  Process log_;
  Process hosts_;
  Process minions_;
  std::unique_ptr<Process> relay_;
  int log_port_;
  int hosts_port_;
  std::vector<int> minion_ports_;
  std::vector<int> relay_ports_;
  std::vector<int> caller_ports_;
  std::vector<int> control_ports_;
  std::vector<int> peer_ports_;
  std::vector<std::unique_ptr<Process>> nodes_;
};

/** Returns the number of requests of all queues. */
inline int CountRequests(const nlohmann::json& summary) {
  int sum = 0;
  for (const auto& it : summary.at("queues")) {
    sum += it.at("requests").get<int>();
  }
  return sum;
}
/** Returns the number of requests of all queues that ended with `outcome`. */
inline int CountOutcome(const nlohmann::json& summary,
                        const std::string& outcome) {
  int sum = 0;
  for (const auto& it : summary.at("queues")) {
    sum += it.at("outcomes").value(outcome, 0);
  }
  return sum;
}

/** Checks that the load ran without violations and that at least
 * `min_done_share` of the requests were done. */
inline void ExpectNoViolations(LoadProcess& load,
                               const nlohmann::json& summary,
                               double min_done_share) {
  ASSERT_TRUE(summary.is_object()) << load.Output();
  EXPECT_EQ(load.exit_status(), 0) << load.Output();
  for (const auto& [name, count] : summary["forbidden"].items()) {
    EXPECT_EQ(count, 0) << name << "\n" << load.Output();
  }
  EXPECT_GT(CountRequests(summary), 400);
  EXPECT_GE(CountOutcome(summary, "done"),
            min_done_share * CountRequests(summary))
      << summary["queues"].dump(1);
}

}  // namespace baobab

#endif  // TESTS_PROCESS_CLUSTER_H_
