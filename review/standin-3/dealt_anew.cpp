// LOST: the store deals all partitions anew, and again, before the owner of a
// shard has renewed its membership. It gets the shard back without having seen
// that another node had it, and answers that the jobs do not exist which that
// node has accepted. Built on the stand-in of the second review.
// Usage: dealt_anew ROOT TEMPORARY_FOLDER RECORD
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

// The store of the second review has no such deal of its own.
#include "../standin-2/http.h"
#include "nlohmann/json.hpp"
#define private public
#include "../standin-2/store.h"
#undef private
#include "../standin-2/cases.h"

using namespace review2;

namespace {

constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kContactMs = 3000;
/** Interval of the memberships of a node; see platform/store_client.cc. */
constexpr std::int64_t kRenewalMs = 500;
/** Time that a node gets to load a shard. */
constexpr std::int64_t kLoadMs = 60;
constexpr int kMaxTries = 6;

Json JobOf(std::int64_t work_ms) {
  const Json step = {
      {"count", 1}, {"cpu", 3500}, {"mem_mb", 500}, {"estimate_ms", work_ms}};
  return {{"spec", "ms=" + std::to_string(work_ms)}, {"steps", {step}}};
}

/** The group of nodes, as the store sees it. */
class Members {
 public:
  explicit Members(World& world) : world_(world) {}

  /** Returns the shard that has ended jobs, as the nodes show it; -1 if none
   * has any. */
  int ShardWithEndedJobs() {
    for (const auto& it : world_.nodes) {
      std::istringstream lines(
          Call(it.control, "GET", "/status", "x", "", 1000).body);
      for (std::string line; std::getline(lines, line);) {
        int shard = 0;
        const auto at = line.find(" ended ");
        if (std::sscanf(line.c_str(), "shard %d", &shard) == 1 &&
            at != std::string::npos && std::atoi(&line[at + 7]) > 0)
          return shard;
      }
    }
    return -1;
  }

  std::string HolderOf(int shard) {
    std::lock_guard lock(world_.store.mutex_);
    return Group().holder[shard];
  }

  /** Returns when the member has last renewed its membership. */
  std::int64_t HeardMs(const std::string& member) {
    std::lock_guard lock(world_.store.mutex_);
    const auto it = Group().members.find(member);
    return it == Group().members.end() ? 0 : it->second.heard_ms;
  }

  /** Returns a member whose renewals follow those of `member` after 10 to 250
   * ms, as a number of places in the order of the members; 0 if none does. */
  int ShiftToHeir(const std::string& member, std::string* heir) {
    std::lock_guard lock(world_.store.mutex_);
    const auto& members = Group().members;
    const auto self = members.find(member);
    if (self == members.end())
      return 0;
    const auto place = std::distance(members.begin(), self);
    const auto size = static_cast<std::ptrdiff_t>(members.size());
    std::ptrdiff_t i = 0;
    for (const auto& [name, it] : members) {
      const auto after =
          (it.heard_ms - self->second.heard_ms + 100 * kRenewalMs) % kRenewalMs;
      if (name != member && after >= 10 && after <= 250) {
        *heir = name;
        return static_cast<int>((i - place + size) % size);
      }
      ++i;
    }
    return 0;
  }

  /** Gives each partition to the member that is `shift` places after its own,
   * all at once. */
  void DealAnew(int shift) {
    std::lock_guard lock(world_.store.mutex_);
    auto& group = Group();
    std::vector<std::string> names;
    for (const auto& [name, it] : group.members)
      names.push_back(name);
    const auto n = static_cast<int>(names.size());
    ++group.generation;
    for (auto& [part, holder] : group.holder) {
      const auto it = std::find(names.begin(), names.end(), holder);
      if (it == names.end())
        continue;
      const auto place = static_cast<int>(it - names.begin());
      holder = names[static_cast<std::size_t>((place + shift + n) % n)];
      group.target[part] = holder;
    }
    world_.record.Line("the store deals all partitions anew, generation %lld",
                       static_cast<long long>(group.generation));
  }

  /** Returns the node of a member, whose name begins with its peer address. */
  Node* NodeOf(const std::string& member) {
    const auto peer = "peer = " + member.substr(0, member.find('|')) + "\n";
    for (auto& it : world_.nodes) {
      std::stringstream text;
      text << std::ifstream(it.settings).rdbuf();
      if (text.str().find(peer) != std::string::npos)
        return &it;
    }
    return nullptr;
  }

