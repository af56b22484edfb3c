#include "baobabfront/node_actor.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include <caf/actor_clock.hpp>
#include <caf/actor_system.hpp>
#include <caf/scheduler/abstract_coordinator.hpp>

namespace baobab {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(50);

// Metric names of the alternatives of EventBody, in the variant's order.
constexpr std::array<std::string_view, std::variant_size_v<EventBody>>
    kEventNames = {"tick",
                   "request_arrived",
                   "request_abandoned",
                   "key_requested",
                   "attempt_finished",
                   "probe_finished",
                   "host_list_read",
                   "log_read",
                   "log_read_failed",
                   "append_finished",
                   "peer_message_received",
                   "peer_lost",
                   "edit_submitted",
                   "table_requested",
                   "history_requested",
                   "status_requested",
                   "stop_requested"};

// Entries written for every request go to the timeline only: a log line per
// request would cost more than routing the request.
bool IsPerRequestKind(std::string_view kind) {
  return kind.starts_with("request-") || kind.starts_with("attempt-") ||
         kind.starts_with("key-");
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Time ToTime(caf::actor_clock::time_point at) {
  return Time(std::chrono::duration_cast<Duration>(at.time_since_epoch()));
}

}  // namespace

Time ActorClockNow(caf::actor_system& system) {
  return ToTime(system.scheduler().clock().now());
}

NodeActor::NodeActor(caf::actor_config& config,
                     NodeActorDependencies dependencies)
    : caf::event_based_actor(config), dependencies_(std::move(dependencies)) {}

caf::behavior NodeActor::make_behavior() {
  delayed_send(this, kTickInterval, NodeTick{});
  return {
      [this](NodeInput& input) { HandleEvent(std::move(input.body)); },
      [this](const NodeTick&) {
        HandleEvent(Tick{});
        delayed_send(this, kTickInterval, NodeTick{});
      },
  };
}

void NodeActor::HandleEvent(EventBody body) {
  dependencies_.metrics->Count("events_" +
                               std::string(kEventNames[body.index()]));
  last_event_time_ = std::max(last_event_time_, ToTime(clock().now()));
  const Event event{last_event_time_, WallMs(), std::move(body)};
  const auto start = std::chrono::steady_clock::now();
  const Effects effects = dependencies_.reduce(event);
  dependencies_.metrics->Observe(
      "reduce_seconds",
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count());
  for (const Effect& it : effects) {
    if (const auto* write = std::get_if<WriteTimelineEntry>(&it)) {
      WriteToTimelineAndLog(write->entry, event.wall_ms);
    } else {
      dependencies_.execute(it);
    }
  }
}

void NodeActor::WriteToTimelineAndLog(const TimelineEntry& entry,
                                      std::int64_t wall_ms) {
  dependencies_.timeline->Write(entry, wall_ms);
  dependencies_.metrics->Count("explained_" + entry.kind);
  if (IsPerRequestKind(entry.kind)) {
    return;
  }
  const bool is_violation = entry.kind == "invariant-violated";
  Log(is_violation ? LogLevel::kError : LogLevel::kInfo, "node",
      "{} {}: {}{}{}", entry.kind, entry.subject, entry.detail,
      entry.cause.empty() ? "" : "; cause ", entry.cause);
}

}  // namespace baobab
