// TWICE: an entry of another writer, which lacks fields, takes a live minion's
// runs away from it.
#include "cases.h"

namespace review2 {

int OddEntry(World& world, bool trouble) {
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
  const Json step = {
      {"count", 9}, {"cpu", 20000}, {"mem_mb", 1000}, {"estimate_ms", 20000}};
  const Json job = {{"spec", "ms=20000"}, {"steps", {step}}};
  const std::string id = "5c0e7a21d94b36f8";
  if (!world.SubmitUntilAccepted(id, job, 10000)) {
    return kNotPlayed;
  }
  SleepMs(4000);
  Minion* chosen = nullptr;
  for (auto& it : world.minions) {
    if (it->RunCount() > 0) {
      chosen = it.get();
    }
  }
  if (!chosen) {
    return kNotPlayed;
  }
  world.record.Line("minion %s of machine %s is up and has %zu runs",
                    chosen->options().id.c_str(),
                    chosen->options().machine.c_str(), chosen->RunCount());
  if (trouble) {
    auto entry = chosen->Entry();
    for (const char* field :
         {"zone", "version", "slots", "cold_left_ms", "seq", "clock_ms"}) {
      entry.erase(field);
    }
    entry["address"] = "127.0.0.1:" + std::to_string(FreePort());
    entry["born"] = WallMs();
    world.store.Put("keyed.servers", "i-9999", entry.dump());
    world.record.Line("another writer's entry i-9999: %s",
                      entry.dump().c_str());
  }
  SleepMs(10000);
  std::string state;
  for (int i = 0; i < 40 && state != "completed"; ++i) {
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
