#include "agreement_cluster.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace baobab::agreement {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(100);

constexpr const char* kInitialTable =
    "[pools]\npool,weight,limit,min_hosts,availability_budget\n"
    "p0,1,4,0,1\np1,1,4,0,1\n"
    "[teams]\nteam,quota\n"
    "[queues]\nqueue,service,team,pool,urgency,weight,limit,deadline_ms\n"
    "[hosts]\nhost,rack,data_centre,pool,maintenance\n";

std::string Name(std::size_t index) {
  return "n" + std::to_string(index);
}

}  // namespace

AppendResult FakeLog::Append(const Record& record, Time now) {
  Fault fault = down ? Fault::kLostRecord : Fault::kNone;
  if (!faults.empty()) {
    fault = faults.front();
    faults.pop_front();
  }
  switch (fault) {
    case Fault::kRejected:
      return AppendResult::kRejected;
    case Fault::kLostRecord:
      return AppendResult::kUnknown;
    case Fault::kDelayed:
      delayed.emplace_back(now + seconds(3 + all.size() % 30), record);
      return AppendResult::kUnknown;
    case Fault::kDuplicated:
      delayed.emplace_back(now + seconds(all.size() % 30), record);
      break;
    case Fault::kLostAnswer:
    case Fault::kNone:
      break;
  }
  if (down) {
    return AppendResult::kUnknown;
  }
  all.push_back(record);
  return fault == Fault::kLostAnswer ? AppendResult::kUnknown
                                     : AppendResult::kAppended;
}

void FakeLog::Tick(Time now) {
  if (down) {
    return;
  }
  for (const auto& [due, record] : delayed) {
    if (due <= now) {
      all.push_back(record);
    }
  }
  std::erase_if(delayed, [&](const auto& it) { return it.first <= now; });
}

const Oracle::OracleState& Oracle::StateBelow(std::uint64_t offset,
                                              const std::vector<Record>& all) {
  while (states_.size() <= offset) {
    states_.push_back(states_.back());
    Apply(all[states_.size() - 2]);
  }
  return states_[offset];
}

std::optional<std::uint64_t> Oracle::Accepted(const EditId& id) const {
  const auto it = decided_.find(id);
  return it == decided_.end() || it->second == 0
             ? std::nullopt
             : std::optional<std::uint64_t>(it->second);
}

void Oracle::Apply(const Record& record) {
  OracleState& at = states_.back();
  const std::pair number(record.writer.incarnation.value(),
                         record.sequence.value());
  auto& newest = newest_[record.writer.node];
  if (number <= newest) {
    return;
  }
  newest = number;
  if (const auto* edit = std::get_if<TableEdit>(&record.body)) {
    if (decided_.contains(edit->id)) {
      return;
    }
    auto& decided = decided_[edit->id];
    for (const auto& it : edit->changes) {
      const auto cell = at.cells.find(it.cell);
      if ((cell == at.cells.end() ? "" : cell->second) != it.old_value ||
          (it.cell.column == "weight" && it.new_value == "0")) {
        return;
      }
    }
    for (const auto& it : edit->changes) {
      at.cells[it.cell] = it.new_value;
    }
    decided = ++at.version;
  } else if (const auto* claim = std::get_if<PlannerClaim>(&record.body)) {
    if (claim->term.value() == at.term + 1) {
      ++at.term;
      at.holder = record.writer;
    }
  } else if (const auto* view = std::get_if<ViewChange>(&record.body)) {
    if (view->term.value() == at.term && record.writer == at.holder &&
        view->number.value() == at.view + 1) {
      ++at.view;
    }
  }
}

Node::Node(const NodeConfig& node_config, Time now, std::size_t nodes)
    : config(node_config),
      writer({config.id, config.incarnation}, nodes),
      membership(config, now),
      planner(config, now),
      fetch(now) {}

