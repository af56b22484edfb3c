#ifndef TESTS_FLEET_FAKES_H_
#define TESTS_FLEET_FAKES_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "libfleet/fleet.h"

namespace baobab {

/** In-memory platform that is shared by all nodes of a test: a store that
 * assigns shards to members, and workers that run tasks in real time. */
class FakePlatform {
 public:
  static constexpr int kShards = 4;

  explicit FakePlatform(boost::asio::io_context& loop) : loop(loop) {
    auto set = std::make_shared<PolicySet>();
    set->version = 1;
    queue.name = QueueId("queue");
    queue.host = "jobs.example";
    queue.path_prefix = "/q/";
    queue.service = ServiceId("service");
    queue.max_attempts = 3;
    queue.target = std::chrono::seconds(5);
    set->queues = {queue};
    set->services[queue.service].name = queue.service;
    published.policies = set;
    AddWorkers(3);
  }

  /** Publishes a configuration in which the queue is sent to `service`, or in
   * which there is no queue. */
  void SendQueueTo(const std::optional<std::string>& service) {
    auto set = std::make_shared<PolicySet>(*published.policies);
    set->version += 3;
    set->queues.clear();
    if (service) {
      auto moved = queue;
      moved.service = ServiceId(*service);
      set->queues = {moved};
      set->services[moved.service].name = moved.service;
    }
    published.policies = set;
  }

  /** Adds workers of a service to the list. */
  void AddWorkers(int n, const std::string& service = "service") {
    auto list = std::make_shared<WorkerList>();
    if (workers) {
      *list = *workers;
    }
    for (int left = n; left > 0; --left) {
      const auto i = list->entries.size();
      WorkerEntry entry;
      entry.id = WorkerId("w" + std::to_string(i));
      entry.service = ServiceId(service);
      entry.host = HostId("h" + std::to_string(i));
      entry.address = "w" + std::to_string(i);
      entry.capacity = {64'000, 64'000, 0};
      entry.labels = {"a", "r1"};
      entry.incarnation = 1 + static_cast<std::int64_t>(i);
      list->entries.push_back(entry);
    }
    workers = list;
  }

  /** Marks all workers as draining. */
  void DrainWorkers() {
    auto list = std::make_shared<WorkerList>(*workers);
    for (auto& it : list->entries) {
      it.draining = true;
    }
    workers = list;
  }

  /** Stores a division of the pool, as if an earlier planner had made it. */
  void Divide(const std::string& pool, const std::vector<ShardId>& cells) {
    auto json = nlohmann::json::array();
    for (const auto& it : cells) {
      json.push_back(it.value());
    }
    std::string value;
    nlohmann::json::to_msgpack(json, value);
    division.push_back({pool, std::move(value)});
  }

  /** CPU share of the nodes in thousandths of a core, by peer address. */
  std::map<std::string, int> milli_cores;

  struct Member {
    Time seen_at;
    std::set<int> shards;
  };
  struct Run {
    TaskId task;
    RunNumber run;
    Time ends_at;
  };
  struct SimWorker {
    std::int64_t token = 0;
    /** Fencing tokens of all calls. */
    std::set<std::int64_t> tokens;
    std::vector<Run> running;
    std::vector<EndedRun> ended;
    std::int64_t last_end = 0;
  };

  void After(Duration delay, std::function<void()> action) {
    auto timer = std::make_shared<LoopTimer>(loop);
    timer->Set(delay, [timer, action = std::move(action)] { action(); });
  }

  /** Removes members whose lifetime has passed and assigns the shards evenly. A
   * shard of a live member goes to its next owner only once that member has
   * joined with a generation in which it no longer has the shard. */
  void AssignShards() {
    const auto now = SteadyNow();
    const auto before = members.size();
    std::erase_if(members, [&](const auto& it) {
      return now - it.second.seen_at > lifetime;
    });
    if (members.size() == before && assigned_members == members.size()) {
      return;
    }
    assigned_members = members.size();
    ++generation;
    releasing.clear();
    for (int shard = 0; shard < kShards && !members.empty(); ++shard) {
      const auto next =
          std::next(members.begin(), shard % static_cast<int>(members.size()));
      const auto holder = std::find_if(
          members.begin(), members.end(),
          [&](const auto& it) { return it.second.shards.contains(shard); });
      if (holder == members.end()) {
        next->second.shards.insert(shard);
      } else if (holder != next) {
        holder->second.shards.erase(shard);
        releasing[shard] = {holder->first, next->first, generation};
      }
    }
  }

  /** Gives the shards that `member` has released to their next owners, now that
   * it joins with `seen_generation`. */
  void ConfirmReleases(const std::string& member,
                       std::int64_t seen_generation) {
    std::erase_if(releasing, [&](const auto& it) {
      const auto& [shard, release] = it;
      if (release.from != member || seen_generation < release.generation) {
        return false;
      }
      members[release.to].shards.insert(shard);
      ++generation;
      return true;
    });
  }

