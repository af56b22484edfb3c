// TWICE: a poll that was meant for a former life of a minion arrives at the
// next one and takes note of an end there that the system has not seen. Built
// on the stand-in of the second review.
// Usage: late_acknowledgement ROOT TEMPORARY_FOLDER RECORD
#include <cstdio>
#include <cstdlib>

#include "../standin-2/cases.h"

using namespace review2;

namespace {

// Limits: see claim.txt. All times count from the start order of the task.
constexpr std::int64_t kStartArrivesMs = 5600;
constexpr std::int64_t kPollArrivesMs = 9000;
constexpr std::int64_t kCutFromMs = 4400;
constexpr std::int64_t kCutMs = 5500;
constexpr std::int64_t kCrashAtMs = 4500;
constexpr std::int64_t kBackAtMs = 5100;
/** How long orders may be left unanswered. */
constexpr std::int64_t kLateForMs = 5500;

Json JobOf(int count, std::int64_t work_ms) {
  const Json step = {{"count", count},
                     {"cpu", 3500},
                     {"mem_mb", 500},
                     {"estimate_ms", work_ms}};
  return {{"spec", "ms=" + std::to_string(work_ms)}, {"steps", {step}}};
}

std::string Text(const Run& it) {
  return "run " + std::to_string(it.number) + " on " + it.minion + ", born " +
         std::to_string(it.born) + " (" + std::to_string(it.begin_ms) + " to " +
         (it.end_ms < 0 ? "now" : std::to_string(it.end_ms)) + " ms, " +
         (it.how.empty() ? "at work" : it.how) +
         (it.noted ? ", taken note of)" : ")");
}

/** Writes the starts after an end `done` that was taken note of, and returns
 * their number. */
int ReportStartsAfterDone(World& world) {
  int found = 0;
  const auto all = world.runs.Copy();
  for (const auto& first : all) {
    for (const auto& second : all) {
      if (first.task == second.task && first.how == "done" && first.noted &&
          second.begin_ms > first.end_ms) {
        ++found;
        world.record.Line("TWICE: %s: %s after %s", second.task.c_str(),
                          Text(second).c_str(), Text(first).c_str());
      }
    }
  }
  return found;
}

int Play(World& world, bool trouble) {
  constexpr std::int64_t kMinionAgeMs = 600'000;
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4), kMinionAgeMs);
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i)
    world.AddNode();
  if (!world.AwaitReady(25'000))
    return kNotPlayed;
  const std::string id = "5c0e7a21d94b36f8";
  std::atomic<Minion*> held{nullptr};
  std::atomic<std::int64_t> sent_ms{0};
  std::atomic<bool> poll_is_late{false};
  std::atomic<bool> cut{false};
  std::atomic<int> orders{0};
  for (auto& it : world.minions) {
    Minion* minion = it.get();
    minion->on_order = [&, minion](const Request& request,
                                   std::int64_t* late_ms) {
      if (request.method != "POST")
        return Minion::Fate::kAnswer;
      if (cut && minion == held)
        return Minion::Fate::kCut;
      const auto since_ms = sent_ms == 0 ? -1 : SteadyMs() - sent_ms;
      if (since_ms >= 0 && since_ms < kLateForMs)
        ++orders;
      if (!trouble)
        return Minion::Fate::kAnswer;
      Minion* none = nullptr;
      if (request.path == "/baobabfront/run-start" &&
          request.body.find(id) != std::string::npos &&
          held.compare_exchange_strong(none, minion)) {
        sent_ms = SteadyMs();
        ++orders;
        *late_ms = kStartArrivesMs;
      } else if (request.path == "/baobabfront/hold" && minion == held &&
                 since_ms >= 0 && since_ms < kCutFromMs &&
                 Json::parse(request.body).value("last_seen", 0) > 0 &&
                 !poll_is_late.exchange(true)) {
        *late_ms = kPollArrivesMs - since_ms;
      } else {
        return Minion::Fate::kAnswer;
      }
      world.record.Line("no answer, carried out %lld ms later: %s at %s",
                        static_cast<long long>(*late_ms),
                        request.body.substr(0, 200).c_str(),
                        minion->options().id.c_str());
      return Minion::Fate::kLate;
    };
  }
  std::atomic<bool> submits{true};
  std::thread load([&] {
    for (int i = 1; submits && i <= 8; ++i) {
      char name[17];
      std::snprintf(name, sizeof(name), "%016x", i);
      world.Submit(world.nodes[0], name, JobOf(60, 1000));
      SleepMs(1000);
    }
  });
  SleepMs(2500);
  const bool accepted = world.SubmitUntilAccepted(id, JobOf(1, 2000), 5000);
  if (accepted && trouble) {
    for (int i = 0; i < 200 && !held; ++i)
      SleepMs(5);
  }
  if (!accepted || (trouble && !held)) {
    submits = false;
    load.join();
    return kNotPlayed;
  }
  if (trouble) {
    const auto until = [&](std::int64_t ms) {
      SleepMs(std::max<std::int64_t>(0, sent_ms + ms - SteadyMs()));
    };
    until(kCutFromMs);
    cut = true;
    world.record.Line("minion %s is cut off from all nodes for %lld ms",
                      held.load()->options().id.c_str(),
                      static_cast<long long>(kCutMs));
    until(kCrashAtMs);
    held.load()->Crash();
    until(kBackAtMs);
    held.load()->Start();
    until(kCutFromMs + kCutMs);
    cut = false;
    world.record.Line("the cut heals");
  }
  load.join();
  std::string state;
  for (int i = 0; i < 90 && state != "completed"; ++i) {
    SleepMs(500);
    state = world.StateText(id);
  }
  world.record.Line("the job is shown as %s", state.c_str());
  if (trouble) {
    world.record.Line(
        "%d of %d orders and polls in %lld ms were left "
        "unanswered and carried out late",
        poll_is_late ? 2 : 1, orders.load(),
        static_cast<long long>(kLateForMs));
  }
  if (state != "completed" && !trouble)
    return kNotPlayed;
  const int found = ReportStartsAfterDone(world) + world.ReportTwice();
  return found > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4)
    return kNotPlayed;
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = !variable || std::string(variable) != "0";
  auto& world = *new World(argv[1], argv[2], argv[3]);
  world.record.Line("%s", trouble ? "with its disruption" : "TROUBLE=0");
  const int result = Play(world, trouble);
  world.StopNodes();
  world.record.Line("result %d", result);
  std::_Exit(result);
}
