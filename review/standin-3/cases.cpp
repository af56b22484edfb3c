// The cases that are scripts: cases NAME PROGRAM TOOLS RECORD
//
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
#include <cstdio>

#include "world.h"

using namespace s3;

namespace {

bool trouble = true;

json Step(int count, int cpu, int ms) {
  return {{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", ms}};
}

std::string Id(unsigned n) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", n);
  return id;
}

// Processor time of a process so far, in ms.
long ProcessorMs(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  long user = 0, system = 0;
  for (int i = 1; i <= 13; ++i)
    in >> word;
  in >> user >> system;
  return (user + system) * 1000 / ::sysconf(_SC_CLK_TCK);
}

// A job of many steps. Rules Fault and LOST.
int Steps(World& w) {
  for (int i = 0; i < 6; ++i) {
    w.AddMachine(i, "svc", "r1-" + std::to_string(i / 3));
  }
  if (!w.Start(3, ConfigOf({"svc"}))) {
    w.Note("the nodes do not serve");
    return 2;
  }
  const std::string prefix = "/svc/";
  // Ordinary jobs of two steps.
  std::vector<std::string> jobs;
  for (unsigned i = 0; i < 6; ++i) {
    json second = Step(2, 1000, 1000);
    second["depends_on"] = {0};
    const json spec = {{"spec", "ms=1000"},
                       {"steps", {Step(2, 1000, 1000), second}}};
    const auto id = Id(0xa0 + i);
    if (w.Submit(prefix, id, spec) != 200)
      return 2;
    jobs.push_back(id);
  }
  // The job with many steps: each has one task, and none depends on another.
  const int steps = trouble ? 10'000 : 10;
  json list = json::array();
  for (int i = 0; i < steps; ++i)
    list.push_back({{"count", 1}, {"cpu", 1}});
  const json spec = {{"spec", "ms=20"}, {"steps", list}};
  w.Note("a job of " + std::to_string(steps) + " steps, " +
         std::to_string(spec.dump().size()) + " bytes");
  std::thread sender([&] { w.Submit(prefix, Id(0xff), spec); });
  // finish_s is 14 s; the jobs are asked for from 20 s to 50 s after it.
  World::Sleep(20'000);
  w.Note("jobs are asked for");
  std::vector<long> used;
  for (const auto& it : w.nodes)
    used.push_back(ProcessorMs(it.pid));
  std::map<std::string, std::string> answers;
  const auto begin = SteadyMs();
  std::vector<std::thread> askers;
  std::mutex mutex;
  for (const auto& id : jobs) {
    askers.emplace_back([&, id] {
      for (unsigned i = 0; SteadyMs() - begin < 30'000; ++i) {
        const auto& node = w.nodes[i % w.nodes.size()];
        const auto state = w.State(node, prefix, id);
        w.Note("state of " + id + " at " + node.name + ": " +
               (state == "0" ? "no answer in 3.5 s" : state));
        if (state == "completed") {
          std::lock_guard lock(mutex);
          answers[id] = state;
          return;
        }
        World::Sleep(300);
      }
    });
  }
  for (auto& it : askers)
    it.join();
  sender.join();
  const auto passed = SteadyMs() - begin;
  for (std::size_t i = 0; i < w.nodes.size(); ++i) {
    const auto& node = w.nodes[i];
    const auto ready = Call(node.ready, "GET", "/baobabfront/readiness");
    w.Note(node.name + ": used " +
           std::to_string(ProcessorMs(node.pid) - used[i]) +
           " ms of processor time in the last " + std::to_string(passed) +
           " ms; asked whether it is ready: " +
           (ready.status == 0 ? "no answer in 3.5 s"
                              : std::to_string(ready.status)));
  }
  w.NoteWorkerLines(Id(0xff));
  w.Note(std::to_string(answers.size()) + " of " + std::to_string(jobs.size()) +
         " accepted jobs were shown as completed");
  return answers.size() == jobs.size() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5)
    return 2;
  const auto* variable = std::getenv("TROUBLE");
  trouble = !variable || std::string(variable) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  World w(argv[2], argv[3], argv[4]);
  const int result = name == "steps" ? Steps(w) : 2;
  w.Note("result " + std::to_string(result));
  return result;
}