  /** Gives a shard to a member at once, as the platform may do without any
   * request. */
  void Reassign(int shard, const std::string& member) {
    for (auto& [name, it] : members) {
      it.shards.erase(shard);
    }
    members[member].shards.insert(shard);
    ++generation;
  }

  /** Ends an outage for all nodes. Memberships did not expire during it. */
  void EndOutage() {
    cut_off.clear();
    for (auto& [name, member] : members) {
      member.seen_at = SteadyNow();
    }
  }

  /** Checks a write against the token and the sequence number of its stream;
   * returns its outcome, and whether the records are new. */
  std::pair<AppendOutcome, bool> Sequence(const ShardStream& stream,
                                          std::int64_t token,
                                          std::uint64_t sequence,
                                          bool empty) {
    auto& producer = producers[{stream.shard, stream.writer}];
    if (token < producer.token) {
      return {AppendOutcome::kFenced, false};
    }
    if (token > producer.token) {
      producer = {token, std::nullopt};
    }
    if (empty) {
      return {AppendOutcome::kStored, false};
    }
    if (producer.last && sequence <= *producer.last &&
        *producer.last - sequence < kRepeatsKnown) {
      return {AppendOutcome::kStored, false};
    }
    if (producer.last && sequence != *producer.last + 1) {
      return {AppendOutcome::kOutOfSequence, false};
    }
    producer.last = sequence;
    return {AppendOutcome::kStored, true};
  }

