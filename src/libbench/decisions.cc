#include "libbench/decisions.h"

#include <ctime>
#include <deque>
#include <random>

#include "libbench/flood.h"
#include "libdecision/fair_scheduler.h"

namespace baobab {
namespace {

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

Table MakeDecisionTable(int queues, int services) {
  Table table;
  for (int n = 0; n < queues; ++n) {
    const std::string number = std::to_string(n);
    const QueueId queue("queue" + number);
    const TeamId team("team" + std::to_string(n % 43));
    table.teams[team] = {team, Units(1'000)};
    table.queues[queue] = {
        queue,
        ServiceId("service" + std::to_string(n % services)),
        team,
        PoolId("pool"),
        n / services % 2 == 0 ? Urgency::kUrgent : Urgency::kBatch,
        Weight(1 + n % 5),
        Units(200),
        std::chrono::seconds(60)};
  }
  return table;
}

}  // namespace

DecisionResult MeasureDecisions(const DecisionCase& load) {
  NodeConfig config;
  config.id = NodeId("n100");
  config.incarnation = Incarnation(1'000'000);
  FairScheduler scheduler(config, Time());
  const std::vector<ViewNode> view = FloodNodes(load.nodes, 3);
  std::set<NodeId> adopted;
  for (const ViewNode& it : view) {
    adopted.insert(it.id);
  }
  scheduler.SetTable(MakeDecisionTable(load.queues, load.services), Time());
  scheduler.SetMinions(FloodMinions(load.minions, load.services, 3), Time());
  scheduler.SetView(ViewNumber(0), {}, {}, Time());
  scheduler.SetView(ViewNumber(1), view, adopted, Time());

  DecisionResult result;
  for (const MinionUnits& it : scheduler.MinionUsage()) {
    result.owned_slots += it.owned.value();
  }
  std::mt19937_64 random(load.seed);
  std::uniform_int_distribution<int> any_queue(0, load.queues - 1);
  std::vector<QueueId> ids;
  for (int n = 0; n < load.queues; ++n) {
    ids.emplace_back("queue" + std::to_string(n));
  }
  Time now;
  std::uint64_t last = 0;
  std::deque<RequestId> running;
  const auto admit = [&](const QueueId& queue) {
    const RequestId id(++last);
    (void)scheduler.Admit(
        {id, queue, now, now + std::chrono::hours(1), Bytes(1000), {}}, now);
    ++result.operations;
  };
  const auto take_decisions = [&] {
    result.operations += 3;
    (void)scheduler.TakeExpired(now);
    for (const RequestStart& it :
         scheduler.TakeStarts(now, [](const MinionId&) { return true; })) {
      running.push_back(it.id);
    }
    (void)scheduler.TakeMessages();
  };
  for (int n = 0; n < 10 * load.queues; ++n) {
    admit(ids[static_cast<std::size_t>(n % load.queues)]);
  }
  take_decisions();
  result.operations = 0;
  const double begin = ThreadCpuSeconds();
  Time next_tick = now;
  for (std::int64_t n = 0; n < load.requests; ++n) {
    now += std::chrono::microseconds(500);
    if (now >= next_tick) {
      scheduler.Tick(now);
      next_tick = now + std::chrono::milliseconds(50);
      ++result.operations;
    }
    admit(ids[static_cast<std::size_t>(any_queue(random))]);
    take_decisions();
    if (!running.empty()) {
      scheduler.Finish(running.front(), now);
      running.pop_front();
      ++result.operations;
      take_decisions();
    }
  }
  result.cpu_seconds = ThreadCpuSeconds() - begin;
  std::vector<ViewNode> fewer = view;
  fewer.pop_back();
  const double view_begin = ThreadCpuSeconds();
  scheduler.SetView(ViewNumber(2), fewer, adopted, now);
  result.set_view_seconds = ThreadCpuSeconds() - view_begin;
  return result;
}

}  // namespace baobab
