// LOST: a job whose tasks last is shown as failed, since minions have crashed.
#include "cases.h"

namespace review2 {

int CrashedWorkers(World& world, bool trouble) {
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4));
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i) {
    world.AddNode();
  }
  if (!world.AwaitReady(25000)) {
    return kNotPlayed;
  }
  const Json step = {{"count", 5},         {"cpu", 5300},
                     {"mem_mb", 27000},    {"estimate_ms", 1000},
                     {"anti_affinity", 1}, {"long_running", true}};
  const Json job = {{"spec", "lasts"}, {"steps", {step}}};
  const std::string id = "5c0e7a21d94b36f8";
  const std::string task = id + ".0.0.0";
  if (!world.SubmitUntilAccepted(id, job, 10000)) {
    return kNotPlayed;
  }
  SleepMs(8000);
  const auto find = [&]() -> Minion* {
    for (auto& it : world.minions) {
      if (it->IsUp() && it->IsRunning(task)) {
        return it.get();
      }
    }
    return nullptr;
  };
  std::string state = world.StateText(id);
  if (state != "running") {
    return kNotPlayed;
  }
  int crashes = 0;
  while (trouble && crashes < 4 && state == "running") {
    Minion* minion = nullptr;
    for (int i = 0; i < 200 && !minion; ++i) {
      SleepMs(100);
      minion = find();
    }
    if (!minion) {
      break;
    }
    // The task has come to work: its startup takes 0.7 s.
    SleepMs(2500);
    ++crashes;
    minion->Crash();
    SleepMs(1000);
    minion->Start();
    SleepMs(1000);
    state = world.StateText(id);
    world.record.Line("after %d crashes the job is shown as %s", crashes,
                      state.c_str());
  }
  if (!trouble) {
    SleepMs(20000);
  }
  for (int i = 0; i < 20; ++i) {
    SleepMs(500);
    state = world.StateText(id);
    if (state == "failed") {
      break;
    }
  }
  int failed_ends = 0;
  for (const auto& it : world.runs.Copy()) {
    failed_ends += it.how == "failed" ? 1 : 0;
  }
  world.record.Line(
      "the job is shown as %s; %d runs have ended failed; nobody cancelled it",
      state.c_str(), failed_ends);
  if (state == "failed" && failed_ends == 0) {
    world.record.Line("LOST: shown as failed without cause");
    return kBroken;
  }
  return state == "running" ? kHeld : kNotPlayed;
}

}  // namespace review2
