#ifndef TESTS_AGREEMENT_CLUSTER_H_
#define TESTS_AGREEMENT_CLUSTER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "libdecision/planner.h"
#include "libdecision/state_fetch.h"
#include "libdecision/table_commands.h"

namespace baobab::agreement {

/** How the log treats one append. */
enum class Fault {
  kNone,
  kRejected,
  kLostAnswer,
  kLostRecord,
  kDelayed,
  kDuplicated
};

/** Log in memory; keeps what retention dropped for the oracle. */
struct FakeLog {
  std::vector<Record> all;
  std::uint64_t first = 0;
  bool down = false;
  std::deque<Fault> faults;
  std::vector<std::pair<Time, Record>> delayed;

  AppendResult Append(const Record& record, Time now);
  void Tick(Time now);
};

/** State by a plain sequential reading of the log, without the fold's code. */
class Oracle {
 public:
  struct OracleState {
    std::uint64_t version = 0;
    std::map<CellRef, std::string> cells;
    std::uint64_t term = 0;
    WriterId holder;
    std::uint64_t view = 0;
  };

  /** State after all records below the offset. */
  const OracleState& StateBelow(std::uint64_t offset,
                                const std::vector<Record>& all);

  /** Version that the edit created, if it was accepted so far. */
  std::optional<std::uint64_t> Accepted(const EditId& id) const;

 private:
  void Apply(const Record& record);

  std::vector<OracleState> states_{OracleState()};
  std::map<NodeId, std::pair<std::uint64_t, std::uint64_t>> newest_;
  std::map<EditId, std::uint64_t> decided_;
};

struct Node {
  Node(const NodeConfig& config, Time now, std::size_t nodes);

  NodeConfig config;
  LogFold fold;
  LogWriter writer;
  Membership membership;
  TableCommands commands;
  Planner planner;
  StateFetch fetch;
  bool paused = false;
  /** Bit 1: no peers, bit 2: no log. */
  unsigned cut = 0;
  std::uint64_t read_from = 0;
  std::uint64_t version_seen = 0;
  /** Offset and caught_up() at the last check. */
  std::pair<std::uint64_t, bool> checked{~0ULL, false};
  /** Highest version answered as in force before this process started. */
  std::uint64_t min_version = 0;
};

/** Nodes, log and the checks that hold at all times. A broken one is returned
 * by `violation`. */
class Cluster {
 public:
  explicit Cluster(std::size_t nodes);

  void Run(int ticks);
  void Submit(std::size_t node, int cell, int value, bool stale);
  void Resend(std::size_t node, std::size_t which);
  void Pause(std::size_t node, bool paused);
  void Cut(std::size_t node, unsigned cut);
  void Restart(std::size_t node);
  void Retain(std::size_t records);
  /** Ends all faults, waits, and checks the answers against the log. */
  void Settle();

  FakeLog log;
  std::string violation;
  std::map<EditState, std::size_t> answers;
  std::size_t ticks = 0;

 private:
  struct Submitted {
    TableEdit edit;
    /** Node processes which got the edit. */
    std::set<WriterId> nodes;
    std::size_t times = 0;
    /** With the number of submissions before the reply. */
    std::vector<std::pair<EditReply, std::size_t>> replies;
  };

  void Tick();
  void Read(Node& node);
  void Execute(std::size_t from, const Effects& effects);
  void Deliver(std::size_t to, const PeerEnvelope& envelope, Effects& effects);
  void Check(Node& node);
  void CheckReply(std::size_t from, const EditReply& reply);
  void CheckPlanners();
  void CheckAnswers();
  void CheckSettled();
  void SubmitTo(std::size_t node, std::size_t which);
  Submitted& FindSubmission(CommandId command);
  void Fail(const std::string& what);
  std::unique_ptr<Node> MakeNode(std::size_t index);
  std::uint64_t NewestSnapshot() const;

  Time now_;
  std::uint64_t next_incarnation_ = 1;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::pair<std::size_t, PeerEnvelope>> messages_;
  std::vector<std::tuple<std::size_t, Incarnation, AppendFinished>> finished_;
  Oracle oracle_;
  std::map<CommandId, std::size_t> commands_;
  std::map<std::uint64_t, std::uint64_t> digests_;
  std::map<std::uint64_t, WriterId> holders_;
  std::vector<Submitted> submitted_;
  std::uint64_t in_force_ = 0;
};

}  // namespace baobab::agreement

#endif  // TESTS_AGREEMENT_CLUSTER_H_
