// The planner lease and the records of its holder. planner_snapshot.cc writes
// snapshots, planner_view.cc selects the nodes of the view.

#include "libdecision/planner.h"

#include <algorithm>

namespace baobab {
namespace {

using std::chrono::milliseconds;

// Delay between the claims of nodes of successive rank, so that a node reads
// the claim of the node before it.
constexpr Duration kClaimStagger = milliseconds(300);

}  // namespace

Planner::Planner(const NodeConfig& config, Time now)
    : config_(config),
      self_{config.id, config.incarnation},
      silence_since_(now),
      last_tick_(now),
      running_since_(now),
      next_renewal_at_(now),
      last_snapshot_at_(now) {}

void Planner::OnHostList(const HostList& list) {
  listed_nodes_.clear();
  for (const auto& it : list.entry_hosts) {
    listed_nodes_.insert(it.id);
  }
  // An empty list is an error of the platform, not a fleet without nodes.
  host_list_known_ = !listed_nodes_.empty();
}

void Planner::OnFolded(const LogEntry& entry,
                       const FoldResult& result,
                       Time now) {
  if (result.outcome == FoldOutcome::kAdopted) {
    silence_since_ = now;
    return;
  }
  if (result.outcome != FoldOutcome::kApplied ||
      std::holds_alternative<TableEdit>(entry.record.body)) {
    return;
  }
  // All other kinds of records are applied only if the holder wrote them.
  silence_since_ = now;
  if (entry.record.writer == self_) {
    own_record_read_at_ = now;
  }
  const auto* part = std::get_if<SnapshotPart>(&entry.record.body);
  if (part != nullptr && part->part + 1 == part->parts) {
    last_snapshot_at_ = now;
  }
}

void Planner::OnLogReadFailed(Time now) {
  silence_since_ = now;
}

bool Planner::IsActing(Time now, const LogFold& fold) const {
  return !stopping_ && fold.planner().holder == self_ && own_record_read_at_ &&
         now - *own_record_read_at_ < kPlannerStopTimeout;
}

Duration Planner::ClaimTimeout(const LogFold& fold) const {
  const auto& nodes = fold.view().nodes;
  std::int64_t rank = 0;
  bool in_view = false;
  for (const auto& it : nodes) {
    in_view = in_view || it.id == config_.id;
    rank += it.id < config_.id ? 1 : 0;
  }
  if (!in_view) {
    // Nodes outside the view rank last, since they may be misconfigured.
    rank = static_cast<std::int64_t>(nodes.size()) +
           std::count_if(config_.peers.begin(), config_.peers.end(),
                         [&](const auto& it) { return it.id < config_.id; });
  }
  return kPlannerSilenceTimeout + kClaimStagger * rank;
}

void Planner::Tick(Time now,
                   std::int64_t wall_ms,
                   const LogFold& fold,
                   const Membership& membership,
                   LogWriter& writer,
                   Effects& effects) {
  if (now - last_tick_ > kMaxTickGap) {
    silence_since_ = now;
    running_since_ = now;
  }
  last_tick_ = now;
  for (auto* it :
       {&claim_, &renewal_, &view_change_, &in_force_, &snapshot_part_}) {
    if (*it && !writer.IsPending(**it, fold)) {
      it->reset();
    }
  }
  const bool acting = IsActing(now, fold);
  if (acting != was_acting_) {
    was_acting_ = acting;
    const auto& lease = fold.planner();
    effects.push_back(WriteTimelineEntry{
        {acting ? "planner-elected" : "planner-lost",
         "term/" + std::to_string(lease.term.value()), "",
         acting ? "this node holds the term and read a record of its own"
                : "holder is " + lease.holder.node.value() +
                      "; a holder stops after 5 s without a record of its "
                      "own"}});
  }
  if (!acting) {
    WithdrawAppends(writer);
  }
  if (stopping_ || !fold.caught_up() || fold.waits_for_snapshot()) {
    return;
  }
  if (fold.planner().holder == self_) {
    Renew(now, wall_ms, fold, writer);
  } else {
    Claim(now, wall_ms, fold, writer, effects);
  }
  if (acting) {
    AppendDueRecords(now, wall_ms, fold, membership, writer, effects);
  }
}

void Planner::WithdrawAppends(LogWriter& writer) {
  // A copy that reaches the log later is rejected if its term is outdated.
  for (auto* it : {&view_change_, &in_force_, &snapshot_part_}) {
    if (*it) {
      writer.Withdraw(**it);
      it->reset();
    }
  }
  snapshot_write_.reset();
}

void Planner::Claim(Time now,
                    std::int64_t wall_ms,
                    const LogFold& fold,
                    LogWriter& writer,
                    Effects& effects) {
  if (renewal_) {
    writer.Withdraw(*renewal_);
    renewal_.reset();
  }
  const Duration silent = now - silence_since_;
  const Duration claim_timeout = ClaimTimeout(fold);
  if (claim_ && silent < kPlannerSilenceTimeout) {
    // Another node claimed first; a late copy of this claim is rejected by its
    // term.
    writer.Withdraw(*claim_);
    claim_.reset();
  }
  if (claim_ || silent < claim_timeout) {
    return;
  }
  const Term term(fold.planner().term.value() + 1);
  const auto sequence = writer.Submit(PlannerClaim{term}, wall_ms);
  if (!sequence) {
    return;
  }
  claim_ = *sequence;
  effects.push_back(WriteTimelineEntry{
      {"planner-claiming", "term/" + std::to_string(term.value()), "",
       "no planner record for " +
           std::to_string(
               std::chrono::duration_cast<milliseconds>(silent).count()) +
           " ms, own limit is " +
           std::to_string(
               std::chrono::duration_cast<milliseconds>(claim_timeout)
                   .count()) +
           " ms"}});
}

void Planner::Renew(Time now,
                    std::int64_t wall_ms,
                    const LogFold& fold,
                    LogWriter& writer) {
  if (renewal_ || now < next_renewal_at_) {
    return;
  }
  const auto sequence =
      writer.Submit(PlannerClaim{fold.planner().term}, wall_ms);
  if (sequence) {
    renewal_ = *sequence;
    next_renewal_at_ = now + kLeaseRenewalInterval;
  }
}

void Planner::AppendDueRecords(Time now,
                               std::int64_t wall_ms,
                               const LogFold& fold,
                               const Membership& membership,
                               LogWriter& writer,
                               Effects& effects) {
  const Term term = fold.planner().term;
  if (!view_change_ && now >= next_view_check_at_) {
    next_view_check_at_ = now + kViewCheckInterval;
    auto nodes = TargetNodes(now, fold, membership);
    if (!nodes.empty() && nodes != fold.view().nodes) {
      const ViewNumber number(fold.view().number.value() + 1);
      const auto reason = DescribeChange(fold.view().nodes, nodes);
      const auto sequence =
          writer.Submit(ViewChange{term, number, std::move(nodes)}, wall_ms);
      if (sequence) {
        view_change_ = *sequence;
        effects.push_back(WriteTimelineEntry{
            {"view-changing", "view/" + std::to_string(number.value()),
             "term/" + std::to_string(term.value()), reason}});
      }
    }
  }
  const TableVersion version = fold.version();
  if (!in_force_ && version > fold.state().in_force &&
      !fold.view().nodes.empty() &&
      membership.NodesBehind(version, fold.view()).empty()) {
    const auto sequence =
        writer.Submit(VersionInForce{term, version, wall_ms}, wall_ms);
    if (sequence) {
      in_force_ = *sequence;
    }
  }
  WriteSnapshot(now, wall_ms, fold, writer, effects);
}

}  // namespace baobab
