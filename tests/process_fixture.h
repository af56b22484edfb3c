#ifndef TESTS_PROCESS_FIXTURE_H_
#define TESTS_PROCESS_FIXTURE_H_

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace baobab {

/** Build directory, which contains the programs; test programs are in "tests"
 * below it. */
inline std::filesystem::path BuildDirectory() {
  return std::filesystem::read_symlink("/proc/self/exe")
      .parent_path()
      .parent_path();
}

/** Directory for the files of the running test. */
inline std::filesystem::path TestDirectory() {
  const auto* info = testing::UnitTest::GetInstance()->current_test_info();
  std::string name = std::string(info->test_suite_name()) + "." + info->name();
  std::replace(name.begin(), name.end(), '/', '.');
  return BuildDirectory() / "process-tests" / name;
}

inline std::string LocalAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/** A process that runs a program of the build directory. The destructor kills
 * the process. */
class Process {
 public:
  /** Standard output and standard error go to LABEL.out and LABEL.err in the
   * test's directory. */
  Process(const std::string& label, std::vector<std::string> arguments) {
    std::filesystem::create_directories(TestDirectory());
    output_ = TestDirectory() / (label + ".out");
    arguments[0] = BuildDirectory() / arguments[0];
    std::vector<char*> argv;
    for (auto& it : arguments) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_TRUNC;
    posix_spawn_file_actions_addopen(&actions, 1, output_.c_str(), flags, 0644);
    const std::string errors = TestDirectory() / (label + ".err");
    posix_spawn_file_actions_addopen(&actions, 2, errors.c_str(), flags, 0644);
    const int ec =
        posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
      pid_ = -1;
      ADD_FAILURE() << argv[0] << ": " << strerror(ec);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (pid_ > 0 && !status_) {
      kill(pid_, SIGKILL);
      Wait(std::chrono::seconds(5));
    }
  }

  void Signal(int signal) const {
    if (pid_ > 0 && !status_) {
      kill(pid_, signal);
    }
  }

  /** Waits for the process to end. Returns its exit status, the negated number
   * of the signal that ended it, or nothing if it still runs after `time`. */
  std::optional<int> Wait(std::chrono::milliseconds time) {
    const auto deadline = std::chrono::steady_clock::now() + time;
    while (!status_ && pid_ > 0) {
      int raw = 0;
      if (waitpid(pid_, &raw, WNOHANG) == pid_) {
        status_ = WIFEXITED(raw) ? WEXITSTATUS(raw) : -WTERMSIG(raw);
      } else if (std::chrono::steady_clock::now() > deadline) {
        break;
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    }
    return status_;
  }

  /** Waits for a stand-in's line "ready PORT..." and returns the ports. */
  std::vector<int> ReadPorts() {
    std::vector<int> ports;
    for (int n = 0; n < 500 && ports.empty(); ++n) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      std::ifstream file(output_);
      std::string word;
      for (int port = 0; file >> word && word == "ready";) {
        while (file >> port) {
          ports.push_back(port);
        }
      }
    }
    if (ports.empty()) {
      ADD_FAILURE() << output_ << ": no ready line";
      ports.resize(16);
    }
    return ports;
  }

  std::string Output() const {
    std::ostringstream text;
    text << std::ifstream(output_).rdbuf();
    return text.str();
  }

 private:
  pid_t pid_ = -1;
  std::filesystem::path output_;
  std::optional<int> status_;
};

/** Sets faults of the stand-in that serves `port`. */
inline void SetFaults(int port, const nlohmann::json& faults) {
  httplib::Client client("127.0.0.1", port);
  const auto answer = client.Post("/faults", faults.dump(), "application/json");
  ASSERT_TRUE(answer && answer->status == 200) << "faults of port " << port;
}

/** Runs the program `load` in the background. */
class LoadProcess {
 public:
  /** `run_name` must be unique among the load runs of a test. */
  LoadProcess(const std::string& run_name,
              const std::vector<int>& nodes,
              const std::vector<int>& minions,
              const std::vector<std::string>& more_arguments)
      : json_(TestDirectory() / (run_name + ".json")),
        process_(run_name,
                 Arguments(run_name, json_, nodes, minions, more_arguments)) {}

  /** Waits for the program to end; returns its summary, or null if it wrote
   * none. */
  nlohmann::json Finish(std::chrono::seconds time = std::chrono::seconds(20)) {
    exit_status_ = process_.Wait(time);
    std::ifstream file(json_);
    auto summary = nlohmann::json::parse(file, nullptr, false);
    return summary.is_object() ? summary : nlohmann::json();
  }

  std::optional<int> exit_status() const { return exit_status_; }
  std::string Output() const { return process_.Output(); }

 private:
  static std::vector<std::string> Arguments(
      const std::string& run_name,
      const std::filesystem::path& json,
      const std::vector<int>& nodes,
      const std::vector<int>& minions,
      const std::vector<std::string>& more) {
    std::filesystem::create_directories(json.parent_path());
    std::filesystem::remove(json);
    std::vector<std::string> all = {
        "load", "--seed", "7", "--run-name", run_name, "--json", json.string()};
    for (int it : nodes) {
      all.insert(all.end(), {"--node", LocalAddress(it)});
    }
    for (int it : minions) {
      all.insert(all.end(), {"--minion", LocalAddress(it)});
    }
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }

  std::filesystem::path json_;
  Process process_;
  std::optional<int> exit_status_;
};

}  // namespace baobab

#endif  // TESTS_PROCESS_FIXTURE_H_
