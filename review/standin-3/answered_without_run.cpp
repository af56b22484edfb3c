// TWICE: a start that is under way when its owner is killed is carried out by
// the next life of its minion, which is cut off, although the minion has
// answered the next owner meanwhile. Built on the stand-in of the second
// review. With the word `lasts` the task lasts, and its owner is not killed.
// Usage: answered_without_run ROOT TEMPORARY_FOLDER RECORD [lasts]
#include <cstdio>
#include <cstdlib>

#include "../standin-2/cases.h"

using namespace review2;

namespace {

// Limits: see claim.txt.
constexpr std::int64_t kLateMs = 9000;
constexpr std::int64_t kCrashAtMs = 4000;
constexpr std::int64_t kBackAtMs = 4600;
constexpr std::int64_t kCutFromMs = 4400;
constexpr std::int64_t kCutMs = 5500;

int Play(World& world, bool trouble, bool lasts) {
  constexpr std::int64_t kMinionAgeMs = 600'000;
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4), kMinionAgeMs);
  }
  world.WriteConfig(1);
  // The node that is killed is within the site's share of 0.16.
  const int node_count = lasts ? 3 : 8;
  for (int i = 0; i < node_count; ++i)
    world.AddNode();
  if (!world.AwaitReady(25'000))
    return kNotPlayed;
  const Json step = {
      {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", 25'000}};
  const Json job = {{"spec", "ms=25000"}, {"steps", {step}}};
  Json lasting_step = step;
  lasting_step["long_running"] = true;
  const Json lasting = {{"spec", "ms=100000"}, {"steps", {lasting_step}}};
  // A first job shows which node owns the pool.
  if (!world.SubmitUntilAccepted("0000000000000001", job, 5000)) {
    return kNotPlayed;
  }
  SleepMs(1000);
  Node* owner = nullptr;
  for (auto& it : world.nodes) {
    const auto status = Call(it.control, "GET", "/status", "x", "", 1000);
    if (status.body.find("jobs 1") != std::string::npos)
      owner = &it;
  }
  if (!owner)
    return kNotPlayed;
  const std::string id = "5c0e7a21d94b36f8";
  std::atomic<Minion*> held{nullptr};
  std::atomic<bool> cut{false};
  for (auto& it : world.minions) {
    Minion* minion = it.get();
    minion->on_order = [&, minion](const Request& request,
                                   std::int64_t* late_ms) {
      Minion* none = nullptr;
      if (cut && minion == held)
        return Minion::Fate::kCut;
      if (trouble && request.path == "/baobabfront/run-start" &&
          request.body.find(id) != std::string::npos &&
          held.compare_exchange_strong(none, minion)) {
        *late_ms = kLateMs;
        world.record.Line("no answer, carried out %lld ms later: %s at %s",
                          static_cast<long long>(*late_ms),
                          request.body.substr(0, 200).c_str(),
                          minion->options().id.c_str());
        return Minion::Fate::kLate;
      }
      return Minion::Fate::kAnswer;
    };
  }
  if (!world.SubmitUntilAccepted(id, lasts ? lasting : job, 5000)) {
    return kNotPlayed;
  }
  if (trouble) {
    for (int i = 0; i < 200 && !held; ++i)
      SleepMs(5);
    if (!held)
      return kNotPlayed;
    const auto sent_ms = SteadyMs();
    const auto until = [&](std::int64_t ms) {
      SleepMs(std::max<std::int64_t>(0, sent_ms + ms - SteadyMs()));
    };
    if (!lasts) {
      until(100);
      world.Signal(*owner, SIGKILL);
      until(3300);
      world.StartNode(*owner);
    }
    until(kCrashAtMs);
    held.load()->Crash();
    until(kCutFromMs);
    cut = true;
    world.record.Line("minion %s is cut off from all nodes for %lld ms",
                      held.load()->options().id.c_str(),
                      static_cast<long long>(kCutMs));
    until(kBackAtMs);
    held.load()->Start();
    until(kCutFromMs + kCutMs);
    cut = false;
    world.record.Line("the cut heals");
  }
  std::string state;
  if (lasts) {
    SleepMs(trouble ? 4000 : 15'000);
    world.record.Line("the job is shown as %s", world.StateText(id).c_str());
    return world.ReportTwice() > 0 ? kBroken : kHeld;
  }
  for (int i = 0; i < 90 && state != "completed"; ++i) {
    SleepMs(500);
    state = world.StateText(id);
  }
  world.record.Line("the job is shown as %s", state.c_str());
  if (state != "completed" && !trouble)
    return kNotPlayed;
  return world.ReportTwice() > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return kNotPlayed;
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = !variable || std::string(variable) != "0";
  auto& world = *new World(argv[1], argv[2], argv[3]);
  world.record.Line("%s", trouble ? "with its disruption" : "TROUBLE=0");
  const int result = Play(world, trouble, argc > 4);
  world.StopNodes();
  world.record.Line("result %d", result);
  std::_Exit(result);
}
