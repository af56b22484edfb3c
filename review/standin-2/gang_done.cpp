// LOST: after a takeover the records of a job with a gang and occurrences end
// each owner of its shard, so that no job of the pool is answered any more.
#include "cases.h"

namespace review2 {

int GangDone(World& world, bool trouble) {
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4), 0,
                    "zone-" + std::to_string((i + 2) % 3 + 1));
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i) {
    world.AddNode();
  }
  if (!world.AwaitReady(25000)) {
    return kNotPlayed;
  }
  // Other jobs of the queue, which have nothing to do with the gang.
  std::vector<std::string> others;
  for (int i = 0; i < 4; ++i) {
    others.push_back("000000000000000" + std::to_string(i + 1));
    const Json step = {
        {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", 12000}};
    if (!world.SubmitUntilAccepted(
            others.back(), Json{{"spec", "ms=12000"}, {"steps", {step}}},
            5000)) {
      return kNotPlayed;
    }
  }
  // Twenty-four jobs with a gang of two, which come three times.
  const Json step = {{"count", 2},         {"cpu", 3500},
                     {"mem_mb", 500},      {"estimate_ms", 3000},
                     {"anti_affinity", 1}, {"gang", true}};
  const Json job = {{"spec", "ms=3000"},
                    {"steps", {step}},
                    {"repeats", 3},
                    {"start_ms", WallMs() + 1500},
                    {"interval_ms", 8000}};
  constexpr int kGangs = 24;
  std::vector<std::string> gangs;
  for (int i = 0; i < kGangs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
    gangs.emplace_back(id);
    if (!world.SubmitUntilAccepted(id, job, 5000)) {
      return kNotPlayed;
    }
  }
  const auto count_runs = [&] {
    std::size_t n = 0;
    for (const auto& it : world.runs.Copy()) {
      n += it.task.rfind("5c0e", 0) == 0 && it.end_ms < 0 ? 1 : 0;
    }
    return n;
  };
  for (int i = 0; i < 800 && count_runs() < 2 * kGangs; ++i) {
    SleepMs(10);
  }
  if (count_runs() < 2 * kGangs) {
    return kNotPlayed;
  }
  world.record.Line("all members of the first occurrences are at work");
  Node* owner = nullptr;
  for (auto& it : world.nodes) {
    const auto status = Call(it.control, "GET", "/status", "x", "", 1000);
    if (status.body.find("jobs " + std::to_string(4 + kGangs)) !=
        std::string::npos) {
      owner = &it;
    }
  }
  if (!owner) {
    return kNotPlayed;
  }
  SleepMs(2600);
  if (trouble) {
    world.Signal(*owner, SIGKILL);
    while (count_runs() > 0) {
      SleepMs(5);
    }
    SleepMs(100);
    world.minions.front()->Crash();
    SleepMs(600);
    world.minions.front()->Start();
    SleepMs(2000);
    world.StartNode(*owner);
  }
  SleepMs(25000);
  int unanswered = 0;
  for (std::size_t i = 0; i < others.size(); ++i) {
    std::string state;
    for (std::size_t k = 0; k < 3 && state != "completed"; ++k) {
      auto& node = world.nodes[(i + k) % world.nodes.size()];
      const auto answer = world.State(node, others[i]);
      world.record.Line("GET %s at %s -> %d %s", others[i].c_str(),
                        node.name.c_str(), answer.status, answer.body.c_str());
      const auto json = Json::parse(answer.body, nullptr, false);
      state = json.is_object() ? json.value("state", "") : "";
    }
    unanswered += state != "completed" ? 1 : 0;
  }
  const Json small = {
      {"count", 1}, {"cpu", 500}, {"mem_mb", 500}, {"estimate_ms", 200}};
  const bool accepted = world.SubmitUntilAccepted(
      "00000000000000ff", Json{{"spec", "ms=200"}, {"steps", {small}}}, 10000);
  world.record.Line("a new job is %s", accepted ? "accepted" : "not accepted");
  if (unanswered > 0) {
    world.record.Line(
        "LOST: %d of %zu accepted jobs of 12 s are not known as completed 25 s "
        "after the last disruption",
        unanswered, others.size());
    return kBroken;
  }
  return kHeld;
}

}  // namespace review2