Cluster::Cluster(std::size_t nodes) : now_(seconds(1000)) {
  nodes_.resize(nodes);
  for (std::size_t i = 0; i < nodes; ++i) {
    nodes_[i] = MakeNode(i);
  }
  Run(5);
  TableEdit edit{EditId("initial"), "ada", TableVersion(0),
                 DiffTables(Table(), *ParseTable(kInitialTable))};
  submitted_.push_back({edit, {}, 0, {}});
  SubmitTo(0, 0);
  Run(5);
}

std::unique_ptr<Node> Cluster::MakeNode(std::size_t index) {
  NodeConfig config;
  config.id = NodeId(Name(index));
  config.incarnation = Incarnation(next_incarnation_++);
  config.data_centre = DataCentreId(index < 3 ? "a" : "b");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i != index) {
      config.peers.push_back(
          {NodeId(Name(i)), DataCentreId(i < 3 ? "a" : "b")});
    }
  }
  config.log_retention = seconds(60);
  auto node = std::make_unique<Node>(config, now_, nodes_.size());
  node->min_version = in_force_;
  return node;
}

void Cluster::Run(int ticks_to_run) {
  for (int i = 0; i < ticks_to_run && violation.empty(); ++i) {
    Tick();
  }
}

void Cluster::Tick() {
  now_ += kTick;
  ++ticks;
  log.Tick(now_);
  const auto messages = std::exchange(messages_, {});
  const auto finished = std::exchange(finished_, {});
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = *nodes_[i];
    Effects effects;
    for (const auto& it : finished) {
      if (std::get<0>(it) != i || std::get<1>(it) != node.config.incarnation) {
        continue;
      }
      if (node.paused) {
        finished_.push_back(it);
      } else {
        node.writer.OnFinished(std::get<2>(it), now_, effects);
      }
    }
    for (const auto& it : messages) {
      if (it.first != i) {
        continue;
      }
      if (node.paused) {
        messages_.push_back(it);
      } else {
        Deliver(i, it.second, effects);
      }
    }
    if (node.paused) {
      continue;
    }
    Read(node);
    node.commands.Tick(now_, node.fold, node.membership, node.writer, effects);
    node.planner.Tick(now_, 1, node.fold, node.membership, node.writer,
                      effects);
    node.writer.Tick(now_, node.fold, effects);
    LocalStatus local;
    local.view = node.fold.view().number;
    local.next_offset = node.fold.next_offset();
    local.version = node.fold.version();
    node.membership.Tick(now_, local, effects);
    node.fetch.Tick(now_, node.fold, node.membership, effects);
    Execute(i, effects);
    Check(node);
  }
  CheckPlanners();
}

void Cluster::CheckPlanners() {
  std::set<Term> terms;
  for (const auto& it : nodes_) {
    if (!it->paused && it->planner.IsActing(now_, it->fold) &&
        !terms.insert(it->fold.planner().term).second) {
      Fail("two planners act in one term");
    }
  }
}

void Cluster::Read(Node& node) {
  if (log.down || (node.cut & 2) != 0) {
    node.planner.OnLogReadFailed(now_);
    node.fetch.OnLogReadFailed();
    return;
  }
  node.membership.OnLogRead(now_);
  node.fetch.OnLogRead();
  node.fold.NoteLogRange(Offset(log.first), Offset(log.all.size()));
  node.read_from =
      std::max({node.read_from, node.fold.next_offset().value(), log.first});
  for (int i = 0; i < 20 && node.read_from < log.all.size(); ++i) {
    const LogEntry entry{Offset(node.read_from), log.all[node.read_from]};
    ++node.read_from;
    const auto result = node.fold.Apply(entry);
    node.planner.OnFolded(entry, result, now_);
    Check(node);
  }
}

void Cluster::Deliver(std::size_t to,
                      const PeerEnvelope& envelope,
                      Effects& effects) {
  Node& node = *nodes_[to];
  if (const auto* it = std::get_if<Heartbeat>(&envelope.message)) {
    node.fold.NotePeerOffset(it->next_offset);
    node.membership.OnHeartbeat(envelope.from, envelope.incarnation, *it, now_);
  } else if (std::holds_alternative<StateRequest>(envelope.message)) {
    StateFetch::OnRequest(envelope.from, node.fold, effects);
  } else if (const auto* reply = std::get_if<StateReply>(&envelope.message)) {
    node.fetch.OnReply(envelope.from, *reply, now_, node.membership, node.fold,
                       effects);
  }
}

