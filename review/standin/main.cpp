// The cases of the review that are no day of the bench. Usage:
//   review_case NAME RECORD
// Exit status 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.

#include <cstring>

#include "deployment.hpp"

namespace review {
namespace {

using Route = Deployment::Route;

/** Many short tasks end while the store is away, more than a report of a minion
 * lists at a time. */
int ManyEnds(Deployment& d) {
  const std::vector<Route> routes = {{"deposits", "/deposits/", "payments"}};
  constexpr int kJobs = 6;
  constexpr int kTasks = 220;
  constexpr std::int64_t kOutageMs = 4000;
  d.AddMinions("payments", 2, 64000);
  d.Configure(1, {"payments"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService(routes)) {
    return d.Impossible("the deployment does not serve");
  }
  std::vector<std::string> paths;
  for (int i = 0; i < kJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "d0000000000000%02x", i);
    paths.push_back(routes[0].prefix + id);
    if (!d.Submit(static_cast<std::size_t>(i), paths.back(),
                  Deployment::JobBody("work 6000 9800", kTasks, 96, 8000),
                  10000)) {
      return d.Impossible("a job was not accepted");
    }
  }
  const auto until = Now() + 5000;
  while (d.runs.Started("d0") < kJobs * kTasks && Now() < until) {
    SleepMs(20);
  }
  d.record.Line("started: " + std::to_string(d.runs.Started("d0")) + " tasks");
  if (d.runs.Started("d0") < kJobs * kTasks) {
    return d.Impossible("not all tasks have started in time");
  }
  while (d.runs.Count("d0", "done") == 0) {
    SleepMs(5);
  }
  if (d.trouble) {
    d.store.SetDown(true);
  }
  SleepMs(kOutageMs);
  d.record.Line("ended done so far: " +
                std::to_string(d.runs.Count("d0", "done")));
  if (d.trouble) {
    d.store.SetDown(false);
  }
  SleepMs(25000);
  for (const auto& it : paths) {
    d.Ask(0, "GET", it);
  }
  return d.Verdict(d.runs.Twice(d.record) > 0, "TWICE");
}

/** A queue is removed and added again for another service, and a client's
 * request for a running job arrives once more. */
int QueueMoves(Deployment& d) {
  const std::string prefix = "/deposits/";
  const std::vector<Route> before = {{"deposits", prefix, "payments"},
                                     {"fittings", "/fittings/", "fittings"}};
  const std::vector<Route> between = {{"fittings", "/fittings/", "fittings"}};
  const std::vector<Route> after = {{"deposits-2", prefix, "fittings"},
                                    {"fittings", "/fittings/", "fittings"}};
  const std::vector<std::string> services = {"fittings", "payments"};
  d.AddMinions("payments", 3, 64000);
  d.AddMinions("fittings", 3, 64000);
  d.Configure(3, services, before);
  d.StartNodes(3);
  if (!d.AwaitService(before)) {
    return d.Impossible("the deployment does not serve");
  }
  const std::string repeated = prefix + "d000000000000001";
  const std::string asked = prefix + "d000000000000002";
  const auto body = Deployment::JobBody("work 14000 14000", 4, 2000, 14000);
  if (!d.Submit(0, repeated, body, 10000) || !d.Submit(1, asked, body, 10000)) {
    return d.Impossible("a job was not accepted");
  }
  SleepMs(1000);
  if (d.trouble) {
    d.Configure(7, services, between);
  }
  SleepMs(2500);
  if (d.trouble) {
    d.Configure(12, services, after);
  }
  SleepMs(3000);
  d.Ask(2, "POST", repeated, body);
  d.Ask(1, "GET", repeated);
  const bool lost = d.Ask(2, "GET", asked).status == 410;
  if (lost) {
    d.record.Line("LOST: a GET for the accepted job " + asked +
                  " is answered 410");
  }
  SleepMs(20000);
  d.Ask(0, "GET", repeated);
  d.Ask(0, "GET", asked);
  return d.Verdict(d.runs.Twice(d.record) > 0 || lost, "TWICE or LOST");
}

/** A job with many tasks arrives beside small jobs that are at work. */
int WideJob(Deployment& d) {
  const std::vector<Route> routes = {{"quotes", "/quotes/", "quotes"}};
  constexpr int kTasks = 7000;
  d.AddMinions("quotes", 6, 64000);
  d.Configure(1, {"quotes"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService(routes)) {
    return d.Impossible("the deployment does not serve");
  }
  // Small jobs of two steps, each of 2 s.
  Json steps = Json::array();
  steps.push_back(
      {{"count", 2}, {"cpu", 2000}, {"mem_mb", 64}, {"estimate_ms", 2000}});
  steps.push_back({{"count", 2},
                   {"cpu", 2000},
                   {"mem_mb", 64},
                   {"estimate_ms", 2000},
                   {"depends_on", {0}}});
  const auto small = Json{{"spec", "work 2000 2000"}, {"steps", steps}}.dump();
  std::vector<std::string> accepted;
  for (int i = 0; i < 20; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "5000000000000%03x", i);
    const auto path = routes[0].prefix + id;
    if (d.Ask(static_cast<std::size_t>(i), "POST", path, small).status == 200) {
      accepted.push_back(path);
    }
    for (int tries = 0; i == 5 && d.trouble && tries < 10; ++tries) {
      // A 503 says that the job was not accepted, so the client comes again.
      if (d.Ask(static_cast<std::size_t>(tries), "POST",
                "/quotes/e000000000000001",
                Deployment::JobBody("work 1000 1000", kTasks, 10, 1000))
              .status != 503) {
        break;
      }
      SleepMs(300);
    }
    SleepMs(500);
  }
  // Each small job takes 4 s on idle minions.
  SleepMs(30000);
  int open = 0;
  for (const auto& it : accepted) {
    open += d.Ask(0, "GET", it).body.find("completed") == std::string::npos;
  }
  std::size_t at_work = 0;
  for (auto& it : d.minions) {
    at_work += it->Running().size();
  }
  d.record.Line("judge: " + std::to_string(open) + " of " +
                std::to_string(accepted.size()) +
                " accepted small jobs are not completed; " +
                std::to_string(at_work) +
                " tasks are at work on all minions; " +
                std::to_string(d.runs.Started("e0")) +
                " tasks of the large job have started");
  return d.Verdict(open > 0, "LOST");
}

/** The rule AVAIL for a job with one step of tasks that last and a `may_miss`
 * of 1: returns how often a stop ended a task at work while another one was
 * not. */
int StopsBeyondBudget(Deployment& d, const std::string& job) {
  constexpr std::int64_t kStartupMs = 500;
  const auto all = d.runs.Copy();
  int broken = 0;
  for (const auto& stopped : all) {
    if (!stopped.task.starts_with(job) || stopped.how != "stopped") {
      continue;
    }
    const auto at = stopped.ended_at - Minion::kStopMs;
    if (at < stopped.started_at + kStartupMs) {
      continue;
    }
    std::set<std::string> tasks;
    std::set<std::string> at_work;
    for (const auto& it : all) {
      if (it.task.starts_with(job) && it.task != stopped.task) {
        tasks.insert(it.task);
        if (it.started_at + kStartupMs <= at &&
            (it.ended_at < 0 || it.ended_at > at)) {
          at_work.insert(it.task);
        }
      }
    }
    if (at_work.size() < tasks.size()) {
      ++broken;
      d.record.Line("AVAIL: " + stopped.task + " is stopped at " +
                    std::to_string(at) + " ms; " +
                    std::to_string(tasks.size() - at_work.size()) +
                    " others of its step are away, and 1 may be");
    }
  }
  return broken;
}

/** The minions under a task that lasts crash three times in a row. */
int Crashes(Deployment& d) {
  const std::vector<Route> routes = {{"audit", "/audit/", "fittings"}};
  d.AddMinions("fittings", 8, 64000);
  d.Configure(1, {"fittings"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService(routes)) {
    return d.Impossible("the deployment does not serve");
  }
  const std::string job = "d000000000000003";
  if (!d.Submit(0, routes[0].prefix + job,
                Deployment::JobBody("lasts", 5, 4000, 2500, true), 10000)) {
    return d.Impossible("the job was not accepted");
  }
  const std::string task = job + ".0.0.0";
  const auto minion_of = [&](std::int64_t for_ms) -> Minion* {
    const auto until = Now() + for_ms;
    while (Now() < until) {
      for (auto& it : d.minions) {
        if (it->Has(task)) {
          return it.get();
        }
      }
      SleepMs(20);
    }
    return nullptr;
  };
  SleepMs(3000);
  for (int i = 0; i < 4 && d.trouble; ++i) {
    Minion* minion = minion_of(10000);
    if (!minion) {
      break;
    }
    SleepMs(2000);
    minion->Crash(1000);
  }
  SleepMs(12000);
  const auto state = d.Ask(1, "GET", routes[0].prefix + job);
  std::set<std::string> at_work;
  for (auto& it : d.minions) {
    at_work.merge(it->Running());
  }
  d.record.Line("judge: " + std::to_string(at_work.size()) +
                " of 5 tasks are at work; " +
                std::to_string(d.runs.Count(job, "failed")) +
                " runs have ended `failed`; the job's state is " + state.body);
  return d.Verdict(StopsBeyondBudget(d, job) > 0, "AVAIL");
}

/** A gang on a queue whose policy needs advice. Without the disruption the same
 * job has no gang. */
int AdvisedGang(Deployment& d) {
  const std::vector<Route> routes = {{"quotes", "/quotes/", "quotes"},
                                     {"fleet", "/fleet/", "quotes", true}};
  d.AddMinions("quotes", 6, 64000);
  d.Configure(1, {"quotes"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService({routes[0]})) {
    return d.Impossible("the deployment does not serve");
  }
  const std::string plain = "/quotes/f000000000000001";
  const std::string advised = "/fleet/f000000000000002";
  const auto body = [&](const char* spec) {
    Json step = {
        {"count", 3}, {"cpu", 2000}, {"mem_mb", 64}, {"estimate_ms", 1000}};
    if (d.trouble) {
      step["gang"] = true;
    }
    return Json{{"spec", spec}, {"steps", Json::array({step})}}.dump();
  };
  if (!d.Submit(0, plain, body("work 1000 1000"), 10000) ||
      !d.Submit(1, advised, body("work 1000 1000 advised"), 10000)) {
    return d.Impossible("a job was not accepted");
  }
  SleepMs(10000);
  const int appends = d.store.stored_appends();
  SleepMs(20000);
  d.Ask(0, "GET", plain);
  const auto state = d.Ask(0, "GET", advised);
  d.record.Line(
      "judge: tasks started on the queue without advice: " +
      std::to_string(d.runs.Started("f000000000000001")) +
      ", with advice: " + std::to_string(d.runs.Started("f000000000000002")) +
      "; appends of the system in the last 20 s: " +
      std::to_string(d.store.stored_appends() - appends));
  return d.Verdict(state.body.find("completed") == std::string::npos, "LOST");
}

/** The minion of a job that needs a label is lost for good, while another
 * minion of the service with the label is idle. */
int LabelLost(Deployment& d) {
  const std::vector<Route> routes = {{"audit", "/audit/", "fittings"}};
  // The numbers of the two minions that have the label.
  const std::set<int> of_kind_b = {0, 2};
  d.AddMinions("fittings", 24, 64000, of_kind_b);
  d.Configure(1, {"fittings"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService(routes)) {
    return d.Impossible("the deployment does not serve");
  }
  const auto body = [] {
    Json step = {{"count", 1},          {"cpu", 4000},          {"mem_mb", 64},
                 {"estimate_ms", 2500}, {"long_running", true}, {"may_miss", 1},
                 {"requires", "b"}};
    return Json{{"spec", "lasts"}, {"steps", Json::array({step})}}.dump();
  }();
  const auto minion_of = [&](const std::string& job) -> Minion* {
    for (auto& it : d.minions) {
      if (it->Has(job + ".0.0.0")) {
        return it.get();
      }
    }
    return nullptr;
  };
  const std::string job = "d000000000000004";
  if (!d.Submit(0, routes[0].prefix + job, body, 10000)) {
    return d.Impossible("the job was not accepted");
  }
  SleepMs(6000);
  Minion* minion = minion_of(job);
  if (!minion) {
    return d.Impossible("the task does not run");
  }
  d.record.Line("the task runs on " + minion->id());
  if (d.trouble) {
    minion->Crash(-1);
  }
  SleepMs(30000);
  // A new job of the same kind shows that there is room.
  const std::string later = "d000000000000005";
  d.Submit(1, routes[0].prefix + later, body, 5000);
  SleepMs(4000);
  d.Ask(0, "GET", routes[0].prefix + job);
  Minion* now = minion_of(job);
  Minion* other = minion_of(later);
  d.record.Line("judge: the task " +
                (now ? "runs on " + now->id() : "does not run") +
                "; that of a new job with the same needs " +
                (other ? "runs on " + other->id() : "does not run"));
  return d.Verdict(!now, "LOST");
}

/** Jobs need a label that one minion of the service has. Without the disruption
 * all minions have the label. */
int LabelRare(Deployment& d) {
  const std::vector<Route> routes = {{"audit", "/audit/", "fittings"}};
  constexpr int kJobs = 16;
  d.AddMinions("fittings", 40, 64000, {5});
  d.Configure(1, {"fittings"}, routes);
  d.StartNodes(3);
  if (!d.AwaitService(routes)) {
    return d.Impossible("the deployment does not serve");
  }
  Json step = {{"count", 1},
               {"cpu", 2000},
               {"mem_mb", 64},
               {"estimate_ms", 1000},
               {"requires", d.trouble ? "b" : "a"}};
  const auto body =
      Json{{"spec", "work 1000 1000"}, {"steps", Json::array({step})}}.dump();
  std::vector<std::string> accepted;
  for (int i = 0; i < kJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "c%015x", i * 7919);
    accepted.push_back(routes[0].prefix + id);
    if (!d.Submit(static_cast<std::size_t>(i), accepted.back(), body, 10000)) {
      return d.Impossible("a job was not accepted");
    }
    SleepMs(200);
  }
  SleepMs(20000);
  int open = 0;
  for (const auto& it : accepted) {
    open += d.Ask(0, "GET", it).body.find("completed") == std::string::npos;
  }
  std::size_t at_work = 0;
  for (auto& it : d.minions) {
    at_work += it->Running().size();
  }
  d.record.Line("judge: " + std::to_string(open) + " of " +
                std::to_string(accepted.size()) +
                " accepted jobs of 1 s are not completed after 20 s; " +
                std::to_string(at_work) + " tasks are at work on all minions");
  return d.Verdict(open > 0, "LOST");
}

int RunCase(const std::string& name, const std::string& record) {
  // Never destroyed: the threads of its servers use it until the process ends.
  auto& d = *new Deployment(record);
  std::thread([&d] {
    SleepMs(112000);
    const int status = d.Impossible("it took too long");
    d.Close();
    std::_Exit(status);
  }).detach();
  int status = 2;
  if (name == "many-ends") {
    status = ManyEnds(d);
  } else if (name == "queue-moves") {
    status = QueueMoves(d);
  } else if (name == "wide-job") {
    status = WideJob(d);
  } else if (name == "crashes") {
    status = Crashes(d);
  } else if (name == "label-lost") {
    status = LabelLost(d);
  } else if (name == "label-rare") {
    status = LabelRare(d);
  } else if (name == "advised-gang") {
    status = AdvisedGang(d);
  }
  d.Close();
  return status;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  // The threads of the servers never end.
  std::_Exit(review::RunCase(argv[1], argv[2]));
}
