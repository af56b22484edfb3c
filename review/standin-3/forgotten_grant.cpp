// TWICE: a poll that extends leases is held up, its minion leaves the list for
// a moment and is back under its id, and the poll arrives at that next life,
// which is cut off. Built on the stand-in of the second review. With SHORT=1
// the minion is down for too short a time to leave the list.
// Usage: forgotten_grant ROOT TEMPORARY_FOLDER RECORD
#include <cstdio>
#include <cstdlib>

#include "../standin-2/cases.h"

using namespace review2;

namespace {

// Limits: see claim.txt.
constexpr std::int64_t kPollLateMs = 10'000;
constexpr std::int64_t kDownMs = 4200;
constexpr std::int64_t kShortPollLateMs = 7000;
constexpr std::int64_t kShortDownMs = 600;
constexpr std::int64_t kCutMs = 5500;
/** Time from the last heartbeat to the crash. */
constexpr std::int64_t kSilentMs = 1250;

Json JobOf(std::int64_t work_ms) {
  const Json step = {{"count", 1},
                     {"cpu", 3500},
                     {"mem_mb", 500},
                     {"estimate_ms", work_ms},
                     {"affinity", "r1-1"}};
  return {{"spec", "ms=" + std::to_string(work_ms)}, {"steps", {step}}};
}

bool Await(const std::function<bool()>& done, std::int64_t limit_ms) {
  for (const auto until = SteadyMs() + limit_ms; !done(); SleepMs(2)) {
    if (SteadyMs() > until)
      return false;
  }
  return true;
}

int Play(World& world, bool trouble, bool is_short) {
  constexpr std::int64_t kMinionAgeMs = 600'000;
  std::map<Minion*, std::int64_t> began_ms;
  for (int i = 1; i <= 9; ++i) {
    auto& minion =
        world.AddMinion("i-" + std::to_string(1000 + i),
                        "r1-" + std::to_string((i + 3) / 4), kMinionAgeMs);
    began_ms[&minion] = SteadyMs();
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i)
    world.AddNode();
  if (!world.AwaitReady(25'000))
    return kNotPlayed;
  SleepMs(2000);
  const std::string first = "00000000000000a1";
  const std::string second = "5c0e7a21d94b36f8";
  std::atomic<Minion*> held{nullptr};
  std::atomic<std::int64_t> poll_ms{0};
  std::atomic<bool> noted{false};
  std::atomic<bool> is_back{false};
  std::atomic<bool> heard{false};
  std::atomic<Minion*> second_at{nullptr};
  std::atomic<int> polls{0};
  std::atomic<bool> cut{false};
  for (auto& it : world.minions) {
    Minion* minion = it.get();
    minion->on_order = [&, minion](const Request& request,
                                   std::int64_t* late_ms) {
      if (request.method != "POST")
        return Minion::Fate::kAnswer;
      const bool is_start = request.path == "/baobabfront/run-start";
      Minion* none = nullptr;
      if (is_start && request.body.find(first) != std::string::npos)
        held.compare_exchange_strong(none, minion);
      if (is_start && request.body.find(second) != std::string::npos)
        second_at.compare_exchange_strong(none, minion);
      if (!trouble || minion != held)
        return Minion::Fate::kAnswer;
      if (cut)
        return Minion::Fate::kCut;
      if (request.path != "/baobabfront/hold")
        return Minion::Fate::kAnswer;
      const auto body = Json::parse(request.body);
      if (poll_ms == 0 && body.contains("deadline_ms")) {
        poll_ms = SteadyMs();
        *late_ms = is_short ? kShortPollLateMs : kPollLateMs;
        world.record.Line("no answer, carried out %lld ms later: %s at %s",
                          static_cast<long long>(*late_ms),
                          request.body.substr(0, 200).c_str(),
                          minion->options().id.c_str());
        return Minion::Fate::kLate;
      }
      noted = noted || body.value("last_seen", 0) > 0;
      heard = heard || is_back;
      if (second_at == minion && ++polls == 2) {
        // The poll before has been answered.
        cut = true;
        world.record.Line("minion %s is cut off from all nodes for %lld ms",
                          minion->options().id.c_str(),
                          static_cast<long long>(kCutMs));
        return Minion::Fate::kCut;
      }
      return Minion::Fate::kAnswer;
    };
  }
  if (!world.SubmitUntilAccepted(first, JobOf(1200), 5000) ||
      !Await([&] { return held != nullptr; }, 2000)) {
    return kNotPlayed;
  }
  if (trouble) {
    Minion& minion = *held.load();
    if (!Await([&] { return poll_ms != 0 && noted; }, 5000))
      return kNotPlayed;
    SleepMs(100);
    const auto phase = (SteadyMs() - began_ms[&minion]) % Minion::kHeartbeatMs;
    SleepMs((kSilentMs - phase + Minion::kHeartbeatMs) % Minion::kHeartbeatMs);
    minion.Crash();
    SleepMs(is_short ? kShortDownMs : kDownMs);
    minion.Start();
    is_back = true;
    if (!Await([&] { return heard.load(); }, 3000))
      return kNotPlayed;
    SleepMs(50);
  }
  if (!world.SubmitUntilAccepted(second, JobOf(20'000), 5000))
    return kNotPlayed;
  if (trouble) {
    if (!Await([&] { return cut.load(); }, 5000)) {
      world.record.Line("the second task went to another minion");
      return kNotPlayed;
    }
    SleepMs(kCutMs);
    cut = false;
    world.record.Line("the cut heals");
  }
  std::string state;
  for (int i = 0; i < 90 && state != "completed"; ++i) {
    SleepMs(500);
    state = world.StateText(second);
  }
  world.record.Line("the job is shown as %s", state.c_str());
  if (state != "completed" && !trouble)
    return kNotPlayed;
  return world.ReportTwice() > 0 ? kBroken : kHeld;
}

bool IsSet(const char* name, const char* value) {
  const char* variable = std::getenv(name);
  return variable && std::string(variable) == value;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return kNotPlayed;
  const bool trouble = !IsSet("TROUBLE", "0");
  auto& world = *new World(argv[1], argv[2], argv[3]);
  world.record.Line("%s", trouble ? "with its disruption" : "TROUBLE=0");
  const int result = Play(world, trouble, IsSet("SHORT", "1"));
  world.StopNodes();
  world.record.Line("result %d", result);
  std::_Exit(result);
}
