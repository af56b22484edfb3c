// Runs nodes as processes with stand-ins of the store and the workers under a
// random series of faults. Usage:
//   soak BINARY DEPLOY_FOLDER SEED SECONDS
// Exit status 1 if a rule was broken, 0 if all held, 2 on wrong usage.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "fault_schedule.h"
#include "soak_client.h"
#include "soak_world.h"

namespace baobab {
namespace {

/** Time that the nodes get to divide the shards. */
constexpr std::int64_t kStartMs = 4000;
/** Time after the last fault in which all jobs must complete. */
constexpr std::int64_t kSettleMs = 60000;
constexpr std::int64_t kTickMs = 20;
constexpr int kClients = 8;

int RunSoak(const NodeFiles& files, std::uint64_t seed, std::int64_t seconds) {
  const auto folder = EnterSoakFolder(files);
  std::printf("seed %llu, %lld s of faults, logs in %s\n",
              static_cast<unsigned long long>(seed),
              static_cast<long long>(seconds), folder.c_str());
  std::fflush(stdout);
  auto& world = *new SoakWorld(folder, seed);
  FaultSchedule faults(world, seed);
  faults.DrawFaults(kStartMs, kStartMs + seconds * 1000);
  std::vector<std::unique_ptr<SoakClient>> clients;
  const auto open_jobs = [&] {
    int n = 0;
    for (const auto& it : clients) {
      n += it->open_jobs();
    }
    return n;
  };
  while (faults.Tick()) {
    if (clients.empty() && review::Now() > kStartMs / 2) {
      for (int i = 0; i < kClients; ++i) {
        clients.push_back(
            std::make_unique<SoakClient>(world, i + 1, seed * kClients + i));
      }
    }
    world.Tick();
    review::SleepMs(kTickMs);
  }
  world.record.Line("all faults are over");
  for (auto& it : clients) {
    it->StopSubmitting();
  }
  const auto faults_end = review::Now();
  while (open_jobs() > 0 && review::Now() - faults_end < kSettleMs) {
    world.Tick();
    review::SleepMs(kTickMs);
  }
  const auto settled_ms = review::Now() - faults_end;
  std::size_t jobs = 0;
  for (auto& it : clients) {
    it->Finish();
    jobs += it->CountJobs();
  }
  world.checks.Check();
  for (auto& it : world.nodes) {
    it->Kill(0);
  }
  world.checks.WriteRepeats(world.record);
  std::printf(
      "seed %llu: %d faults, %zu jobs, %zu runs, settled after %lld ms\n",
      static_cast<unsigned long long>(seed), faults.count(), jobs,
      world.runs.Copy().size(), static_cast<long long>(settled_ms));
  const auto n = world.findings.size();
  if (n > 0) {
    std::printf("seed %llu: FAILED, %zu findings; logs in %s\n",
                static_cast<unsigned long long>(seed), n, folder.c_str());
    return 1;
  }
  std::printf("seed %llu: passed\n", static_cast<unsigned long long>(seed));
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::current_path("/");
    std::filesystem::remove_all(folder);
  }
  return 0;
}

}  // namespace
}  // namespace baobab

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: soak BINARY DEPLOY_FOLDER SEED SECONDS\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const int status = baobab::RunSoak({argv[1], argv[2]}, std::stoull(argv[3]),
                                     std::stoll(argv[4]));
  std::fflush(stdout);
  // The threads of the servers never end.
  std::_Exit(status);
}