void Cluster::Execute(std::size_t from, const Effects& effects) {
  Node& node = *nodes_[from];
  for (const auto& effect : effects) {
    if (const auto* append = std::get_if<AppendRecord>(&effect)) {
      const auto result = (node.cut & 2) != 0
                              ? AppendResult::kUnknown
                              : log.Append(append->record, now_);
      finished_.emplace_back(from, node.config.incarnation,
                             AppendFinished{append->record.sequence, result});
    } else if (const auto* send = std::get_if<SendPeer>(&effect)) {
      const auto to =
          static_cast<std::size_t>(std::stoi(send->to.value().substr(1)));
      if (((node.cut | nodes_[to]->cut) & 1) == 0) {
        messages_.emplace_back(
            to, PeerEnvelope{kPeerProtocol, node.config.id,
                             node.config.incarnation, 0, send->message});
      }
    } else if (const auto* answer = std::get_if<AnswerCommand>(&effect)) {
      const auto& reply = std::get<EditReply>(answer->reply);
      auto& submitted = FindSubmission(answer->command);
      submitted.replies.emplace_back(reply, submitted.times);
      ++answers[reply.state];
      CheckReply(from, reply);
    }
  }
}

Cluster::Submitted& Cluster::FindSubmission(CommandId command) {
  return submitted_[commands_.at(command)];
}

void Cluster::CheckReply(std::size_t from, const EditReply& reply) {
  if (reply.state != EditState::kInForce) {
    return;
  }
  in_force_ = std::max(in_force_, reply.version.value());
  for (const auto& view_node : nodes_[from]->fold.view().nodes) {
    const auto index =
        static_cast<std::size_t>(std::stoi(view_node.id.value().substr(1)));
    const auto& fold = nodes_[index]->fold;
    if (fold.caught_up() && fold.version() < reply.version) {
      Fail("answered in force, but " + view_node.id.value() + " has version " +
           std::to_string(fold.version().value()));
    }
  }
}

void Cluster::Check(Node& node) {
  const LogFold& fold = node.fold;
  const std::uint64_t offset = fold.next_offset().value();
  const std::pair checked(offset, fold.caught_up());
  if (std::exchange(node.checked, checked) == checked) {
    return;
  }
  if (offset > log.all.size()) {
    Fail("offset above the log");
    return;
  }
  const auto digest = fold.Digest();
  if (digests_.emplace(offset, digest).first->second != digest) {
    Fail("different states at one offset");
  }
  const auto& expected = oracle_.StateBelow(offset, log.all);
  if (fold.version().value() != expected.version ||
      fold.planner().term.value() != expected.term ||
      fold.planner().holder != expected.holder ||
      fold.view().number.value() != expected.view) {
    Fail("version, term, holder or view differs from the oracle");
  }
  for (const auto& [cell, value] : expected.cells) {
    if (CellText(fold.table(), cell) != value) {
      Fail("cell differs from the oracle");
    }
  }
  const auto& lease = fold.planner();
  if (holders_.emplace(lease.term.value(), lease.holder).first->second !=
      lease.holder) {
    Fail("two holders of one term");
  }
  if (fold.caught_up() && fold.version().value() < node.min_version) {
    Fail("a restarted node serves an older version than was in force");
  }
  if (fold.version().value() < node.version_seen) {
    Fail("version went back");
  }
  node.version_seen = fold.version().value();
}

void Cluster::Submit(std::size_t node, int cell, int value, bool stale) {
  const CellRef ref{"pools", "p" + std::to_string(cell), "weight"};
  TableEdit edit;
  edit.id = EditId("e" + std::to_string(submitted_.size()));
  edit.author = Name(node);
  edit.changes.push_back(
      {ref, stale ? "1" : CellText(nodes_[node]->fold.table(), ref),
       std::to_string(value)});
  submitted_.push_back({edit, {}, 0, {}});
  SubmitTo(node, submitted_.size() - 1);
}

