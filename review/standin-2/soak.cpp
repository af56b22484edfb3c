// Looks for faults in what the users' days don't play: gangs, checkpoints,
// occurrences, labels. Not a case; SEED and SECONDS come from the environment.
#include <random>

#include "cases.h"

namespace review2 {

int Soak(World& world, bool trouble) {
  const auto number = [](const char* name, int fallback) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
  };
  std::mt19937 random(static_cast<unsigned>(number("SEED", 1)));
  const auto draw = [&](int a, int b) {
    return std::uniform_int_distribution<int>(a, b)(random);
  };
  const int seconds = number("SECONDS_OF_FAULTS", 40);
  const int late_share = number("LATE", 0);
  const int kills = number("KILLS", 1);
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
  std::atomic<bool> faults{trouble};
  for (auto& it : world.minions) {
    it->on_order = [&, late_share](const Request& request,
                                   std::int64_t* late_ms) {
      if (!faults || late_share == 0 || request.method == "GET") {
        return Minion::Fate::kAnswer;
      }
      static std::mutex mutex;
      static std::mt19937 own(7);
      std::lock_guard lock(mutex);
      if (std::uniform_int_distribution<int>(0, 999)(own) < late_share) {
        *late_ms = std::uniform_int_distribution<int>(2000, 12000)(own);
        return Minion::Fate::kLate;
      }
      return Minion::Fate::kAnswer;
    };
  }
  struct Sent {
    Json job;
    bool accepted = false;
    bool cancelled = false;
    std::int64_t cancel_acked_ms = 0;
    bool may_be_accepted = false;
    std::int64_t start_wall_ms = 0;
  };
  std::map<std::string, Sent> sent;
  const auto begin = SteadyMs();
  auto next_job = begin;
  auto next_crash = begin + 3000;
  auto next_kill = begin + 7000;
  std::vector<std::pair<std::int64_t, Minion*>> down;
  std::vector<std::pair<std::int64_t, Node*>> gone;
  while (SteadyMs() - begin < seconds * 1000) {
    const auto now = SteadyMs();
    if (now >= next_job) {
      next_job = now + draw(150, 500);
      char id[17];
      std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(random()),
                    static_cast<unsigned>(random()));
      Json job = {{"spec", "ms=" + std::to_string(draw(300, 5000))}};
      Json steps = Json::array();
      const int n = draw(1, 3);
      for (int i = 0; i < n; ++i) {
        Json step = {{"count", draw(1, 5)},
                     {"cpu", draw(500, 12000)},
                     {"mem_mb", 1000},
                     {"estimate_ms", 2000}};
        if (i > 0 && draw(0, 2) > 0) {
          step["depends_on"] = {i - 1};
        }
        if (draw(0, 2) == 0) {
          step["gang"] = true;
        }
        if (draw(0, 2) == 0) {
          step["checkpoints"] = true;
        }
        if (draw(0, 4) == 0) {
          step["anti_affinity"] = draw(1, 2);
        }
        if (draw(0, 5) == 0) {
          step["requires"] = "r1-" + std::to_string(draw(1, 2));
        }
        steps.push_back(step);
      }
      job["steps"] = steps;
      Sent entry;
      if (draw(0, 3) == 0) {
        job["repeats"] = draw(2, 5);
        entry.start_wall_ms = WallMs() + draw(500, 3000);
        job["start_ms"] = entry.start_wall_ms;
        job["interval_ms"] = draw(300, 3000);
      }
      entry.job = job;
      for (int attempt = 0; attempt < 3 && !entry.accepted; ++attempt) {
        auto& node = world.nodes[static_cast<std::size_t>(draw(0, 2))];
        if (node.pid > 0) {
          const auto status = world.Submit(node, id, job).status;
          entry.accepted = status == 200;
          entry.may_be_accepted =
              entry.may_be_accepted || (status != 503 && status != 429);
        }
      }
      if (entry.accepted && draw(0, 9) == 0) {
        const auto answer =
            Call(world.nodes[0].caller, "DELETE",
                 World::kQueuePath + std::string(id), World::kHost, "", 3000);
        entry.cancelled = true;
        if (answer.status == 200) {
          entry.cancel_acked_ms = SteadyMs();
        }
        world.record.Line("DELETE %s -> %d", id, answer.status);
      }
      sent[id] = entry;
    }
    if (trouble && now >= next_crash) {
      next_crash = now + draw(1500, 5000);
      auto* minion = world.minions[static_cast<std::size_t>(draw(0, 8))].get();
      if (minion->IsUp()) {
        minion->Crash();
        down.emplace_back(now + draw(100, 3000), minion);
      }
    }
    for (auto it = down.begin(); it != down.end();) {
      if (now >= it->first) {
        it->second->Start();
        it = down.erase(it);
      } else {
        ++it;
      }
    }
    if (trouble && kills && now >= next_kill) {
      next_kill = now + draw(6000, 12000);
      auto& node = world.nodes[static_cast<std::size_t>(draw(0, 2))];
      if (node.pid > 0) {
        world.Signal(node, SIGKILL);
        gone.emplace_back(now + draw(200, 2500), &node);
      }
    }
    for (auto it = gone.begin(); it != gone.end();) {
      if (now >= it->first) {
        world.StartNode(*it->second);
        it = gone.erase(it);
      } else {
        ++it;
      }
    }
    SleepMs(10);
  }
  faults = false;
  for (auto& [at, minion] : down) {
    minion->Start();
  }
  for (auto& [at, node] : gone) {
    world.StartNode(*node);
  }
  world.record.Line("all faults are over");
  const auto settle = SteadyMs();
  int open = 0;
  std::map<std::string, std::string> states;
  do {
    SleepMs(1000);
    open = 0;
    for (const auto& [id, it] : sent) {
      if (!it.accepted || it.cancelled || states[id] == "completed" ||
          states[id] == "failed") {
        continue;
      }
      states[id] = world.StateText(id);
      open += states[id] != "completed" ? 1 : 0;
    }
  } while (open > 0 && SteadyMs() - settle < 45000);
  int broken = 0;
  for (const auto& [id, state] : states) {
    if (state != "completed") {
      ++broken;
      world.record.Line("NOT COMPLETED: %s is %s: %s", id.c_str(),
                        state.c_str(), sent[id].job.dump().c_str());
    }
  }
  broken += world.ReportTwice();
  std::map<std::string, std::vector<Run>> by_task;
  for (const auto& it : world.runs.Copy()) {
    by_task[it.task].push_back(it);
  }
  for (auto& [task, runs] : by_task) {
    const auto id = task.substr(0, task.find('.'));
    std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
      return a.begin_ms < b.begin_ms;
    });
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t k = i + 1; k < runs.size(); ++k) {
        if (runs[i].how == "done" && runs[i].noted &&
            runs[k].begin_ms > runs[i].end_ms) {
          ++broken;
          world.record.Line("AGAIN: %s run %lld after done run %lld",
                            task.c_str(),
                            static_cast<long long>(runs[k].number),
                            static_cast<long long>(runs[i].number));
        }
      }
    }
    const auto& entry = sent[id];
    const auto& job = entry.job;
    const auto note = [&](const char* rule, const Run& run) {
      world.record.Line("%s: %s run %lld at %lld on %s", rule, task.c_str(),
                        static_cast<long long>(run.number),
                        static_cast<long long>(run.begin_ms),
                        run.minion.c_str());
      ++broken;
    };
    if (!job.is_object()) {
      note("UNASKED", runs.front());
      continue;
    }
    const auto last = task.rfind('.');
    const auto middle = task.rfind('.', last - 1);
    const auto first = task.find('.');
    const int step = std::stoi(task.substr(middle + 1, last - middle - 1));
    const int occurrence =
        std::stoi(task.substr(first + 1, middle - first - 1));
    const auto& spec = job.at("steps").at(static_cast<std::size_t>(step));
    for (const auto& run : runs) {
      if (!entry.may_be_accepted) {
        note("REFUSED", run);
      }
      if (entry.cancel_acked_ms > 0 &&
          run.begin_ms > entry.cancel_acked_ms + 3000) {
        note("UNASKED after cancel", run);
      }
      const auto wall = run.begin_ms + WallMs() - SteadyMs();
      if (job.contains("start_ms") &&
          wall < job.at("start_ms").get<std::int64_t>() +
                     occurrence * job.at("interval_ms").get<std::int64_t>() -
                     250) {
        note("ORDER early", run);
      }
      for (const auto& it : spec.value("depends_on", std::vector<int>())) {
        const int count =
            job.at("steps").at(static_cast<std::size_t>(it)).value("count", 1);
        for (int i = 0; i < count; ++i) {
          const auto name = id + "." + std::to_string(occurrence) + "." +
                            std::to_string(it) + "." + std::to_string(i);
          const auto found = by_task.find(name);
          bool done = false;
          if (found != by_task.end()) {
            for (const auto& r : found->second) {
              done = done || (r.how == "done" && r.end_ms <= run.begin_ms);
            }
          }
          if (!done && !job.at("steps")
                            .at(static_cast<std::size_t>(it))
                            .value("gang", false)) {
            note("ORDER dependency", run);
          }
        }
      }
      const auto number = std::stoi(run.minion.substr(2)) - 1000;
      if (spec.contains("requires") &&
          spec.at("requires") != "r1-" + std::to_string((number + 3) / 4)) {
        note("ROUTE label", run);
      }
      if (const int most = spec.value("anti_affinity", 0); most > 0) {
        int beside = 1;
        for (const auto& [other, list] : by_task) {
          if (other == task ||
              other.substr(0, other.rfind('.')) != task.substr(0, last)) {
            continue;
          }
          for (const auto& r : list) {
            beside += r.minion == run.minion && r.begin_ms <= run.begin_ms &&
                              (r.end_ms < 0 || r.end_ms > run.begin_ms) &&
                              (r.begin_ms < run.begin_ms || other < task)
                          ? 1
                          : 0;
          }
        }
        if (beside > most) {
          note("ROUTE anti_affinity", run);
        }
      }
    }
  }
  std::printf("jobs %zu, runs %zu, broken %d\n", sent.size(),
              world.runs.Copy().size(), broken);
  for (auto& it : world.nodes) {
    std::string cmd = "grep -h -E 'failed|fault' " + it.log +
                      " | grep -v -E "
                      "'look-failed|load-failed|store-lost|workers-unread|feed-"
                      "failed' | head -5";
    if (std::system(cmd.c_str()) != 0) {
      std::printf("no logs\n");
    }
  }
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace review2
