#ifndef TESTS_SOAK_SOAK_WORLD_H_
#define TESTS_SOAK_SOAK_WORLD_H_

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "findings.h"
#include "run_checks.h"
#include "soak_node.h"
#include "soak_worker.h"

namespace baobab {

/** Files that the nodes are started from. */
struct NodeFiles {
  std::filesystem::path binary;
  /** The folder with the template of the settings. */
  std::filesystem::path deploy;
};

/** Creates a folder from which the processes run and in which they log. */
inline std::filesystem::path EnterSoakFolder(const NodeFiles& files) {
  namespace fs = std::filesystem;
  const auto binary = fs::absolute(files.binary);
  const auto deploy = fs::absolute(files.deploy);
  std::string folder = fs::temp_directory_path() / "soak-XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  fs::create_directory(folder + "/target");
  fs::create_symlink(binary, folder + "/target/baobabfront");
  fs::create_symlink(deploy, folder + "/deploy");
  fs::current_path(folder);
  return folder;
}

/** Store, workers, hosts and nodes of a small deployment with one queue. Never
 * destroyed: the threads of its servers run until the process ends. */
class SoakWorld {
 public:
  static constexpr char kPrefix[] = "/deposits/";
  static constexpr int kNodes = 4;
  static constexpr int kWorkers = 6;
  static constexpr int kWorkerCpuMilli = 32000;
  static constexpr int kMaxCrashesOfTask = 2;

  SoakWorld(const std::filesystem::path& folder, std::uint64_t seed)
      : record(folder / "record.txt"),
        findings(record),
        checks(runs, findings),
        store(record),
        hosts_([this](const review::Request&) { return ServeHosts(); }) {
    for (int i = 0; i < kWorkers; ++i) {
      workers.push_back(std::make_unique<SoakWorker>(
          record, runs, store, review::Deployment::MachineName(i),
          kWorkerCpuMilli, "r" + std::to_string(i / 2), ++seed));
    }
    Configure();
    const auto address = store.address();
    const int store_port = std::stoi(address.substr(address.find(':') + 1));
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<SoakNode>(
          record, "n" + std::to_string(i + 1), folder, store_port,
          hosts_.address(), hosts_.address(), ++seed));
    }
  }

  /** Outages overlap. */
  void BeginOutage(bool entries_expire) {
    for (auto& it : workers) {
      it->SetExpiresInOutage(entries_expire);
    }
    if (outages_++ == 0) {
      store.SetDown(true);
    }
  }
  void EndOutage() {
    if (--outages_ == 0) {
      store.SetDown(false);
    }
  }

  /** Ends the worker's process, unless a task on it would have its third crash,
   * after which the nodes end the job. Returns whether it has ended. */
  bool Crash(SoakWorker& worker, const TargetLoss& loss) {
    const auto tasks = worker.Running();
    if (std::any_of(tasks.begin(), tasks.end(), [this](const auto& it) {
          return checks.CountCrashes(it) >= kMaxCrashesOfTask;
        })) {
      record.Line("worker " + worker.machine() + ": crash is left out");
      return false;
    }
    worker.Crash(loss);
    return true;
  }

  /** Lets the nodes continue what is due and checks what was seen so far. */
  void Tick() {
    for (auto& it : nodes) {
      if (!it->Tick()) {
        findings.Add("node-ended", it->name(), "without a signal");
      }
    }
    if (review::Now() >= next_check_at_) {
      next_check_at_ = review::Now() + 500;
      checks.Check();
    }
  }

  review::Record record;
  review::Runs runs;
  Findings findings;
  RunChecks checks;
  review::Store store;
  std::vector<std::unique_ptr<SoakWorker>> workers;
  std::vector<std::unique_ptr<SoakNode>> nodes;

 private:
  void Configure() {
    store.Put("keyed.op", "config",
              R"({"version":1,
        "routes":[{"name":"deposits","host":"shop.example",
          "path_prefix":"/deposits/","kind":"non_idempotent","timeout_ms":3000,
          "target_latency_ms":2500,"priority":0,"service":"payments",
          "max_attempts":3,"stretch":3.0}],
        "services":[{"name":"payments","enforces_capacity":false}],
        "limits":{"max_body_bytes":262144,"max_header_bytes":16384}})");
  }

  review::Response ServeHosts() {
    review::Json list = review::Json::array();
    for (const auto& it : workers) {
      list.push_back(it->Host());
    }
    const review::Json body = {{"machines", list}, {"next_token", nullptr}};
    return review::Answer(200, body.dump());
  }

  review::Server hosts_;
  int outages_ = 0;
  std::int64_t next_check_at_ = 0;
};

}  // namespace baobab

#endif  // TESTS_SOAK_SOAK_WORLD_H_