void Cluster::Resend(std::size_t node, std::size_t which) {
  SubmitTo(node, which % submitted_.size());
}

void Cluster::SubmitTo(std::size_t node, std::size_t which) {
  Node& it = *nodes_[node];
  if (it.paused) {
    return;
  }
  const CommandId command(commands_.size());
  commands_[command] = which;
  submitted_[which].nodes.insert(it.writer.self());
  ++submitted_[which].times;
  Effects effects;
  it.commands.OnEdit({command, submitted_[which].edit}, now_, 1, it.fold,
                     it.writer, effects);
  Execute(node, effects);
}

void Cluster::Pause(std::size_t node, bool paused) {
  nodes_[node]->paused = paused;
}

void Cluster::Cut(std::size_t node, unsigned cut) {
  nodes_[node]->cut = cut;
}

void Cluster::Restart(std::size_t node) {
  std::erase_if(messages_, [&](const auto& it) { return it.first == node; });
  const unsigned cut = nodes_[node]->cut;
  nodes_[node] = MakeNode(node);
  nodes_[node]->cut = cut;
}

std::uint64_t Cluster::NewestSnapshot() const {
  std::uint64_t covers = 0;
  for (const auto& it : nodes_) {
    covers = std::max(covers, it->fold.state().snapshot.covers.value());
  }
  return covers;
}

void Cluster::Retain(std::size_t records) {
  // Snapshots are written four times per retention time, so the newest one is
  // never dropped while there is a planner.
  const std::uint64_t wanted =
      log.all.size() - std::min(records, log.all.size());
  log.first = std::max(log.first, std::min(wanted, NewestSnapshot()));
}

void Cluster::Settle() {
  log.down = false;
  log.faults.clear();
  for (auto& it : nodes_) {
    it->paused = false;
    it->cut = 0;
  }
  Run(600);
  if (violation.empty()) {
    CheckSettled();
    CheckAnswers();
  }
}

void Cluster::CheckSettled() {
  for (const auto& it : nodes_) {
    if (!it->fold.caught_up() || it->fold.waits_for_snapshot() ||
        it->fold.next_offset().value() + 5 < log.all.size()) {
      Fail("node does not reach the end of the log");
    }
    if (it->commands.waiting() != 0) {
      Fail("a command stays without an answer");
    }
    if (it->fold.view().nodes.size() != nodes_.size()) {
      Fail("view does not hold all nodes");
    }
  }
}

void Cluster::CheckAnswers() {
  oracle_.StateBelow(log.all.size(), log.all);
  for (const auto& it : submitted_) {
    const auto accepted = oracle_.Accepted(it.edit.id);
    for (const auto& [reply, times] : it.replies) {
      const bool answered_accepted = reply.state == EditState::kInForce ||
                                     reply.state == EditState::kPartlyInForce;
      if (answered_accepted && accepted != reply.version.value()) {
        Fail("answered accepted, but is not in the log");
      }
      // Skips edits sent by several incarnations, as one does not know of the
      // copies of another, and edits that were sent again after this reply.
      if (!answered_accepted && reply.state != EditState::kUnknown &&
          accepted && it.nodes.size() == 1 && times == it.times) {
        Fail("answered not accepted, but is in the log");
      }
    }
  }
}

void Cluster::Fail(const std::string& what) {
  if (violation.empty()) {
    violation = what;
  }
}

