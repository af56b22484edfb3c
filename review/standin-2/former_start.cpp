// TWICE: a start that is under way when its owner is killed is carried out by
// the next life of its minion, which is cut off, beside a second run.
#include "cases.h"

namespace review2 {

int FormerStart(World& world, bool trouble) {
  // The minions have run for some time when the system starts.
  constexpr std::int64_t kMinionAgeMs = 600000;
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4), kMinionAgeMs);
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i) {
    world.AddNode();
  }
  if (!world.AwaitReady(25000)) {
    return kNotPlayed;
  }
  // A first job shows which node owns the pool.
  const Json step = {
      {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", 25000}};
  const Json job = {{"spec", "ms=25000"}, {"steps", {step}}};
  if (!world.SubmitUntilAccepted("0000000000000001", job, 5000)) {
    return kNotPlayed;
  }
  SleepMs(1000);
  Node* owner = nullptr;
  for (auto& it : world.nodes) {
    const auto status = Call(it.control, "GET", "/status", "x", "", 1000);
    if (status.body.find("jobs 1") != std::string::npos) {
      owner = &it;
    }
  }
  if (!owner) {
    return kNotPlayed;
  }
  const std::string id = "5c0e7a21d94b36f8";
  std::atomic<Minion*> held{nullptr};
  std::atomic<bool> cut{false};
  for (auto& it : world.minions) {
    Minion* minion = it.get();
    minion->on_order = [&, minion](const Request& request,
                                   std::int64_t* late_ms) {
      Minion* none = nullptr;
      if (cut && minion == held) {
        return Minion::Fate::kCut;
      }
      if (trouble && request.path == "/baobabfront/run-start" &&
          request.body.find(id) != std::string::npos &&
          held.compare_exchange_strong(none, minion)) {
        *late_ms = 11000;
        world.record.Line("no answer, carried out %lld ms later: %s at %s",
                          static_cast<long long>(*late_ms),
                          request.body.substr(0, 200).c_str(),
                          minion->options().id.c_str());
        return Minion::Fate::kLate;
      }
      return Minion::Fate::kAnswer;
    };
  }
  if (!world.SubmitUntilAccepted(id, job, 5000)) {
    return kNotPlayed;
  }
  if (trouble) {
    for (int i = 0; i < 200 && !held; ++i) {
      SleepMs(5);
    }
    if (!held) {
      return kNotPlayed;
    }
    const auto sent_ms = SteadyMs();
    const auto until = [&](std::int64_t ms) {
      SleepMs(sent_ms + ms - SteadyMs());
    };
    until(100);
    world.Signal(*owner, SIGKILL);
    until(250);
    held.load()->Crash();
    until(3300);
    world.StartNode(*owner);
    until(4700);
    cut = true;
    world.record.Line("minion %s is cut off from all nodes for 9 s",
                      held.load()->options().id.c_str());
    held.load()->Start();
    until(13700);
    cut = false;
    world.record.Line("the cut heals");
  }
  std::string state;
  for (int i = 0; i < 90 && state != "completed"; ++i) {
    SleepMs(500);
    state = world.StateText(id);
  }
  world.record.Line("the job is shown as %s", state.c_str());
  if (state != "completed" && !trouble) {
    return kNotPlayed;
  }
  return world.ReportTwice() > 0 ? kBroken : kHeld;
}

}  // namespace review2
