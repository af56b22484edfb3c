// LOST: one start gets no answer; the minion answers the stop of that run, and
// the task waits all the same, with the whole service free.
#include "cases.h"

namespace review2 {

int LateStart(World& world, bool trouble) {
  constexpr std::int64_t kFinishMs = 14000;
  constexpr std::int64_t kIdleMs = 3000;
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
  const std::string id = "5c0e7a21d94b36f8";
  const std::string task = id + ".0.1.0";
  std::atomic<int> orders{0};
  std::atomic<int> late{0};
  for (auto& it : world.minions) {
    Minion* minion = it.get();
    minion->on_order = [&, minion](const Request& request,
                                   std::int64_t* late_ms) {
      if (request.path != "/baobabfront/hold" && request.method == "POST") {
        ++orders;
      }
      if (trouble && late == 0 && request.path == "/baobabfront/run-start" &&
          request.body.find(task) != std::string::npos) {
        ++late;
        *late_ms = 9000;
        world.record.Line("no answer, carried out %lld ms later: %s at %s",
                          static_cast<long long>(*late_ms),
                          request.body.substr(0, 200).c_str(),
                          minion->options().id.c_str());
        return Minion::Fate::kLate;
      }
      return Minion::Fate::kAnswer;
    };
  }
  // Other traffic, so that the one late order is a small share of all.
  for (int i = 0; i < 30; ++i) {
    char other[17];
    std::snprintf(other, sizeof(other), "%016x", i + 1);
    const Json step = {
        {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", 500}};
    world.Submit(world.nodes[static_cast<std::size_t>(i) % 3], other,
                 Json{{"spec", "ms=500"}, {"steps", {step}}});
    SleepMs(50);
  }
  const Json step0 = {
      {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", 6000}};
  Json step1 = step0;
  step1["depends_on"] = {0};
  if (!world.SubmitUntilAccepted(
          id, Json{{"spec", "ms=6000"}, {"steps", {step0, step1}}}, 5000)) {
    return kNotPlayed;
  }
  const auto traffic_end = SteadyMs();
  std::int64_t turn_ms = 0;
  std::int64_t idle_since = 0;
  std::int64_t longest = 0;
  std::string state;
  while (SteadyMs() - traffic_end < 45000) {
    SleepMs(20);
    std::size_t running = 0;
    std::size_t others = 0;
    for (auto& it : world.minions) {
      const bool here = it->IsRunning(id + ".0.0.0") || it->IsRunning(task);
      running += here ? 1 : 0;
      others += it->RunCount() - (here ? 1 : 0);
    }
    for (const auto& it : world.runs.Copy()) {
      if (it.task == id + ".0.0.0" && it.how == "done" && turn_ms == 0) {
        turn_ms = it.end_ms;
        world.record.Line("the turn of %s has come", task.c_str());
      }
    }
    const auto now = SteadyMs();
    const bool idle = turn_ms > 0 && running == 0 && others == 0 &&
                      now - traffic_end >= kFinishMs;
    if (!idle) {
      idle_since = 0;
    } else if (idle_since == 0) {
      idle_since = now;
    } else {
      longest = std::max(longest, now - idle_since);
    }
    if (now % 500 < 20) {
      state = world.StateText(id);
      if (state == "completed") {
        break;
      }
    }
  }
  world.record.Line(
      "%d of %d orders were late; the job is shown as %s; from %lld ms after "
      "the end of the traffic on, nothing of it ran for %lld ms although all "
      "minions were idle",
      late.load(), orders.load(), state.c_str(),
      static_cast<long long>(kFinishMs), static_cast<long long>(longest));
  if (state != "completed" && !trouble) {
    return kNotPlayed;
  }
  if (longest >= kIdleMs) {
    world.record.Line("LOST: %s could run and did not", task.c_str());
    return kBroken;
  }
  return kHeld;
}

}  // namespace review2
