#include "libbench/control_plane.h"

#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "libbench/thread_time.h"
#include "libwire/wire.h"

namespace baobab {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kLongPollWait = std::chrono::seconds(1);
/** Framing of a peer message: 9 bytes of HTTP/2 DATA frame header and a length
 * prefix of 4 bytes. */
constexpr std::int64_t kFrameBytes = 9 + 4;

NodeId MakeNodeId(int n) {
  return NodeId(fmt::format("n{}", n));
}

DataCentreId MakeDataCentreId(int n) {
  return DataCentreId(fmt::format("dc{}", n));
}

}  // namespace

ControlPlane::ControlPlane(const ControlPlaneOptions& options)
    : options_(options) {
  const int count = options.data_centres * options.nodes_per_data_centre;
  for (int n = 0; n < count; ++n) {
    Node node;
    node.config.id = MakeNodeId(n);
    node.config.incarnation = Incarnation(1);
    node.config.data_centre = MakeDataCentreId(n % options.data_centres);
    for (int peer = 0; peer < count; ++peer) {
      if (peer != n) {
        node.config.peers.push_back(
            {MakeNodeId(peer), MakeDataCentreId(peer % options.data_centres)});
      }
    }
    index_by_id_[node.config.id] = n;
    hosts_.entry_hosts.push_back({node.config.id, false});
    nodes_.push_back(std::move(node));
  }
  for (int n = 0; n < options.minions; ++n) {
    hosts_.minions.push_back(
        {MinionId(fmt::format("m{}", n)),
         ServiceId(fmt::format("s{}", n % options.services)),
         HostId(fmt::format("h{}", n)), fmt::format("127.0.0.1:{}", 20000 + n),
         MakeDataCentreId(n % options.data_centres), false});
  }
  for (int n = 0; n < count; ++n) {
    Restart(n);
  }
}

void ControlPlane::Restart(int n) {
  Node& node = nodes_.at(n);
  node.config.incarnation = Incarnation(node.config.incarnation.value() + 1);
  node.state = MakeState(node.config, now_);
  // Staggers the ticks, as nodes are independent processes.
  node.next_tick =
      now_ + kTickInterval * (n + 1) / static_cast<int>(nodes_.size());
  node.next_read = now_;
  Post(n, HostListRead{hosts_});
}

void ControlPlane::Run(Duration duration) {
  const Time end = now_ + duration;
  while (now_ < end) {
    now_ += std::chrono::milliseconds(1);
    Step();
  }
}

void ControlPlane::Step() {
  while (!pending_events_.empty() && pending_events_.top().at <= now_) {
    PendingEvent next = pending_events_.top();
    pending_events_.pop();
    Node& node = nodes_.at(next.node);
    if (node.paused) {
      next.at = now_ + kTickInterval;
      pending_events_.push(std::move(next));
    } else if (next.incarnation == node.config.incarnation) {
      Reduce(next.node, std::move(next.body));
    }
  }
  for (int n = 0; n < size(); ++n) {
    Node& node = nodes_.at(n);
    if (node.paused || now_ < node.next_tick) {
      continue;
    }
    node.next_tick = now_ + kTickInterval;
    ReadLog(n);
    Reduce(n, Tick{});
  }
}

void ControlPlane::ReadLog(int n) {
  Node& node = nodes_.at(n);
  const std::size_t from = NextLogOffset(*node.state).value();
  if (log_down_) {
    if (now_ >= node.next_read) {
      node.next_read = now_ + kLongPollWait;
      Reduce(n, LogReadFailed{{"read log", "log", "connection refused"}});
    }
    return;
  }
  if (from >= log_.size() && now_ < node.next_read) {
    return;
  }
  node.next_read = now_ + kLongPollWait;
  LogRead read;
  read.next = Offset(log_.size());
  for (std::size_t it = from; it < log_.size(); ++it) {
    read.entries.push_back(log_[it]);
  }
  Reduce(n, std::move(read));
}

void ControlPlane::Post(int node, EventBody body) {
  PostLater(node, Duration(0), std::move(body));
}

void ControlPlane::PostLater(int n, Duration delay, EventBody body) {
  pending_events_.push({now_ + delay, order_++, n,
                        nodes_.at(n).config.incarnation, std::move(body)});
}

void ControlPlane::Reduce(int n, EventBody body) {
  Node& node = nodes_.at(n);
  const auto started = ThreadCpuTime();
  const Effects effects =
      baobab::Reduce(*node.state, Event{now_, 0, std::move(body)});
  node.usage.processor_time += ThreadCpuTime() - started;
  ++node.usage.events;
  for (const Effect& it : effects) {
    Execute(n, it);
  }
}