  boost::asio::io_context& loop;
  Duration lifetime = std::chrono::milliseconds(400);
  std::map<std::string, Member> members;
  /** A shard on its way between two live members. */
  struct Release {
    std::string from;
    std::string to;
    std::int64_t generation = 0;
  };
  std::map<int, Release> releasing;
  /** Number of members at the last assignment of shards. */
  std::size_t assigned_members = 0;
  std::int64_t generation = 0;
  std::map<ShardId, std::map<std::string, std::string>> records;
  /** Number of records that were ever stored in each shard. */
  std::map<ShardId, std::uint64_t> ends;
  /** Whether answers to appends state that number. */
  bool states_end = true;
  /** Time until a write to a shard is answered. */
  Duration write_delay = std::chrono::milliseconds(2);
  /** Numbers of fences and of reads of all records, of all shards. */
  int fences = 0;
  int loads = 0;
  /** Number of a writer's last appends whose repetition is recognized. */
  static constexpr std::uint64_t kRepeatsKnown = 5;
  /** Writer of a stream with the highest token so far. */
  struct Producer {
    std::int64_t token = 0;
    /** Sequence number of its last append. */
    std::optional<std::uint64_t> last;
  };
  std::map<std::pair<ShardId, ShardWriter>, Producer> producers;
  /** Limits of the store: the size of a record and of the records of a call. */
  std::size_t max_record_bytes = 262'144;
  std::size_t max_request_bytes = 2'097'152;
  /** A key whose records the store rejects. */
  std::string rejected_key;
  /** Appends that exceeded a limit, and the size of the largest other one. */
  int rejections = 0;
  std::size_t largest_append = 0;
  /** Records of the division of pools, in the order in which they were
   * stored. */
  std::vector<StoredRecord> division;
  /** The only queue, as first published. */
  QueuePolicy queue;
  FleetFeed::PublishedConfig published;
  std::shared_ptr<const WorkerList> workers;
  std::map<WorkerId, SimWorker> sim_workers;
  std::map<TaskId, int> starts;
  /** Time after which each run ends. */
  Duration run_time = std::chrono::milliseconds(80);
  /** Number of stop orders. */
  int stops = 0;
  /** Number of start orders, from the first, whose call throws. */
  int throwing_starts = 0;
  /** Each start of a task of this job throws. */
  JobId fails_on_start_of;
  /** Members whose calls to the store get no answer. */
  std::set<std::string> cut_off;
  /** Time until such a call fails: that of a refused connection, or the timeout
   * of a call to a store that hangs. */
  Duration failure_delay = std::chrono::milliseconds(200);
  /** When each member last joined, and last gave an order to a worker. */
  std::map<std::string, Time> joined_at;
  std::map<std::string, Time> ordered_at;
};

/** Interfaces of one node to the in-memory platform. */
class FakePorts : public JobStore,
                  public FleetFeed,
                  public WorkerCalls,
                  public HostCalls {
 public:
  FakePorts(FakePlatform& platform, std::string member)
      : platform_(platform), member_(std::move(member)) {}

  void Join(std::int64_t generation,
            JobStore::Callback<Membership> done) override {
    Call(done, [this, generation]() -> Result<Membership> {
      platform_.members[member_].seen_at = SteadyNow();
      platform_.joined_at[member_] = SteadyNow();
      platform_.AssignShards();
      platform_.ConfirmReleases(member_, generation);
      Membership membership;
      membership.generation = platform_.generation;
      for (const int it : platform_.members[member_].shards) {
        membership.shards.emplace_back(it);
      }
      return membership;
    });
  }
  void Leave(std::function<void(bool left)> done) override {
    if (platform_.cut_off.contains(member_)) {
      After(platform_.failure_delay, [done] { done(false); });
      return;
    }
    platform_.members.erase(member_);
    platform_.AssignShards();
    After(Duration(0), [done] { done(true); });
  }
  Duration MemberLifetime() const override { return platform_.lifetime; }
  void ReadOwners(
      JobStore::Callback<std::map<ShardId, OwnerNode>> done) override {
    Call(done, [this]() -> Result<std::map<ShardId, OwnerNode>> {
      std::map<ShardId, OwnerNode> owners;
      for (const auto& [name, member] : platform_.members) {
        for (const int it : member.shards) {
          owners[ShardId(it)] = {name, platform_.milli_cores[name]};
        }
      }
      return owners;
    });
  }
  void Fence(const ShardStream& stream,
             FenceToken token,
             std::function<void(AppendAnswer)> done) override {
    ++platform_.fences;
    Append(stream, token, 0, {}, Duration(0), std::move(done));
  }
  void Load(ShardId shard,
            JobStore::Callback<std::vector<StoredRecord>> done) override {
    Call(done, [this, shard]() -> Result<std::vector<StoredRecord>> {
      ++platform_.loads;
      std::vector<StoredRecord> records;
      for (const auto& [key, value] : platform_.records[shard]) {
        records.push_back({key, value});
      }
      return records;
    });
  }
  void ReadDivision(JobStore::Callback<StoredDivision> done) override {
    Call(done, [this]() -> Result<StoredDivision> {
      return StoredDivision{DecodeDivision(platform_.division),
                            platform_.division.size()};
    });
  }
  void ExtendDivision(const std::vector<StoredRecord>& records,
                      std::uint64_t end,
                      std::function<void(AppendOutcome)> done) override {
    auto outcome = AppendOutcome::kOutOfSequence;
    if (end == platform_.division.size()) {
      platform_.division.insert(platform_.division.end(), records.begin(),
                                records.end());
      outcome = AppendOutcome::kStored;
    }
    After(std::chrono::milliseconds(2), [done, outcome] { done(outcome); });
  }
  void Append(const ShardStream& stream,
              FenceToken token,
              std::uint64_t sequence,
              const std::vector<StoredRecord>& records,
              Duration,
              std::function<void(AppendAnswer)> done) override {
    if (platform_.cut_off.contains(member_)) {
      After(platform_.failure_delay, [done] { done(AppendOutcome::kUnknown); });
      return;
    }
    std::size_t bytes = 0;
    for (const auto& it : records) {
      const auto size = 1 + it.key.size() + it.value.size();
      bytes += size;
      if (size > platform_.max_record_bytes) {
        bytes = platform_.max_request_bytes + 1;
      }
      if (it.key == platform_.rejected_key) {
        bytes = platform_.max_request_bytes + 1;
      }
    }
    if (bytes > platform_.max_request_bytes) {
      ++platform_.rejections;
      After(std::chrono::milliseconds(2),
            [done] { done(AppendOutcome::kRejected); });
      return;
    }
    platform_.largest_append = std::max(platform_.largest_append, bytes);
    const auto [outcome, is_new] =
        platform_.Sequence(stream, token.value(), sequence, records.empty());
    auto& end = platform_.ends[stream.shard];
    if (!is_new) {
      // The answer to a repeated append has the end after the first one, but no
      // test lets another writer append between the two.
      const auto result =
          platform_.states_end ? AppendAnswer(outcome, end) : outcome;
      After(platform_.write_delay, [done, result] { done(result); });
      return;
    }
    end += records.size();
    for (const auto& it : records) {
      auto& shard = platform_.records[stream.shard];
      if (it.value.empty()) {
        shard.erase(it.key);
      } else {
        shard[it.key] = it.value;
      }
    }
    const auto result = platform_.states_end
                            ? AppendAnswer(AppendOutcome::kStored, end)
                            : AppendOutcome::kStored;
    After(platform_.write_delay, [done, result] { done(result); });
  }

  void AwaitPublished(FleetFeed::Callback<PublishedConfig> done) override {
    if (platform_.cut_off.contains(member_)) {
      Fail(std::move(done));
      return;
    }
    After(std::chrono::milliseconds(50),
          [&platform = platform_, done] { done(platform.published); });
  }
  void ReportWave(const baobab::ReportWave&,
                  std::function<void(bool)> done) override {
    done(true);
  }
  void ReadWorkers(
      FleetFeed::Callback<std::shared_ptr<const WorkerList>> done) override {
    if (platform_.cut_off.contains(member_)) {
      Fail(std::move(done));
      return;
    }
    After(Duration(0),
          [&platform = platform_, done] { done(platform.workers); });
  }

  void Poll(const PollWorker& poll,
            FenceToken token,
            std::function<void(OrderResult, WorkerReport)> done) override {
    platform_.ordered_at[member_] = SteadyNow();
    auto& sim = platform_.sim_workers[poll.worker];
    if (token.value() < sim.token) {
      After(Duration(0), [done] { done(OrderResult::kFenced, {}); });
      return;
    }
    sim.token = token.value();
    sim.tokens.insert(token.value());
    std::erase_if(sim.ended, [&](const auto& it) {
      return it.number <= poll.acknowledged_ends;
    });
    After(std::min(poll.wait, kMaxPollWait),
          [&platform = platform_, poll, done] {
            auto& sim = platform.sim_workers[poll.worker];
            Expire(sim);
            WorkerReport report;
            for (const auto& it : platform.workers->entries) {
              if (it.id == poll.worker) {
                report.incarnation = it.incarnation;
              }
            }
            report.clock_ms = SteadyNow().time_since_epoch().count() / 1000;
            for (const auto& it : sim.running) {
              report.running.push_back({it.task, it.run, "", 1, 0});
            }
            report.ended = sim.ended;
            done(OrderResult::kDone, std::move(report));
          });
  }
  void Start(const StartRun& start,
             FenceToken token,
             std::function<void(OrderResult, std::optional<std::int64_t>)> done)
      override {
    if (platform_.throwing_starts > 0) {
      --platform_.throwing_starts;
      throw std::runtime_error("start failed");
    }
    if (start.task.job == platform_.fails_on_start_of) {
      throw std::runtime_error("start of a failing job");
    }
    platform_.ordered_at[member_] = SteadyNow();
    auto& sim = platform_.sim_workers[start.worker];
    auto result = OrderResult::kFenced;
    if (token.value() >= sim.token) {
      result = OrderResult::kDone;
      ++platform_.starts[start.task];
      sim.running.push_back(
          {start.task, start.run, SteadyNow() + platform_.run_time});
    }
    After(Duration(0), [done, result] {
      done(result, SteadyNow().time_since_epoch().count() / 1000);
    });
  }
  void Stop(const StopRun& stop, FenceToken, WorkerCalls::Done done) override {
    platform_.ordered_at[member_] = SteadyNow();
    ++platform_.stops;
    std::erase_if(platform_.sim_workers[stop.worker].running,
                  [&](const auto& it) { return it.task == stop.task; });
    After(Duration(0), [done] { done(OrderResult::kDone); });
  }
  void Throttle(const ThrottleRun&, FenceToken, WorkerCalls::Done) override {}
  void RequestAdvice(const RequestAdviceEffect& request,
                     std::function<void(AdviceReceived)> done) override {
    done({request.step, request.workers, false, {}, Duration(0)});
  }

  void List(std::function<void(Result<std::vector<HostInfo>>)> done) override {
    After(Duration(0), [done] { done(std::vector<HostInfo>()); });
  }
  void Move(const MoveHost&,
            FenceToken,
            std::function<void(HostOrderResult)>) override {}
  void Maintain(const MaintainHost&,
                FenceToken,
                std::function<void(HostOrderResult)>) override {}

 private:
  /** Runs `action` later, even if the node of these interfaces has been
   * destroyed by then. */
  void After(Duration delay, std::function<void()> action) {
    platform_.After(delay, std::move(action));
  }

  static constexpr Duration kMaxPollWait = std::chrono::milliseconds(20);

  template <typename D>
  void Fail(D done) {
    After(platform_.failure_delay, [done] {
      done(tl::unexpected(Error{"call", "store", "no answer"}));
    });
  }

  template <typename D, typename F>
  void Call(D done, F work) {
    if (platform_.cut_off.contains(member_)) {
      Fail(std::move(done));
      return;
    }
    auto result = work();
    After(std::chrono::milliseconds(2),
          [done, result = std::move(result)] { done(result); });
  }

  static void Expire(FakePlatform::SimWorker& sim) {
    std::erase_if(sim.running, [&](const auto& it) {
      if (SteadyNow() < it.ends_at) {
        return false;
      }
      sim.ended.push_back(
          {++sim.last_end, it.task, it.run, EndKind::kDone, ""});
      return true;
    });
  }

  FakePlatform& platform_;
  const std::string member_;
};

}  // namespace baobab

#endif  // TESTS_FLEET_FAKES_H_