 private:
  Store::Group& Group() { return world_.store.groups_.begin()->second; }

  World& world_;
};

/** Has the job accepted by a node that owns its shard between two deals.
 * Returns false if the times did not fit. */
bool SubmitBetweenDeals(World& world,
                        Members& members,
                        int shard,
                        const std::string& id,
                        const Json& job) {
  const auto owner = members.HolderOf(shard);
  std::string heir;
  const int shift = members.ShiftToHeir(owner, &heir);
  Node* node = shift == 0 ? nullptr : members.NodeOf(heir);
  if (!node) {
    // The renewals have other distances after a deal.
    members.DealAnew(1);
    return false;
  }
  const auto before = members.HeardMs(owner);
  while (members.HeardMs(owner) == before)
    SleepMs(1);
  const auto renewed = members.HeardMs(owner);
  members.DealAnew(shift);
  const auto dealt = SteadyMs();
  while (members.HeardMs(heir) <= dealt && SteadyMs() - dealt < 300)
    SleepMs(1);
  SleepMs(kLoadMs);
  const auto answer = world.Submit(*node, id, job);
  const bool in_time = members.HeardMs(owner) == renewed;
  members.DealAnew(-shift);
  world.record.Line(
      "shard %d: of %s, of %s after %lld ms, and back after %lld ms; its "
      "owner has renewed its membership meanwhile: %s",
      shard, owner.c_str(), heir.c_str(),
      static_cast<long long>(dealt - renewed),
      static_cast<long long>(SteadyMs() - renewed), in_time ? "no" : "yes");
  return answer.status == 200 && in_time;
}

int Play(World& world, bool trouble) {
  for (int i = 1; i <= 9; ++i) {
    world.AddMinion("i-" + std::to_string(1000 + i),
                    "r1-" + std::to_string((i + 3) / 4));
  }
  world.WriteConfig(1);
  for (int i = 0; i < 3; ++i)
    world.AddNode();
  if (!world.AwaitReady(25'000))
    return kNotPlayed;
  // A first job shows which shard the pool has.
  if (!world.SubmitUntilAccepted("0000000000000001", JobOf(500), 5000))
    return kNotPlayed;
  SleepMs(2500);
  Members members(world);
  const int shard = members.ShardWithEndedJobs();
  if (shard < 0)
    return kNotPlayed;
  std::string id;
  std::int64_t accepted_ms = 0;
  for (int i = 1; i <= kMaxTries && accepted_ms == 0; ++i) {
    char name[17];
    std::snprintf(name, sizeof(name), "5c0e7a21d94b36%02x", i);
    id = name;
    const auto job = JobOf(8000);
    const bool accepted =
        trouble ? SubmitBetweenDeals(world, members, shard, id, job)
                : world.SubmitUntilAccepted(id, job, 5000);
    if (accepted)
      accepted_ms = SteadyMs();
    else
      SleepMs(kContactMs + 2000);
  }
  if (accepted_ms == 0)
    return kNotPlayed;
  int unknown = 0;
  int asked = 0;
  std::string state;
  while (SteadyMs() - accepted_ms < 30'000) {
    SleepMs(500);
    if (SteadyMs() - accepted_ms <= std::max(kVisibleMs, kContactMs))
      continue;
    for (auto& it : world.nodes) {
      const auto answer = world.State(it, id);
      ++asked;
      unknown += answer.status == 410 ? 1 : 0;
      if (answer.status == 410) {
        world.record.Line(
            "LOST: %s, accepted %lld ms ago: 410 from %s", id.c_str(),
            static_cast<long long>(SteadyMs() - accepted_ms), it.name.c_str());
      }
    }
  }
  state = world.StateText(id);
  world.record.Line("410 to %d of %d requests; at last the job is shown as %s",
                    unknown, asked, state.c_str());
  for (const auto& it : world.runs.Copy()) {
    if (it.task.rfind(id, 0) == 0) {
      world.record.Line("run %lld of %s: %s", static_cast<long long>(it.number),
                        it.task.c_str(),
                        it.how.empty() ? "at work" : it.how.c_str());
    }
  }
  if (state != "completed" && !trouble)
    return kNotPlayed;
  return unknown > 0 ? kBroken : kHeld;
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
