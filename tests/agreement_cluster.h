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

/** Fault injected into one append. */
enum class Fault {
  kNone,
  kRejected,
  kLostAnswer,
  kLostRecord,
  kDelayed,
  kDuplicated
};

/** Log in memory. Keeps the records dropped by retention for the oracle. */
struct FakeLog {
  std::vector<Record> all;
  /** Oldest offset that retention left. */
  std::uint64_t first = 0;
  bool down = false;
  /** Faults of the next appends. */
  std::deque<Fault> faults;
  /** Records that arrive at the given time. */
  std::vector<std::pair<Time, Record>> delayed;

  AppendResult Append(const Record& record, Time now);
  void Tick(Time now);
};

/** Computes the expected state by applying the log in order, without any code
 * of LogFold. */
class Oracle {
 public:
  struct OracleState {
    std::uint64_t version = 0;
    std::map<CellRef, std::string> cells;
    std::uint64_t term = 0;
    WriterId holder;
    std::uint64_t view = 0;
  };

  /** Returns the state after all records below the offset. */
  const OracleState& StateBelow(std::uint64_t offset,
                                const std::vector<Record>& all);

  /** Returns the version that the edit created, if it was accepted. */
  std::optional<std::uint64_t> Accepted(const EditId& id) const;

 private:
  void Apply(const Record& record);

  std::vector<OracleState> states_{OracleState()};
  std::map<NodeId, std::pair<std::uint64_t, std::uint64_t>> newest_;
  std::map<EditId, std::uint64_t> decided_;
};

/** The parts of a node that take part in the agreement. */
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
  /** Bit mask; 1: cut off from the peers, 2: cut off from the log. */
  unsigned cut = 0;
  std::uint64_t read_from = 0;
  std::uint64_t version_seen = 0;
  /** Offset and caught_up() at the last check. */
  std::pair<std::uint64_t, bool> checked{~0ULL, false};
  /** Highest version answered as in force before this process started. */
  std::uint64_t min_version = 0;
};

/** Simulates nodes and their log, and checks invariants after each step. The
 * first broken one is stored in `violation`. */
class Cluster {
 public:
  explicit Cluster(std::size_t nodes);

  void Run(int ticks);
  /** Submits an edit of one cell; a stale edit has the old value "1". */
  void Submit(std::size_t node, int cell, int value, bool stale);
  /** Submits an earlier edit again. */
  void Resend(std::size_t node, std::size_t which);
  void Pause(std::size_t node, bool paused);
  void Cut(std::size_t node, unsigned cut);
  void Restart(std::size_t node);
  /** Applies retention to all but this many records. */
  void Retain(std::size_t records);
  /** Ends all faults, waits, and checks the final states and the answers. */
  void Settle();

  FakeLog log;
  std::string violation;
  std::map<EditState, std::size_t> answers;
  std::size_t ticks = 0;

 private:
  struct Submitted {
    TableEdit edit;
    /** Incarnations that received the edit. */
    std::set<WriterId> nodes;
    /** Number of submissions. */
    std::size_t times = 0;
    /** Each with the number of submissions before the reply. */
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