namespace {

enum class StepKind {
  kRun,
  kSubmit,
  kResend,
  kFaults,
  kLogDown,
  kLogUp,
  kPause,
  kResume,
  kRestart,
  kCut,
  kRetain,
};

struct Model {
  std::size_t nodes = 3;
};

std::map<StepKind, std::size_t> steps_run;
std::map<EditState, std::size_t> answers_seen;
std::size_t ticks_run = 0;

struct Step : rc::state::Command<Model, Cluster> {
  explicit Step(const Model& model)
      : kind(*rc::gen::weightedElement<StepKind>({{6, StepKind::kRun},
                                                  {6, StepKind::kSubmit},
                                                  {2, StepKind::kResend},
                                                  {3, StepKind::kFaults},
                                                  {1, StepKind::kLogDown},
                                                  {2, StepKind::kLogUp},
                                                  {1, StepKind::kPause},
                                                  {2, StepKind::kResume},
                                                  {1, StepKind::kRestart},
                                                  {1, StepKind::kCut},
                                                  {1, StepKind::kRetain}})),
        node(*rc::gen::inRange<std::size_t>(0, model.nodes)),
        number(*rc::gen::inRange(0, 200)),
        faults(*rc::gen::container<std::vector<Fault>>(
            *rc::gen::inRange<std::size_t>(1, 6),
            rc::gen::element(Fault::kRejected,
                             Fault::kLostAnswer,
                             Fault::kLostRecord,
                             Fault::kDelayed,
                             Fault::kDuplicated))) {}

  void run(const Model&, Cluster& cluster) const override {
    ++steps_run[kind];
    switch (kind) {
      case StepKind::kRun:
        cluster.Run(number);
        break;
      case StepKind::kSubmit:
        cluster.Submit(node, number % 2, number / 2 % 4, number % 5 == 0);
        break;
      case StepKind::kResend:
        cluster.Resend(node, static_cast<std::size_t>(number));
        break;
      case StepKind::kFaults:
        cluster.log.faults.insert(cluster.log.faults.end(), faults.begin(),
                                  faults.end());
        break;
      case StepKind::kLogDown:
      case StepKind::kLogUp:
        cluster.log.down = kind == StepKind::kLogDown;
        break;
      case StepKind::kPause:
      case StepKind::kResume:
        cluster.Pause(node, kind == StepKind::kPause);
        break;
      case StepKind::kRestart:
        cluster.Restart(node);
        break;
      case StepKind::kCut:
        cluster.Cut(node, static_cast<unsigned>(number % 4));
        break;
      case StepKind::kRetain:
        cluster.Retain(static_cast<std::size_t>(number));
        break;
    }
    cluster.Run(1);
    RC_ASSERT(cluster.violation == "");
  }

  void show(std::ostream& os) const override {
    os << "kind " << static_cast<int>(kind) << " node " << node << " number "
       << number;
  }

  StepKind kind;
  std::size_t node;
  int number;
  std::vector<Fault> faults;
};

// Guards against nodes with different states at one offset, edits that revert,
// two planners in one term, and wrong answers to operators.
TEST(AgreementTest, AllNodesFollowOneOrder) {
  EXPECT_TRUE(rc::check([] {
    Model model{*rc::gen::inRange<std::size_t>(3, 6)};
    Cluster cluster(model.nodes);
    // Longer than the default, to find faults that need several steps.
    const auto commands = *rc::gen::scale(
        4.0, rc::state::gen::commands(
                 model, rc::state::gen::execOneOfWithArgs<Step>()));
    rc::state::runAll(commands, model, cluster);
    cluster.Settle();
    ticks_run += cluster.ticks;
    for (const auto& [state, count] : cluster.answers) {
      answers_seen[state] += count;
    }
    RC_ASSERT(cluster.violation == "");
  }));
  std::size_t steps = 0;
  for (const auto& [kind, count] : steps_run) {
    steps += count;
  }
  std::cout << "steps " << steps << ", ticks " << ticks_run
            << ", answers by state:";
  for (const auto& [state, count] : answers_seen) {
    std::cout << ' ' << static_cast<int>(state) << ':' << count;
  }
  std::cout << '\n';
  // All kinds of steps and answers have to occur, or the property is not fully
  // tested.
  EXPECT_EQ(steps_run.size(), static_cast<std::size_t>(StepKind::kRetain) + 1);
  EXPECT_EQ(answers_seen.size(),
            static_cast<std::size_t>(EditState::kUnknown) + 1);
}

}  // namespace
}  // namespace baobab::agreement