void ControlPlane::Execute(int n, const Effect& effect) {
  if (const auto* message = std::get_if<SendPeer>(&effect)) {
    Send(n, *message);
    return;
  }
  if (const auto* write = std::get_if<WriteTimelineEntry>(&effect)) {
    if (write->entry.kind == "invariant-violated") {
      violations_.push_back(write->entry);
    }
    return;
  }
  if (const auto* append = std::get_if<AppendRecord>(&effect)) {
    Append(n, append->record);
  } else if (const auto* start = std::get_if<StartAttempt>(&effect)) {
    PostLater(n, options_.request_run_time,
              AttemptFinished{start->attempt,
                              start->minion,
                              AttemptResult::kAnswered,
                              false,
                              {}});
  } else if (const auto* probe = std::get_if<ProbeMinion>(&effect)) {
    PostLater(n, options_.message_delay,
              ProbeFinished{probe->minion, true,
                            leaving_minions_.contains(probe->minion)});
  } else if (const auto* answer = std::get_if<AnswerCommand>(&effect)) {
    replies_[answer->command] = answer->reply;
  }
  effects_.emplace_back(n, effect);
}

void ControlPlane::Append(int n, const Record& record) {
  if (log_down_) {
    PostLater(n, options_.message_delay,
              AppendFinished{record.sequence, AppendResult::kRejected});
    return;
  }
  log_.push_back({Offset(log_.size()), record});
  PostLater(n, options_.message_delay,
            AppendFinished{record.sequence, AppendResult::kAppended});
}

void ControlPlane::Send(int n, const SendPeer& message) {
  Node& node = nodes_.at(n);
  const PeerEnvelope envelope{
      kPeerProtocol, node.config.id, node.config.incarnation,
      static_cast<std::uint64_t>(node.usage.events), message.message};
  const int to = index_by_id_.at(message.to);
  if (node.partitioned || nodes_.at(to).partitioned) {
    return;
  }
  ++node.usage.messages;
  node.usage.sent += Bytes(
      static_cast<std::int64_t>(EncodePeer(envelope).size()) + kFrameBytes);
  PostLater(to, options_.message_delay, PeerMessageReceived{envelope});
}

void ControlPlane::SetLeaving(const MinionId& minion, bool leaving) {
  for (MinionEntry& it : hosts_.minions) {
    if (it.id == minion) {
      it.leaving = leaving;
    }
  }
  for (int n = 0; n < size(); ++n) {
    Post(n, HostListRead{hosts_});
  }
}

void ControlPlane::SubmitTable(int node,
                               CommandId command,
                               const Table& table) {
  EditSubmitted submitted;
  submitted.command = command;
  submitted.edit.id = EditId(fmt::format("edit{}", command.value()));
  submitted.edit.author = "bench";
  submitted.edit.base = state(node).fold.version();
  submitted.edit.changes = DiffTables(state(node).fold.table(), table);
  Post(node, std::move(submitted));
}

Table MakeBenchTable(int services,
                     int queues,
                     int teams,
                     int pools,
                     int hosts) {
  Table table;
  for (int n = 0; n < pools; ++n) {
    PoolRow row;
    row.id = PoolId(fmt::format("p{}", n));
    row.limit = HostCount(hosts);
    row.availability_budget = HostCount(2);
    table.pools[row.id] = row;
  }
  for (int n = 0; n < teams; ++n) {
    TeamRow row;
    row.id = TeamId(fmt::format("t{}", n));
    row.quota = Units(400);
    table.teams[row.id] = row;
  }
  for (int n = 0; n < queues; ++n) {
    QueueRow row;
    row.id = QueueId(fmt::format("q{}", n));
    row.service = ServiceId(fmt::format("s{}", n % services));
    row.team = TeamId(fmt::format("t{}", n % teams));
    row.pool = PoolId(fmt::format("p{}", n % pools));
    row.urgency = n < services ? Urgency::kUrgent : Urgency::kBatch;
    row.limit = Units(400);
    row.deadline = row.urgency == Urgency::kUrgent ? std::chrono::seconds(7)
                                                   : std::chrono::seconds(60);
    table.queues[row.id] = row;
  }
  for (int n = 0; n < hosts; ++n) {
    HostRow row;
    row.id = HostId(fmt::format("h{}", n));
    row.rack = RackId(fmt::format("r{}", n / 4));
    row.data_centre = MakeDataCentreId(n % 3);
    table.hosts[row.id] = row;
  }
  return table;
}

}  // namespace baobab
